//! Errors that several handlers report.

use std::sync::Arc;

use jujubebeam_caller::{CallerError, ErrorKind};
use jujubebeam_core::RequestId;
use jujubebeam_core::quarantine::Verdict;
use jujubebeam_core::request::FailCause;
use jujubebeam_core::settings::Snapshot;

use crate::context::Context;

/// Settings in force, or the refusal of a vm that has none yet.
pub(crate) fn settings(context: &Context) -> Result<Arc<Snapshot>, CallerError> {
    context.shared.snapshot().ok_or_else(|| {
        CallerError::not_run(
            ErrorKind::SettingsStale,
            "this vm has no settings yet",
            "use another address",
        )
        .retry_after_s(1)
    })
}

/// Form of a request id in headers and errors.
pub(crate) fn id_text(request: RequestId) -> String {
    format!("{:x}", request.0)
}

/// Refusal of a request that crashed several targets. It has run, so it is never "not run".
pub(crate) fn crashes_targets(verdict: Verdict) -> Option<CallerError> {
    let Verdict::Refuse { retry_after } = verdict else {
        return None;
    };
    let error = CallerError::may_have_run(
        ErrorKind::RequestCrashesTargets,
        "several targets died while they ran this request",
        "change the request, or send it again after the time in `Retry-After`",
    );
    Some(error.retry_after_s(retry_after.as_secs().max(1) as u32))
}

/// Final error of a request that is given up. `refusal` is what the scheduler or a check said.
pub(crate) fn given_up(
    cause: FailCause,
    not_run: bool,
    retry_after_s: u32,
    refusal: Option<CallerError>,
) -> CallerError {
    if let Some(mut refusal) = refusal {
        refusal.not_run &= not_run;
        return refusal;
    }
    let (kind, message, remedy) = match cause {
        FailCause::Rejected(code) => {
            let message = format!("the target rejected the request with status {code}");
            let remedy = "correct the request";
            return CallerError::may_have_run(ErrorKind::BadRequest, message, remedy);
        }
        FailCause::Expired => (
            ErrorKind::DeadlineUnreachable,
            "no target answered before the deadline",
            "send the request again, or allow it more time",
        ),
        FailCause::BudgetUsed => (
            ErrorKind::TargetFailed,
            "the target failed, and the route's retry budget is used up",
            "send the request again after the time in `Retry-After`",
        ),
        FailCause::Refused | FailCause::AttemptsUsed => (
            ErrorKind::TargetFailed,
            "the targets failed while they ran the request",
            "send the request again after the time in `Retry-After`",
        ),
    };
    let error = CallerError::may_have_run(kind, message, remedy);
    CallerError { not_run, ..error }.retry_after_s(retry_after_s)
}
