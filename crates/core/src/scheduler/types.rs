//! Events, commands and decision records of the scheduler.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::settings::document::Priority;
use crate::targets::{CacheEvent, LoadReport, TargetInfo, TargetLoad, TargetState};
use crate::{RequestId, TargetId, VmId, WorkspaceId};

/// A request to be dispatched to a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Workspace of the caller; the default id is used for callers without a key.
    pub workspace: WorkspaceId,
    /// Priority of the workspace.
    pub priority: Priority,
    /// Weight of the workspace in fair queueing within its priority.
    pub weight: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Limit on the number of generated tokens.
    pub max_tokens: Option<u32>,
    /// Tokens delivered by earlier attempts. They are included in `prompt_tokens`, because a resumed
    /// attempt processes them again.
    pub delivered_tokens: u64,
    /// Output length, if known in advance.
    pub known_output_tokens: Option<u64>,
    /// Chained hashes of the prompt's cache pieces.
    pub prefix: SmallVec<[u64; 8]>,
    /// Whether the request may be retried after a failure.
    pub repeatable: bool,
    /// Whether requests of the workspace may run on reclaimable targets.
    pub allow_reclaimable: bool,
    /// Time from now within which the first token must arrive.
    pub deadline: Duration,
    /// Targets that must not be chosen.
    pub excluded: SmallVec<[TargetId; 4]>,
    /// Whether the request may crash targets and so must not share one with another suspect.
    pub suspect: bool,
}

/// Inputs of the scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SchedulerEvent {
    /// A request arrived.
    Arrival(Arrival),
    /// The first token of a request was delivered.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// Tokens of a request were delivered.
    Generated {
        /// The request.
        request: RequestId,
        /// Number of tokens since the previous event of this kind.
        tokens: u64,
    },
    /// A planned move of a stream failed, so the stream stays at its present target.
    #[serde(rename = "Stayed")]
    MoveFailed {
        /// The request.
        request: RequestId,
        /// Target that continues to generate.
        target: TargetId,
    },
    /// A request ended with a complete answer.
    Finish {
        /// The request.
        request: RequestId,
        /// Actual length of the prompt.
        prompt_tokens: u64,
        /// Actual length of the answer, including the tokens of earlier attempts.
        output_tokens: u64,
    },
    /// A request ended without a complete answer, or its caller disconnected.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// A target reported its load.
    Report {
        /// The target.
        target: TargetId,
        /// The report.
        report: LoadReport,
        /// Age of the report on arrival.
        age: Duration,
    },
    /// A target did not answer.
    Unreachable {
        /// The target.
        target: TargetId,
    },
    /// An engine published cache events.
    Cache {
        /// The engine.
        target: TargetId,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// A digest from a peer arrived.
    Peer {
        /// The peer.
        from: VmId,
        /// The digest.
        digest: Digest,
    },
    /// The planner, a peer or the platform announced a new state of a target.
    TargetState {
        /// The target.
        target: TargetId,
        /// The state.
        state: TargetState,
    },
    /// The set of targets or the number of live peers changed.
    Targets {
        /// All targets of the route.
        targets: Vec<TargetInfo>,
        /// Number of live vms, excluding this one.
        peers: u32,
    },
    /// Periodic timer.
    Tick,
}

/// Outputs of the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerCommand {
    /// Send the request to a target.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Target that processes the prompt.
        target: TargetId,
        /// Engine that decodes, if it is another one. The KV cache is transferred to it.
        decode: Option<TargetId>,
    },
    /// Refuse the request. The refusal is final.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        kind: RefusalKind,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// Move a running request to another engine, because its present one is about to change.
    Move {
        /// The request.
        request: RequestId,
        /// Present engine.
        from: TargetId,
        /// Engine that takes over the KV cache.
        to: TargetId,
    },
    /// Send a digest to the peers.
    Digest(Digest),
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalKind {
    /// The workspace has too many requests in the queue.
    QueueFull,
    /// The first token would miss the deadline.
    DeadlineUnreachable,
    /// No target is eligible for the request.
    NoTarget,
}

/// Demand at one vm, as moving averages over several seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Uncached prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Expected generated tokens per second of the arriving requests.
    pub output_tokens_per_s: f64,
    /// Refused requests per second.
    pub missed_per_s: f64,
}

/// State of one route at a vm, as sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Total engine time in seconds that each workspace received at this vm.
    pub service: Vec<(WorkspaceId, f64)>,
    /// Work of this vm at each target where it has requests in flight.
    pub loads: Vec<(TargetId, TargetLoad)>,
    /// Targets to which this vm dispatches no new work, with their state.
    pub closed: Vec<(TargetId, TargetState)>,
    /// Demand at this vm.
    pub demand: Demand,
    /// Whether loads are omitted, so that a target that is not listed may still have work of the vm.
    #[serde(default)]
    pub partial: bool,
}

/// A target considered in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Predicted time to the first token.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub token_interval_ms: f64,
    /// Estimated number of prompt tokens in the target's cache.
    pub cached_tokens: u64,
    /// Cost in seconds, or in requests in flight for plain services. Lower is better.
    pub cost: f64,
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Chosen at random among the targets with nearly the lowest predicted cost.
    NearBest,
    /// Split between a prefill and a decode engine.
    SplitPrefill,
    /// The request was refused.
    Refused(RefusalKind),
}

/// Record of one decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// Time spent in the queue.
    pub waited: Duration,
    /// Chosen target.
    pub target: Option<TargetId>,
    /// Engine that decodes, if it is another one.
    pub decode: Option<TargetId>,
    /// Reason for the decision.
    pub reason: Reason,
    /// Considered targets with the lowest costs.
    pub candidates: SmallVec<[Candidate; 4]>,
}
