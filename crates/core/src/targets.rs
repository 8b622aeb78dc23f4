//! State of targets as vms track it, and the orders that targets accept.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{Fence, Incarnation, TargetId};

mod cache;
mod rates;
mod view;

pub use rates::EngineRates;
pub(crate) use view::OwnWork;
pub use view::{TargetInfo, TargetLoad, TargetView};

/// Kind of work that an engine accepts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes prompts and exports their KV cache.
    Prefill,
    /// Imports KV caches and generates tokens.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}

/// Whether a target accepts work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new work.
    #[default]
    Serving,
    /// Finishes its work and accepts no new work.
    Draining,
    /// Executes an order and accepts no work.
    Changing,
    /// Will be withdrawn by the platform.
    Leaving,
}

/// A model version that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model name in callers' requests.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: SmallVec<[String; 4]>,
}

/// Load report of a target. It describes an earlier time than that of its arrival, by the target's
/// reporting lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Run of the target's process. It changes when the target restarts.
    pub incarnation: Incarnation,
    /// Role in force.
    #[serde(default)]
    pub role: Role,
    /// Whether the target accepts work.
    #[serde(default)]
    pub state: TargetState,
    /// Models that can be served.
    #[serde(default)]
    pub models: SmallVec<[LoadedModel; 2]>,
    /// Requests in execution.
    pub running_requests: u32,
    /// Requests that wait in the target's own queue.
    pub waiting_requests: u32,
    /// Prompt tokens that wait for prefill.
    #[serde(default)]
    pub queued_prompt_tokens: u64,
    /// Tokens of context held by running requests.
    #[serde(default)]
    pub running_context_tokens: u64,
    /// Cache pieces in use.
    #[serde(default)]
    pub cache_used_pieces: u32,
    /// Total number of cache pieces.
    #[serde(default)]
    pub cache_total_pieces: u32,
}

/// Change of an engine's prefix cache. Events arrive late and with gaps in `seq`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event sequence.
    pub seq: u64,
    /// Chained hash of the prompt prefix up to and including this piece.
    pub prefix_hash: u64,
    /// True if the piece was stored, false if it was evicted.
    pub stored: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Changes the role. The engine is unavailable for a few seconds.
    SetRole {
        /// New role.
        role: Role,
    },
    /// Loads a model version from the weight store.
    LoadModel {
        /// Name that callers use.
        model: String,
        /// Version of the weights.
        version: String,
        /// Grant of the weight store.
        grant: String,
    },
    /// Loads an adapter from the weight store.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: String,
        /// Name of the adapter.
        adapter: String,
        /// Grant of the weight store.
        grant: String,
    },
    /// Unloads a model version.
    UnloadModel {
        /// Name that callers use.
        model: String,
        /// Version of the weights.
        version: String,
    },
}

/// An order with its identity and the fencing token of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Unique id. One id always identifies the same order.
    pub order_id: u64,
    /// Fencing token of the lease under which the order was decided.
    pub fence: Fence,
    /// The order itself.
    pub order: Order,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OrderAnswer {
    /// The order is in execution or was executed before.
    Accepted,
    /// The engine has seen a higher fence.
    StaleFence {
        /// Highest fence that the engine has seen.
        highest: Fence,
    },
    /// Another order is in execution.
    Busy,
}

/// State that one vm read from a target, sent to vms that did not read it themselves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetUpdate {
    /// The target.
    pub target: TargetId,
    /// Its load report.
    pub report: LoadReport,
    /// Its new cache events.
    pub events: Vec<CacheEvent>,
}
