//! Events and commands of the planner.

use serde::{Deserialize, Serialize};

use crate::scheduler::Digest;
use crate::targets::{LoadReport, Order, TargetState};
use crate::{TargetId, VmId, ZoneId};

/// A price class, as settings describe it.
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
    /// Price class; empty for a target that is always there.
    pub class: String,
    /// Whether settings or the platform withdraw it.
    pub leaving: bool,
}

/// What the planner reacts to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PlannerEvent {
    /// This vm gained or lost the authority to plan.
    Lead(bool),
    /// The live vms, this one included.
    Vms(Vec<VmId>),
    /// The targets of the group. Targets that were ordered and do not exist yet are not part of it.
    Targets(Vec<FleetTarget>),
    /// Price classes and zones from which targets can be ordered.
    Market {
        /// Classes.
        classes: Vec<ClassSpec>,
        /// Zones.
        zones: Vec<ZoneId>,
    },
    /// What the rules of the workspaces that miss deadlines pay for.
    Rules {
        /// Most that ordered targets may cost.
        cents_per_hour: u64,
        /// Share of the work that may run on reclaimable targets.
        reclaimable_share: f64,
    },
    /// A target reported its load.
    Report {
        /// The target.
        target: TargetId,
        /// The report.
        report: Box<LoadReport>,
    },
    /// A digest of a vm arrived, own digests included.
    Digest {
        /// The vm.
        from: VmId,
        /// The digest.
        digest: Digest,
    },
    /// Weights are wanted on targets.
    Load {
        /// Order to give, with a grant of the weight store.
        order: Order,
        /// Size of the weights.
        size_bytes: u64,
        /// Work of the workspaces that want the weights, per target.
        work: Vec<(TargetId, f64)>,
        /// Number of targets that are to load them.
        copies: u32,
    },
    /// A target that was ordered exists, or its order failed.
    OrderSettled {
        /// Class of the order.
        class: String,
    },
    /// Time has passed.
    Tick,
}

/// What the planner asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlannerCommand {
    /// Tell all vms the state of a target.
    Announce {
        /// The target.
        target: TargetId,
        /// The state.
        state: TargetState,
    },
    /// Give an order to a target.
    Order {
        /// The target.
        target: TargetId,
        /// The order.
        order: Order,
    },
    /// Order a target from the platform.
    Buy {
        /// Zone.
        zone: ZoneId,
        /// Price class.
        class: String,
    },
    /// Give a target back to the platform.
    Release {
        /// The target.
        target: TargetId,
    },
}
