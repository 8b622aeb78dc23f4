//! Events, commands and records of the scheduler.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::settings::document::Priority;
use crate::targets::{CacheEvent, LoadReport, TargetInfo, TargetLoad, TargetState};
use crate::{RequestId, TargetId, VmId, WorkspaceId};

/// A request that asks for a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Workspace of the caller; the default id stands for callers without a key.
    pub workspace: WorkspaceId,
    /// Priority of the workspace.
    pub priority: Priority,
    /// Share within the priority.
    pub weight: u32,
    /// Estimated length of the prompt.
    pub prompt_tokens: u64,
    /// Limit of generated tokens.
    pub max_tokens: Option<u32>,
    /// Tokens that earlier attempts delivered. They are part of `prompt_tokens`, since a resumed
    /// attempt computes them again.
    pub delivered_tokens: u64,
    /// Output length, where it is known in advance.
    pub known_output_tokens: Option<u64>,
    /// Chained hashes of the prompt's pieces.
    pub prefix: SmallVec<[u64; 8]>,
    /// Whether the request may be sent again after a failure.
    pub repeatable: bool,
    /// Whether the workspace's work may run on reclaimable targets.
    pub allow_reclaimable: bool,
    /// Time from now in which the first token must arrive.
    pub deadline: Duration,
    /// Targets that must not be chosen.
    pub excluded: SmallVec<[TargetId; 4]>,
    /// Whether the request must not share a target with another suspect.
    pub suspect: bool,
}

/// What the scheduler reacts to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SchedulerEvent {
    /// A request asks for a target.
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
        /// Number of tokens since the last such event.
        tokens: u64,
    },
    /// The stream of a request runs at another target than planned, because it could not move.
    #[serde(rename = "Stayed")]
    MoveFailed {
        /// The request.
        request: RequestId,
        /// Target that generates.
        target: TargetId,
    },
    /// A request ended with a whole answer.
    Finish {
        /// The request.
        request: RequestId,
        /// Real length of the prompt.
        prompt_tokens: u64,
        /// Real length of the answer, with the tokens of earlier attempts.
        output_tokens: u64,
    },
    /// A request ended otherwise, or its caller left.
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
        /// Known age of the report.
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
    /// A digest of a peer arrived.
    Peer {
        /// The peer.
        from: VmId,
        /// The digest.
        digest: Digest,
    },
    /// A target changed its state, as the planner, a peer or the platform says.
    TargetState {
        /// The target.
        target: TargetId,
        /// The state.
        state: TargetState,
    },
    /// The targets of the route, and the number of live peers.
    Targets {
        /// All targets of the route.
        targets: Vec<TargetInfo>,
        /// Live vms without this one.
        peers: u32,
    },
    /// Time has passed.
    Tick,
}

/// What the scheduler asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerCommand {
    /// Send the request.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Target that takes the prompt.
        target: TargetId,
        /// Engine that generates, if it is another one. The KV cache moves there.
        decode: Option<TargetId>,
    },
    /// Give the request its final refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        kind: RefusalKind,
        /// Time after which the request can succeed.
        retry_after: Duration,
    },
    /// Move a running request to another engine, because its own is about to change.
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

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalKind {
    /// The workspace has too many requests in the queue.
    QueueFull,
    /// The first token would miss the deadline.
    DeadlineUnreachable,
    /// No target may take the request.
    NoTarget,
}

/// Demand of one vm, averaged over seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Prompt tokens that are not cached, per second.
    pub prefill_tokens_per_s: f64,
    /// Generated tokens per second, as expected from the requests that arrive.
    pub output_tokens_per_s: f64,
    /// Requests per second that are refused because deadlines cannot be met.
    pub missed_per_s: f64,
}

/// What a vm tells its peers about one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Engine time in seconds that each workspace received here, in total.
    pub service: Vec<(WorkspaceId, f64)>,
    /// Work of this vm at each target where it has any.
    pub loads: Vec<(TargetId, TargetLoad)>,
    /// Targets that get no new work from this vm, with the reason.
    pub closed: Vec<(TargetId, TargetState)>,
    /// Demand at this vm.
    pub demand: Demand,
    /// Whether loads are left out, so that a target without one may still have work of the vm.
    #[serde(default)]
    pub partial: bool,
}

/// A target that was considered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Predicted time to the first token.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub token_interval_ms: f64,
    /// Prompt tokens that are probably cached there.
    pub cached_tokens: u64,
    /// Cost by which targets are compared.
    pub cost: f64,
}

/// Why a decision was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Lowest predicted cost, or chosen at random among nearly equal ones.
    NearBest,
    /// Prefill here, decode elsewhere, because moving the KV cache is cheaper.
    SplitPrefill,
    /// Refused.
    Refused(RefusalKind),
}

/// Record of one decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// Time in the queue.
    pub waited: Duration,
    /// Chosen target.
    pub target: Option<TargetId>,
    /// Engine that generates, if it is another one.
    pub decode: Option<TargetId>,
    /// Why.
    pub reason: Reason,
    /// Cheapest targets that were considered.
    pub candidates: SmallVec<[Candidate; 4]>,
}
