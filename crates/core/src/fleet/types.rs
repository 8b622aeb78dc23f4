//! Events and commands of the planner.

use serde::{Deserialize, Serialize};

use crate::scheduler::Digest;
use crate::targets::{LoadReport, Order, TargetState};
use crate::{TargetId, VmId, ZoneId};

/// A price class from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Price of one target.
    pub price_cents_per_hour: u64,
    /// Whether the platform may withdraw targets at any time.
    pub reclaimable: bool,
}

/// A target of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetTarget {
    /// Key of the target.
    pub id: TargetId,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Price class; empty for a permanent target.
    pub class: String,
    /// Whether the settings or the platform withdraw the target.
    pub leaving: bool,
}

/// Inputs of the planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PlannerEvent {
    /// This vm gained or lost the authority to plan.
    Lead(bool),
    /// The live vms, including this one.
    Vms(Vec<VmId>),
    /// The existing targets of the group. Targets that were bought but do not exist yet are excluded.
    Targets(Vec<FleetTarget>),
    /// Price classes and zones in which targets can be bought.
    Market {
        /// The price classes.
        classes: Vec<ClassSpec>,
        /// The zones.
        zones: Vec<ZoneId>,
    },
    /// Combined spending rules of the workspaces that miss deadlines.
    Rules {
        /// Maximum cost of the bought targets.
        cents_per_hour: u64,
        /// Share of the work that may run on reclaimable targets. It limits their share of all
        /// targets.
        reclaimable_share: f64,
    },
    /// A target reported its load.
    Report {
        /// The target.
        target: TargetId,
        /// The report.
        report: Box<LoadReport>,
    },
    /// A digest of a vm arrived, or one of this vm was produced.
    Digest {
        /// The vm.
        from: VmId,
        /// The digest.
        digest: Digest,
    },
    /// Weights should be loaded on targets.
    Load {
        /// The order to send, including a grant of the weight store.
        order: Order,
        /// Size of the weights.
        size_bytes: u64,
        /// Work per target of the workspaces that need the weights.
        work: Vec<(TargetId, f64)>,
        /// Number of targets on which to load the weights.
        copies: u32,
    },
    /// A target that was bought exists now, or the purchase failed.
    OrderSettled {
        /// Price class of the purchase.
        class: String,
    },
    /// Periodic timer.
    Tick,
}

/// Outputs of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerCommand {
    /// Announce the state of a target to all vms.
    Announce {
        /// The target.
        target: TargetId,
        /// The state.
        state: TargetState,
    },
    /// Send an order to a target.
    Order {
        /// The target.
        target: TargetId,
        /// The order.
        order: Order,
    },
    /// Buy a target from the platform.
    Buy {
        /// Zone of the new target.
        zone: ZoneId,
        /// Price class of the new target.
        class: String,
    },
    /// Return a target to the platform.
    Release {
        /// The target.
        target: TargetId,
    },
}
