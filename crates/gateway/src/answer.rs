//! Answers that the gateway gives itself.

use std::time::Duration;

use jujubebeam_core::gateway::{FinalAnswer, OmittedTargets};
use ntex::http::header::RETRY_AFTER;
use ntex::http::{HeaderMap, StatusCode};
use ntex::web::HttpResponse;
use strum::{Display, IntoStaticStr};

use crate::adapters::HeaderLookup;
use crate::caller_memory::BodyError;

/// `Retry-After` of a vm that has no settings or targets yet.
const STARTING_RETRY: Duration = Duration::from_millis(500);

/// `Retry-After` of a leaving vm. It is short, because another vm can serve the caller at once.
const LEAVING_RETRY: Duration = Duration::from_millis(20);

/// `Retry-After` of a vm without memory for the body. Requests that make no progress may be cut after
/// a second, and half of it has passed on average.
const CALLER_MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    /// This vm has no settings or targets yet.
    Starting,
    /// This vm is leaving.
    Leaving,
    /// No route matches host and path.
    UnknownRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive in time or broke off.
    SlowBody,
    /// No target of the service accepts new work.
    NoTarget,
    /// All targets are backing off.
    TargetsRest,
    /// The rate limits of all targets are used up.
    TargetsLimited,
    /// The answer would arrive too late.
    Overloaded,
    /// The request crashed several targets.
    CrashesTargets,
    /// Targets refused the request or could not be reached.
    TargetsRefused,
    /// A target failed and the request may have run.
    TargetFailed,
    /// The request timed out.
    TimedOut,
    /// The quota of the workspace is used up.
    QuotaUsedUp,
    /// The memory for what callers send is used up.
    CallerMemory,
    /// It is not known which software version began the stream that the caller takes up.
    StreamUnknown,
    /// The stream that the caller takes up began at another service.
    StreamMoved,
    /// The software version that began the stream has left.
    VersionGone,
    /// This vm reaches no target of the service.
    TargetsUnreachable,
    /// This vm handles as many requests of other vms as it may.
    HelperFull,
}

/// Header of a refusal with its reason.
pub(crate) const REFUSAL_HEADER: &str = "jujubebeam-refusal";

impl Reason {
    /// Whether a refusal for this reason concerns only the vm that sent it, so that another one may
    /// take the request.
    pub(crate) fn is_of_helper(name: &str) -> bool {
        let reasons = [
            Self::Starting,
            Self::Leaving,
            Self::CallerMemory,
            Self::TargetsUnreachable,
            Self::HelperFull,
        ];
        reasons.iter().any(|reason| name == <&str>::from(reason))
    }
}

/// An answer of the gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<Duration>,
    /// Predicted wait, if the request was refused because it is too long.
    pub(crate) wait: Option<Duration>,
    /// Longest wait at which the request would have been sent.
    pub(crate) longest_wait: Option<Duration>,
    /// Targets that were skipped because they are leaving or backing off.
    pub(crate) omitted_targets: OmittedTargets,
    /// Targets that may run the request, if none of them could take it.
    pub(crate) usable_targets: Option<usize>,
}

impl Refusal {
    /// States that the request has not run and never will.
    pub(crate) fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
            wait: None,
            longest_wait: None,
            omitted_targets: OmittedTargets::default(),
            usable_targets: None,
        }
    }

    /// States that the request has not run, and that a later one would be refused as well.
    pub(crate) fn without_retry(reason: Reason) -> Self {
        Self {
            retry_after: None,
            ..Self::not_run(reason, Duration::ZERO)
        }
    }

    pub(crate) fn starting() -> Self {
        Self::not_run(Reason::Starting, STARTING_RETRY)
    }

    pub(crate) fn leaving() -> Self {
        Self::not_run(Reason::Leaving, LEAVING_RETRY)
    }

    /// Answers a request whose body was not received. It has not run.
    pub(crate) fn of_body(error: BodyError) -> Self {
        match error {
            BodyError::TooLong => Self::status(Reason::BodyTooLarge, StatusCode::PAYLOAD_TOO_LARGE),
            BodyError::Broken => Self::status(Reason::SlowBody, StatusCode::BAD_REQUEST),
            BodyError::NoMemory => Self::not_run(Reason::CallerMemory, CALLER_MEMORY_RETRY),
        }
    }

    pub(crate) fn status(reason: Reason, status: StatusCode) -> Self {
        Self {
            reason,
            status,
            retry_after: None,
            wait: None,
            longest_wait: None,
            omitted_targets: OmittedTargets::default(),
            usable_targets: None,
        }
    }

    /// Answers a request that no target answered.
    pub(crate) fn from_final(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::NotRun { retry_after } => {
                Self::not_run(Reason::TargetsRefused, retry_after)
            }
            FinalAnswer::Failed | FinalAnswer::CutOff => {
                Self::status(Reason::TargetFailed, StatusCode::BAD_GATEWAY)
            }
            FinalAnswer::TimedOut => Self::status(Reason::TimedOut, StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn response(&self) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status);
        if let Some(retry_after) = self.retry_after {
            builder.header(RETRY_AFTER, format!("{:.2}", retry_after.as_secs_f64()));
        }
        builder.header(REFUSAL_HEADER, <&str>::from(self.reason));
        // What the caller still sends must not be read, and a connection that was cut is not counted
        // any more.
        if self.reason == Reason::CallerMemory {
            builder.force_close();
        }
        builder.content_type("text/plain");
        builder.body(format!("{}\n", self.reason))
    }
}

/// Headers of a caller's request.
pub(crate) struct CallerHeaders<'a>(pub(crate) &'a HeaderMap);

impl HeaderLookup for CallerHeaders<'_> {
    fn find(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// Headers of a target's answer.
pub(crate) struct TargetHeaders<'a>(pub(crate) &'a http::HeaderMap);

impl HeaderLookup for TargetHeaders<'_> {
    fn find(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}
