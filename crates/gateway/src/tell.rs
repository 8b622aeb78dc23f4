//! Lines of the log and counters about one request.

use std::time::Duration;

use jujubebeam_core::gateway::AttemptEnd;

use crate::answer::Refusal;
use crate::job::Job;
use crate::journal::LineKind;
use crate::state::Shared;

pub(crate) fn tell_answer(shared: &Shared, job: &Job, status: u16) {
    let kind = job.route().kind.into();
    let class = if status < 500 {
        "answered"
    } else {
        "server_error"
    };
    shared.metrics.ended(kind, class, job.arrived.elapsed());
    shared.journal.write(
        LineKind::Answered,
        shared.now(),
        format_args!(
            "request={} route={} version={} status={status} after_ms={}",
            job.incoming.attempt_id,
            job.route().name,
            job.settings.version,
            job.arrived.elapsed().as_millis()
        ),
    );
}

pub(crate) fn tell_end(shared: &Shared, id: &str, route: &str, refusal: &Refusal, age: Duration) {
    shared.metrics.ended("any", refusal.reason.into(), age);
    shared.journal.write(
        LineKind::Ended,
        shared.now(),
        format_args!(
            "request={id} route={route} reason={} status={} retry_after_ms={} wait_ms={} after_ms={}",
            refusal.reason,
            refusal.status.as_u16(),
            refusal.retry_after.map_or(0, |t| t.as_millis()),
            refusal.wait.map_or(0, |t| t.as_millis()),
            age.as_millis()
        ),
    );
}

pub(crate) fn tell_attempt(
    shared: &Shared,
    job: &Job,
    target: &str,
    end: AttemptEnd,
    reason: &str,
) {
    shared.metrics.attempt_failed(end.into());
    shared.journal.write(
        LineKind::Attempt,
        shared.now(),
        format_args!(
            "request={} target={target} end={end:?} cause={reason:?} after_ms={}",
            job.incoming.attempt_id,
            job.arrived.elapsed().as_millis()
        ),
    );
}
