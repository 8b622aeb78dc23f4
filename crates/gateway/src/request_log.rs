//! Log lines and counters for single requests.

use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{AttemptEnd, Placement};

use crate::answer::Refusal;
use crate::decision_log::{DecisionKind, Importance, decision, millis};
use crate::job::Job;
use crate::state::Shared;

/// Importance of the lines of a request, as far as it does not depend on its answer.
pub(crate) fn importance(job: &Job) -> Importance {
    match job.taken_up() {
        Some(_) => Importance::TakesStreamUp,
        None => Importance::Usual,
    }
}

/// Records an answer that was forwarded completely. `longest_pause` is only set for a stream.
pub(crate) fn record_answer(
    shared: &Shared,
    job: &Job,
    status: u16,
    longest_pause: Option<Duration>,
) {
    let kind = job.route().kind.into();
    let class = if status < 500 {
        "answered"
    } else {
        "server_error"
    };
    shared.metrics.ended(kind, class, job.arrived_at.elapsed());
    record_taken_up_end(shared, job, class);
    let target = job.current_target.borrow();
    decision!(
        shared,
        DecisionKind::Answered,
        importance: match importance(job) {
            Importance::Usual if status >= 500 => Importance::Failed,
            importance => importance,
        },
        request = job.incoming.attempt_id.as_str(),
        route = job.route().name.as_str(),
        target:% = target,
        settings_version = job.settings.version,
        status,
        origin = job.stream_origin(),
        first_ms = job.time_to_response().map(millis),
        longest_pause_ms = longest_pause.map(millis),
        after_ms = millis(job.arrived_at.elapsed())
    );
}

/// Records a request that was refused before it was accepted.
pub(crate) fn record_rejection(shared: &Shared, id: &str, refusal: &Refusal) {
    let age = Duration::ZERO;
    shared.metrics.ended("any", refusal.reason.into(), age);
    decision!(
        shared,
        DecisionKind::Ended,
        request = id,
        route = "-",
        reason:% = refusal.reason,
        status = refusal.status.as_u16(),
        retry_after_ms = refusal.retry_after.map(millis),
        after_ms = millis(age)
    );
}

/// Counts how a request ended, if its caller took a stream up.
pub(crate) fn record_taken_up_end(shared: &Shared, job: &Job, outcome: &'static str) {
    if job.taken_up().is_some() {
        shared.metrics.taken_up_ended(outcome);
    }
}

/// Records a request that the gateway answered itself.
pub(crate) fn record_refusal(shared: &Shared, job: &Job, refusal: &Refusal) {
    let age = job.arrived_at.elapsed();
    shared.metrics.ended("any", refusal.reason.into(), age);
    record_taken_up_end(shared, job, refusal.reason.into());
    decision!(
        shared,
        DecisionKind::Ended,
        importance: importance(job),
        request = job.incoming.attempt_id.as_str(),
        route = job.route().name.as_str(),
        reason:% = refusal.reason,
        admission = <&str>::from(job.admission_class),
        origin = job.stream_origin(),
        usable_targets = refusal.usable_targets,
        deadline_ms = job.incoming.deadline.map(millis),
        status = refusal.status.as_u16(),
        retry_after_ms = refusal.retry_after.map(millis),
        wait_ms = refusal.wait.map(millis),
        longest_wait_ms = refusal.longest_wait.map(millis),
        targets_leaving = refusal.omitted_targets.leaving,
        targets_resting = refusal.omitted_targets.backing_off,
        targets_limited = refusal.omitted_targets.limited,
        after_ms = millis(age)
    );
}

/// Records an attempt that gave no usable answer.
pub(crate) fn record_failed_attempt(
    shared: &Shared,
    job: &Job,
    target: &str,
    end: AttemptEnd,
    reason: &str,
) {
    shared.metrics.attempt_failed(end.into());
    decision!(
        shared,
        DecisionKind::Attempt,
        importance: importance(job),
        request = job.incoming.attempt_id.as_str(),
        target,
        end:? = end,
        cause = reason,
        after_ms = millis(job.arrived_at.elapsed())
    );
}

/// Records which target was chosen and the values on which the choice was based.
pub(crate) fn record_placement(
    shared: &Shared,
    job: &Job,
    work: &str,
    placement: &Placement,
    placed_by: VmId,
) {
    decision!(
        shared,
        DecisionKind::Placed,
        importance: importance(job),
        request = job.incoming.attempt_id.as_str(),
        work,
        target = placement.target.id.as_str(),
        version = placement.target.version.as_deref(),
        placed_by:% = placed_by,
        admission = <&str>::from(job.admission_class),
        taken_up = job.incoming.taken_up.is_some(),
        origin = job.stream_origin(),
        uncached_tokens = placement.uncached_tokens,
        is_copied = placement.copied_from.is_some(),
        predicted_ms = placement.predicted_ms.round() as u64,
        home_rank = placement.home_rank,
        wait_ms = placement.wait_ms.round() as u64,
        deadline_ms = job.incoming.deadline.map(millis),
        longest_wait_ms = millis(job.longest_wait),
        expected_in_flight = placement.expected_in_flight.round() as u64,
        reported_running = placement.report.map(|(report, _)| report.running),
        reported_waiting = placement.report.map(|(report, _)| report.waiting),
        report_age_ms = placement.report.map(|(_, age)| millis(age)),
        reported_work_percent = placement.report.and_then(|(report, _)| report.work_percent),
        expected_work_percent = placement.work_factor.map(|f| (f * 100.0).round() as u64),
        targets_leaving = placement.omitted_targets.leaving,
        targets_resting = placement.omitted_targets.backing_off,
        targets_limited = placement.omitted_targets.limited,
        targets_age_ms = millis(shared.targets_age()),
        cold_tokens = placement.cold_tokens,
        cost_to_others_ms = placement.cost_to_others_ms.round() as u64,
        after_ms = millis(job.arrived_at.elapsed())
    );
}

/// Records that an engine computed the prompt of a request.
pub(crate) fn record_computed_prompt(shared: &Shared, job: &Job, placement: &Placement) {
    decision!(
        shared,
        DecisionKind::Computed,
        importance: importance(job),
        request = job.incoming.attempt_id.as_str(),
        target = placement.target.id.as_str(),
        took_ms = millis(shared.now().saturating_sub(placement.placed_at)),
        after_ms = millis(job.arrived_at.elapsed())
    );
}
