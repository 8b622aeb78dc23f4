//! Requests, and common parts of requests, that crash targets: counts, refusals, and the exchange with other vms.
//! See [`jujubebeam_core::quarantine`] and [`jujubebeam_core::gateway::PartCrashes`].

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use http::header;
use jujubebeam_core::gateway::{
    Placement, RequestIdentity, TargetRun, UnansweredAttempt, owner_of,
};
use jujubebeam_core::quarantine::{
    Fingerprint, QuarantineCommand, QuarantineEvent, QuarantineMessage, Verdict,
};
use jujubebeam_core::{Machine, TargetId};

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::adapters::Adapters;
use crate::answer::{Reason, Refusal};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::in_flight::InFlight;
use crate::job::Job;
use crate::message::Message;
use crate::peers;
use crate::server::Context;
use crate::state::Shared;

/// Time from the end of an answer to the check whether its target is alive. A process that crashes
/// closes its connections and its listener at the same time.
const ALIVE_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Timeout of that check. Zones are at most a few milliseconds apart.
const ALIVE_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Refusal of a request that, or a prompt part of which, crashes targets. The verdict may change
/// until each send.
pub(crate) fn refusal<A: Adapters>(context: &Context<A>, job: &Job) -> Option<Refusal> {
    let (shared, now) = (&context.shared, context.shared.now());
    if let Verdict::Refuse { retry_after } =
        shared.quarantine().verdict(job.identity.request(), now)
    {
        return Some(Refusal::not_run(Reason::CrashesTargets, retry_after));
    }
    if job.is_trial.get() {
        return None;
    }
    let refused = {
        let mut part_crashes = shared.part_crashes();
        let refused = part_crashes.refused_part(job.identity.common(), now)?;
        let is_trial = is_trial_owner(shared, refused.fingerprint)
            && part_crashes.take_trial(refused.fingerprint, now);
        job.is_trial.set(is_trial);
        refused
    };
    decision!(
        shared,
        DecisionKind::PartRefused,
        request = job.incoming.attempt_id.as_str(),
        part = part_name(job, refused.fingerprint),
        is_trial = job.is_trial.get(),
        retry_after_ms = millis(refused.retry_after)
    );
    let refusal = Refusal::not_run(Reason::CrashesTargets, refused.retry_after);
    (!job.is_trial.get()).then_some(refusal)
}

/// Whether this vm is the one that may test whether a refused part still crashes targets.
fn is_trial_owner(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let vms = shared.membership().coordinator_candidates(shared.now());
    let name = format!("{:032x}", u128::from_be_bytes(fingerprint.0));
    owner_of(&name, &vms) == Some(shared.vm)
}

/// Id of the prompt part with this fingerprint, as in the request, or `resource`.
fn part_name(job: &Job, refused: Fingerprint) -> String {
    let mut named = job.identity.named_common();
    let named = named.find(|(_, fingerprint)| *fingerprint == refused);
    named.map_or_else(String::new, |(name, _)| name)
}

/// A request against which crashes count.
struct Subject<'a> {
    attempt_id: &'a str,
    identity: &'a RequestIdentity,
}

impl<'a> Subject<'a> {
    fn of(job: &'a Job) -> Self {
        Self {
            attempt_id: &job.incoming.attempt_id,
            identity: &job.identity,
        }
    }
}

/// Reports that a connection broke while the target had the request. If the target crashed, the
/// request or one of its prompt parts may be the cause.
pub(crate) fn report_crash<A: Adapters>(context: &Context<A>, job: &Job, in_flight: &InFlight) {
    in_flight.settle();
    let run = TargetRun::of(&in_flight.placement.target);
    count_crash(context, &Subject::of(job), &run, Duration::ZERO);
}

/// Reports that the target of an attempt crashed, which was found after the attempt had ended.
pub(crate) fn report_unanswered<A: Adapters>(
    context: &Context<A>,
    attempt: &UnansweredAttempt,
    age: Duration,
) {
    let subject = Subject {
        attempt_id: &attempt.attempt_id,
        identity: &attempt.identity,
    };
    count_crash(context, &subject, &attempt.run, age);
}

fn count_crash<A: Adapters>(
    context: &Context<A>,
    subject: &Subject<'_>,
    run: &TargetRun,
    age: Duration,
) {
    let mut hasher = DefaultHasher::new();
    (&run.id, run.born_ms).hash(&mut hasher);
    let target = TargetId(hasher.finish());
    let (shared, now) = (&context.shared, context.shared.now());
    let fingerprint = subject.identity.request();
    let has_crashed_before = shared.quarantine().crashed_targets(fingerprint, now) > 0;
    let event = QuarantineEvent::Crashed {
        fingerprint,
        target,
        age,
    };
    feed_quarantine(context, event);
    let blamed = subject.identity.blamed(has_crashed_before);
    let messages = shared
        .part_crashes()
        .crashed_before(blamed, target, age, now);
    broadcast(context, messages);
    log_counts(shared, subject, &run.id, "counted", age);
}

/// Reports that the request got a complete answer from a target. Only a success proves that the
/// target has written an answer, and only one whose end is announced that it has not crashed.
pub(crate) fn report_success<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    placement: &Placement,
    status: http::StatusCode,
    has_announced_end: bool,
) {
    let (shared, now) = (&context.shared, context.shared.now());
    let fingerprint = job.identity.request();
    shared.crash_evidence().completed(fingerprint);
    let is_suspect = shared.quarantine().verdict(fingerprint, now) != Verdict::Clear;
    if is_suspect {
        feed_quarantine(context, QuarantineEvent::Completed { fingerprint });
    }
    if job.identity.common().is_empty() || !status.is_success() {
        return;
    }
    if has_announced_end {
        clear_parts(context, job, is_suspect);
    } else if shared
        .part_crashes()
        .is_any_suspect(job.identity.common(), now)
    {
        let (context, job) = (context.clone(), job.clone());
        let address = placement.target.address.clone();
        ntex::rt::spawn(async move {
            if is_alive(&address).await {
                clear_parts(&context, &job, is_suspect);
            }
        });
    }
}

/// Whether a target still accepts connections shortly after the end of an answer. One that has
/// crashed takes seconds to come back.
async fn is_alive(address: &str) -> bool {
    sleep(ALIVE_CHECK_DELAY).await;
    let connected = timeout(ALIVE_CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Clears the parts of a request at all vms.
fn clear_parts<A: Adapters>(context: &Context<A>, job: &Job, is_suspect: bool) {
    let (shared, now) = (&context.shared, context.shared.now());
    let messages = shared.part_crashes().completed(job.identity.common(), now);
    let is_cleared = !messages.is_empty();
    broadcast(context, messages);
    if is_suspect || is_cleared {
        let target = job.current_target.borrow();
        log_counts(
            shared,
            &Subject::of(job),
            &target,
            "cleared",
            Duration::ZERO,
        );
    }
}

/// Whether the end of a body is part of the message, and not only the end of its connection.
pub(crate) fn has_announced_end(headers: &http::HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn feed_quarantine<A: Adapters>(context: &Context<A>, event: QuarantineEvent) {
    let mut commands = Vec::new();
    let now = context.shared.now();
    context.shared.quarantine().step(event, now, &mut commands);
    for QuarantineCommand::Broadcast(message) in commands {
        if message.changes_stored() {
            context.shared.crash_counts_changed.notify_one();
        }
        peers::broadcast(context, &Message::Quarantine(message));
    }
}

/// Sends counts of parts in a message of its own, because vms of earlier versions cannot read it.
fn broadcast<A: Adapters>(context: &Context<A>, messages: Vec<QuarantineMessage>) {
    if messages.iter().any(QuarantineMessage::changes_stored) {
        context.shared.crash_counts_changed.notify_one();
    }
    if !messages.is_empty() {
        peers::broadcast(context, &Message::PartCrashes(messages));
    }
}

/// Logs how many targets count against a request and its parts after a crash or a complete answer.
fn log_counts(
    shared: &Shared,
    subject: &Subject<'_>,
    target: &str,
    outcome: &'static str,
    age: Duration,
) {
    let now = shared.now();
    let crashed_targets = shared
        .quarantine()
        .crashed_targets(subject.identity.request(), now);
    let parts: Vec<_> = {
        let part_crashes = shared.part_crashes();
        let named = subject.identity.named_common();
        let counts = named.map(|(name, fingerprint)| {
            let crashed = part_crashes.crashed_targets(fingerprint, now);
            format!("{name}={crashed}")
        });
        counts.collect()
    };
    decision!(
        shared,
        DecisionKind::Crash,
        request = subject.attempt_id,
        target = target,
        outcome = outcome,
        crashed_targets = crashed_targets,
        parts = parts.join(","),
        age_ms = millis(age)
    );
}
