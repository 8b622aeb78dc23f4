//! Messages, events and commands of planned changes.

use serde::{Deserialize, Serialize};

use std::time::Duration;

use crate::authority::{Holder, Scope};
use crate::{Fence, TargetId, VmId};

/// Mark of a target that is about to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The target.
    pub target: TargetId,
    /// Number of the change, assigned by its holder.
    pub change: u64,
    /// Whether the order may be sent. Such a mark does not expire by time alone.
    pub ordered: bool,
}

/// All marks of one scope, as its holder announces them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// The scope.
    pub scope: Scope,
    /// Fence of the holder.
    pub fence: Fence,
    /// The holder.
    pub holder: Holder,
    /// Sequence number of the holder's message, because messages can be reordered.
    pub seq: u64,
    /// The marks. A target that is missing gets requests again.
    pub marks: Vec<Mark>,
}

/// Requests of one vm at a marked target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkCount {
    /// The mark.
    pub mark: Mark,
    /// Number of its requests that run there.
    pub in_flight: u32,
}

/// A message between two vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeMessage {
    /// Announcement of a holder to all vms.
    Marks(Marks),
    /// Acknowledgement that the marks are in force at the sender.
    Counts {
        /// The scope.
        scope: Scope,
        /// Fence of the marks.
        fence: Fence,
        /// Requests of the sender at the marked targets.
        counts: Vec<MarkCount>,
        /// New vms that queried the sender. The vm list of the holder may not contain them yet.
        #[serde(rename = "introduced")]
        new_vms: Vec<Holder>,
    },
    /// Query of a vm that may lack marks in force.
    #[serde(rename = "Ask")]
    QueryMarks,
    /// Answer to the query: the marks that the sender has, by scope.
    #[serde(rename = "Known")]
    KnownMarks {
        /// The marks. A holder also lists its scopes without marks.
        marks: Vec<Marks>,
        /// Whether the sender itself still waits for answers to its query.
        syncing: bool,
    },
}

/// Input of [`PlannedChanges`](super::PlannedChanges).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeEvent {
    /// Time has passed.
    Tick,
    /// Vms that may send requests, including this one. A vm is omitted only if it has certainly
    /// ended or certainly serves nothing.
    Vms(Vec<VmId>),
    /// Scopes whose orders make targets unavailable.
    Scopes(Vec<Scope>),
    /// A vm runs with this incarnation, so its earlier runs have ended.
    #[serde(rename = "VmRuns")]
    VmIncarnation(Holder),
    /// Whether this vm holds a scope, with the unsettled orders recorded in the store.
    Held {
        /// The scope.
        scope: Scope,
        /// Fence, or `None` if another vm may hold the scope.
        fence: Option<Fence>,
        /// Unsettled orders that make their targets unavailable.
        pending: Vec<TargetId>,
    },
    /// A change of a target is requested.
    Begin {
        /// Scope that the order needs.
        scope: Scope,
        /// The target.
        target: TargetId,
        /// Longest wait for running requests.
        longest_wait: Duration,
    },
    /// A change is cancelled. Has no effect after its order was requested.
    Withdraw(TargetId),
    /// The order of a change has ended: the target reported its effect, or the order was refused
    /// or not started.
    Ended(TargetId),
    /// A message arrived.
    Message {
        /// Sender.
        from: Holder,
        /// The message.
        message: ChangeMessage,
    },
}

/// Output of [`PlannedChanges`](super::PlannedChanges), carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeCommand {
    /// Sends a message.
    Send {
        /// Receiver, or `None` for all other vms.
        to: Option<VmId>,
        /// The message.
        message: ChangeMessage,
    },
    /// No vm has requests at the target or sends new ones, so the order may be recorded.
    Ready {
        /// The scope.
        scope: Scope,
        /// The target.
        target: TargetId,
    },
    /// The longest wait is over. The change is abandoned, and the target continues to serve.
    Postponed {
        /// The target.
        target: TargetId,
        /// Requests that still run there according to the vms that reported.
        in_flight: u32,
        /// Vms that did not acknowledge the mark.
        #[serde(rename = "silent")]
        unacknowledged: u32,
    },
    /// A change is over, and the target gets requests again.
    Done(TargetId),
}

/// Status of a change in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeStatus {
    /// The target.
    pub target: TargetId,
    /// Whether the order was requested.
    pub ordered: bool,
    /// Requests that run there according to the vms that reported.
    pub in_flight: u32,
    /// Vms that did not acknowledge the mark.
    pub unacknowledged: u32,
}
