//! Typed errors for callers. Each error states what the caller can do.

use std::{error, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of a caller error; its name is the `type` field of the body.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The request is not well formed.
    BadRequest,
    /// The key is unknown or missing.
    UnknownKey,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The workspace may not use the route or model.
    NotAllowed,
    /// No route has this path.
    UnknownRoute,
    /// No route serves this model.
    UnknownModel,
    /// The route needs an `Idempotency-Key`.
    IdempotencyKeyMissing,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body arrived too slowly.
    SlowSender,
    /// The request crashed several targets.
    RequestCrashesTargets,
    /// The workspace has used up a limit.
    LimitReached,
    /// The queue is full.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The vm cannot verify that its settings are up to date.
    SettingsStale,
    /// The vm is shutting down.
    Draining,
    /// No target can take the request.
    NoTarget,
    /// The target failed while the request ran.
    TargetFailed,
    /// The request may have run, but its answer is lost.
    OutcomeUnknown,
}

impl ErrorKind {
    /// Returns the HTTP status of the kind.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::BadRequest | ErrorKind::IdempotencyKeyMissing => 400,
            ErrorKind::UnknownKey | ErrorKind::KeyWithdrawn => 401,
            ErrorKind::NotAllowed => 403,
            ErrorKind::UnknownRoute | ErrorKind::UnknownModel => 404,
            ErrorKind::SlowSender => 408,
            ErrorKind::BodyTooLarge => 413,
            ErrorKind::RequestCrashesTargets => 422,
            ErrorKind::LimitReached => 429,
            ErrorKind::TargetFailed => 502,
            ErrorKind::Overloaded
            | ErrorKind::DeadlineUnreachable
            | ErrorKind::SettingsStale
            | ErrorKind::Draining
            | ErrorKind::NoTarget => 503,
            ErrorKind::OutcomeUnknown => 504,
        }
    }
}

/// An error that is reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    /// Kind of the error.
    #[serde(rename = "type")]
    pub kind: ErrorKind,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// True only if the request certainly did not run and will not run.
    pub not_run: bool,
    /// Identifies the request in the logs.
    #[serde(default)]
    pub request_id: String,
    /// Time after which to retry; sent as `Retry-After`.
    #[serde(skip)]
    pub retry_after_s: Option<u32>,
}

impl CallerError {
    /// Creates an error for a request of which no byte was sent to a target.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            remedy: remedy.into(),
            not_run: true,
            request_id: String::new(),
            retry_after_s: None,
        }
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(
        kind: ErrorKind,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(kind, message, remedy)
        }
    }

    /// Sets the time after which to retry.
    pub fn retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets the request id.
    pub fn request_id(mut self, id: impl Into<String>) -> Self {
        self.request_id = id.into();
        self
    }
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.kind, self.message, self.remedy)
    }
}

impl error::Error for CallerError {}

/// JSON body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: CallerError,
}
