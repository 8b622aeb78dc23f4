//! Messages, events and commands of planned changes.

use serde::{Deserialize, Serialize};

use std::time::Duration;

use crate::authority::{Holder, Scope};
use crate::{Fence, TargetId, VmId};

/// A target that is about to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The target.
    pub target: TargetId,
    /// Number of the change at its holder.
    pub change: u64,
    /// Whether the order may be sent. Such a mark does not end by time alone.
    pub ordered: bool,
}

/// All marks of one scope, as its holder tells them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// The scope.
    pub scope: Scope,
    /// Fence of the holder.
    pub fence: Fence,
    /// The holder.
    pub holder: Holder,
    /// Position in the holder's messages, because messages overtake one another.
    pub seq: u64,
    /// The marks. A target that is missing takes work again.
    pub marks: Vec<Mark>,
}

/// Work of one vm at a marked target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkCount {
    /// The mark.
    pub mark: Mark,
    /// Requests of the vm that run there.
    pub in_flight: u32,
}

/// A message between two vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeMessage {
    /// From a holder to all.
    Marks(Marks),
    /// Answer: the marks are in force here.
    Counts {
        /// The scope.
        scope: Scope,
        /// Fence of the marks.
        fence: Fence,
        /// Work at the marked targets.
        counts: Vec<MarkCount>,
        /// New vms that asked the sender. The holder's list may not show them yet.
        introduced: Vec<Holder>,
    },
    /// From a vm that does not know the marks in force.
    Ask,
    /// Answer: the marks that the sender knows, by scope.
    Known {
        /// The marks. A holder also names its scopes without marks.
        marks: Vec<Marks>,
        /// Whether the sender itself still waits for answers.
        syncing: bool,
    },
}

/// What the machine reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeEvent {
    /// Time has passed.
    Tick,
    /// Vms that may send work, this one included. A vm is left out only if it has ended for
    /// certain or is known to serve nothing.
    Vms(Vec<VmId>),
    /// Scopes whose orders make targets unavailable.
    Scopes(Vec<Scope>),
    /// A vm runs with this incarnation, so its earlier runs have ended.
    #[serde(rename = "VmRuns")]
    VmIncarnation(Holder),
    /// Whether this vm holds a scope, with the unsettled orders that the store shows.
    Held {
        /// The scope.
        scope: Scope,
        /// Fence, or `None` if another vm may hold the scope.
        fence: Option<Fence>,
        /// Unsettled orders that make their targets unavailable.
        pending: Vec<TargetId>,
    },
    /// A target should change.
    Begin {
        /// Scope that the order needs.
        scope: Scope,
        /// The target.
        target: TargetId,
        /// Longest wait for running requests.
        longest_wait: Duration,
    },
    /// A change is no longer wanted. Without effect once its order was asked for.
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

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeCommand {
    /// Send a message.
    Send {
        /// Receiver, or `None` for all other vms.
        to: Option<VmId>,
        /// The message.
        message: ChangeMessage,
    },
    /// No vm has or sends work at the target, so its order may be recorded.
    Ready {
        /// The scope.
        scope: Scope,
        /// The target.
        target: TargetId,
    },
    /// The longest wait is over, and the target serves on.
    Postponed {
        /// The target.
        target: TargetId,
        /// Requests that still run there, as far as they are known.
        in_flight: u32,
        /// Vms that did not acknowledge the mark.
        #[serde(rename = "silent")]
        unacknowledged: u32,
    },
    /// A change is over, and the target takes work again.
    Done(TargetId),
}

/// A change in progress, for status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeStatus {
    /// The target.
    pub target: TargetId,
    /// Whether the order was asked for.
    pub ordered: bool,
    /// Requests that run there, as far as they are known.
    pub in_flight: u32,
    /// Vms that did not acknowledge the mark.
    pub unacknowledged: u32,
}
