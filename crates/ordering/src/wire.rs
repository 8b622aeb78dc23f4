//! JSON bodies of the ordering interface.

use jujubebeam_core::Fence;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Paths of the ordering interface.
pub mod paths {
    /// Path of start and stop orders.
    pub const ORDERS: &str = "/orders";
    /// Path of the list of ordered targets.
    pub const TARGETS: &str = "/targets";
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// Starts a target.
    Start {
        /// Group of targets that the new one joins.
        group: String,
        /// Name of the zone.
        zone: String,
        /// Price class.
        class: String,
    },
    /// Stops a target.
    Stop {
        /// Name of the target.
        target: String,
    },
}

/// An order with its id and fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrder {
    /// Unique id. An order whose id was received before is not executed again.
    pub order_id: u64,
    /// Fencing token of the sender's lease.
    pub fence: Fence,
    /// Name of the sending process, for the platform's records.
    pub sender: String,
    /// Action to execute.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderResult {
    /// The order is being executed or was executed before.
    Accepted,
    /// The zone has no capacity of this class.
    NoCapacity,
    /// The platform has already received a higher fencing token.
    StaleFence,
    /// The target to stop does not exist.
    UnknownTarget,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformOrderAnswer {
    /// Whether the order was accepted, and if not, why.
    pub result: OrderResult,
    /// Name of the target that starts or stops.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
}

/// State of an ordered target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PlatformTargetState {
    /// The target is not ready yet.
    Starting,
    /// The target is running.
    Running,
    /// The platform will withdraw the target.
    Reclaiming,
    /// The target is stopping.
    Stopping,
}

/// A target that the platform runs for this system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedTarget {
    /// Name of the target.
    pub target: String,
    /// Group that it belongs to.
    pub group: String,
    /// Name of the zone.
    pub zone: String,
    /// Price class.
    pub class: String,
    /// Address of the target.
    pub address: String,
    /// Current state.
    pub state: PlatformTargetState,
}

/// All targets that the platform runs for this system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderedTargets {
    /// The targets.
    pub targets: Vec<OrderedTarget>,
}
