//! Events and commands of a request.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::TargetId;

/// Number of one attempt within its request; the first is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

/// Where the next attempt continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Tokens that the caller already has.
    pub tokens: u64,
    /// Text that the caller already has.
    pub text: String,
    /// KV cache that the new target has imported.
    pub kv_handle: Option<String>,
}

/// How the connection of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Close {
    /// The connection was refused, so the target received nothing.
    NotSent,
    /// The stream ended or broke off.
    #[serde(rename = "Cut")]
    StreamEnded,
    /// The target answered with this error status.
    Status(u16),
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEvent {
    /// The request was accepted and asks for its first target.
    Start,
    /// The scheduler granted a target.
    Granted {
        /// Target to use.
        target: TargetId,
    },
    /// The scheduler refused the request.
    Refused,
    /// The head of an answer arrived.
    Head {
        /// Attempt whose connection carried the head.
        attempt: Attempt,
        /// Attempt that the target echoed; `None` if it echoed another request or nothing.
        echoed: Option<Attempt>,
    },
    /// Text arrived.
    Text {
        /// Attempt that generated it.
        attempt: Attempt,
        /// Generated text.
        text: String,
    },
    /// The finish reason arrived.
    Finish {
        /// Attempt that finished.
        attempt: Attempt,
        /// Why generation ended.
        reason: String,
    },
    /// The `[DONE]` event arrived.
    DoneMark {
        /// Attempt that ended.
        attempt: Attempt,
    },
    /// The connection of an attempt ended.
    Closed {
        /// Attempt of the connection.
        attempt: Attempt,
        /// How it ended.
        close: Close,
    },
    /// Answer to [`RequestCommand::AskBudget`].
    Budget {
        /// Whether the retry may be made.
        granted: bool,
    },
    /// The present target is about to be changed; the stream should move.
    Move,
    /// The rest of the answer belongs on another target, which the scheduler has granted already.
    MoveTo {
        /// Target that takes over.
        target: TargetId,
    },
    /// Answer to [`RequestCommand::Export`]; `None` if the target could not export.
    Exported {
        /// Attempt whose cache was exported.
        attempt: Attempt,
        /// Name of the exported cache.
        handle: Option<String>,
    },
    /// Answer to [`RequestCommand::Import`].
    Imported {
        /// Whether the new target has the cache.
        done: bool,
    },
    /// The caller disconnected.
    #[serde(rename = "CallerGone")]
    CallerDisconnected,
    /// The deadline passed or the caller's key was withdrawn.
    Expired,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailCause {
    /// The scheduler refused it.
    Refused,
    /// Its attempts failed, and no further attempt is allowed.
    AttemptsUsed,
    /// The retry budget of the route is used up.
    BudgetUsed,
    /// The target rejected the request with this status.
    Rejected(u16),
    /// The deadline passed.
    Expired,
}

/// What the surroundings must do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestCommand {
    /// Ask the scheduler for a target.
    Acquire {
        /// Targets that must not be chosen.
        excluded: SmallVec<[TargetId; 4]>,
    },
    /// Ask whether the route's retry budget allows another attempt.
    AskBudget,
    /// Send the request.
    Send {
        /// Id of the attempt.
        attempt: Attempt,
        /// Target to send to.
        target: TargetId,
        /// Where to continue.
        resume: Option<Resume>,
    },
    /// Hand text to the caller.
    Deliver {
        /// Text that follows what was delivered before.
        text: String,
    },
    /// The answer is whole; tell the caller and count it.
    Complete {
        /// Why generation ended.
        reason: String,
        /// Generated tokens in all.
        tokens: u64,
    },
    /// Give the final answer at once.
    Fail {
        /// Why.
        cause: FailCause,
        /// True only if no byte of any attempt can have reached a target.
        not_run: bool,
        /// When to come back.
        retry_after_s: u32,
    },
    /// Cancel an attempt at its target and drop its connection.
    Cancel {
        /// Attempt to cancel.
        attempt: Attempt,
        /// Target of the attempt.
        target: TargetId,
    },
    /// Count a crash of this target against the request's fingerprint.
    Crashed {
        /// Target that died.
        target: TargetId,
    },
    /// Export the KV cache of an attempt.
    Export {
        /// Attempt to export.
        attempt: Attempt,
        /// Its target.
        target: TargetId,
    },
    /// Import a KV cache.
    Import {
        /// Target that exported.
        from: TargetId,
        /// Target that imports.
        to: TargetId,
        /// Name of the exported cache.
        handle: String,
    },
    /// Return the target that was granted for a move which does not happen.
    Release {
        /// Target to return.
        target: TargetId,
    },
}
