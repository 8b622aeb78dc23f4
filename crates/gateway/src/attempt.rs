//! One attempt at a target: sends the request, validates the answer and records the outcome.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, header};
use http_body_util::BodyExt;
use hyper::ext::ReasonPhrase;
use jujubebeam_core::gateway::{
    AnswerClaim, AnswerVerdict, AttemptEnd, Placement, Repeatability, check_answer,
    contains_status_line,
};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use tokio::time::timeout;

use crate::adapters::{Adapters, AnswerHead, Wire, Work};
use crate::answer::TargetHeaders;
use crate::collected::{self, CollectError, CollectedAnswer};
use crate::connection::{PooledRequest, SendError, TargetConnection};
use crate::crashes;
use crate::in_flight::InFlight;
use crate::job::{HOP_HEADERS, Job};
use crate::notice;
use crate::request_log::record_answer;
use crate::server::Context;
use crate::state::Shared;
use crate::stream::{self, EventStream};

/// Longest refusal body that is read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Time limit for reading the body of a refusal, which usually arrives with its head. Waiting
/// longer would cost more than a new connection.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Share of a target's connections that the gateways use. The rest is left to callers outside the
/// system and to restarts of vms.
const CONNECTION_SHARE: f64 = 0.8;

/// Highest status of HTTP. Some clients cannot read an answer with a higher one (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Outcome of an attempt.
pub(crate) enum AttemptResult {
    /// A complete answer.
    Complete(CompleteAnswer),
    /// An event stream of which the first events have arrived.
    Stream(Box<EventStream>),
    /// No answer; how the attempt ended, and the reason for the log.
    Failed(AttemptEnd, String),
}

/// A complete answer of a target.
pub(crate) struct CompleteAnswer {
    pub(crate) parts: http::response::Parts,
    body: CollectedAnswer,
}

pub(crate) async fn attempt<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    in_flight: InFlight,
    work: Work<'_>,
) -> AttemptResult {
    let (response, connection) = match send(context, job, &in_flight, work).await {
        Ok(sent) => sent,
        Err((end, reason)) => return AttemptResult::Failed(end, reason),
    };
    // Without chunks, only a length distinguishes a whole stream from one that was broken off.
    if stream::is_event_stream(&response) && job.allows_chunks {
        return match stream::open(context, job, in_flight, response, connection).await {
            Ok(events) => AttemptResult::Stream(Box::new(events)),
            Err(reason) => AttemptResult::Failed(AttemptEnd::Broken, reason),
        };
    }
    read_complete(context, job, &in_flight, response, connection).await
}

/// Sends a request and checks the head of the answer.
pub(crate) async fn send<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    in_flight: &InFlight,
    work: Work<'_>,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    let shared = &context.shared;
    let placement = &in_flight.placement;
    job.current_target.replace(placement.target.id.clone());
    // Computing a prompt again has no side effects, so it may always be repeated.
    let pooled = PooledRequest {
        attempt_id: &job.incoming.attempt_id,
        runs_once: job.repeatability() != Repeatability::Idempotent && !work.is_prefill(),
    };
    let limit = connection_limit(shared, job);
    let target = &placement.target;
    let connected = context
        .pool
        .connect(placement.key, &target.address, pooled, limit)
        .await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return Err(record_send_error(context, in_flight, error)),
    };
    // A permit, the owner of the service and a new connection may have taken a while.
    let now = shared.now();
    if !shared.fleet().catalog.is_usable(placement.key, now) {
        let reason = "target stopped accepting work before the send".to_owned();
        return Err((AttemptEnd::NotSent, reason));
    }
    if crashes::refusal(context, job).is_some() {
        let reason = "request crashes targets, which became known before the send".to_owned();
        return Err((AttemptEnd::NotSent, reason));
    }
    // The request has the remaining time, so it is built last.
    let backup = in_flight.backup.as_ref();
    let request = job
        .request::<A>(placement, work, backup.map(|b| b.address.as_str()))
        .map_err(|error| (AttemptEnd::NotSent, error.to_string()))?;
    let sent_at = shared.now();
    record_limited_send(shared, placement, &work);
    in_flight.record_send(job);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) => {
            let (end, reason) = record_send_error(context, in_flight, error);
            if end == AttemptEnd::Broken {
                crashes::report_crash(context, job, in_flight);
            }
            return Err((end, reason));
        }
    };
    let head = A::Wire::answer(
        response.status().as_u16(),
        &TargetHeaders(response.headers()),
    );
    notice::apply_notice(context, placement.key, target, head.notice);
    let sent = SentWork { work, sent_at };
    check_head(context, job, in_flight, sent, &head, response, connection).await
}

/// Counts a request to a target that limits its requests per second.
fn record_limited_send(shared: &Shared, placement: &Placement, work: &Work<'_>) {
    let limit_per_s = shared.fleet().rate_limits.limit_per_s(placement.key);
    if limit_per_s.is_some() {
        shared.metrics.limited_send(work.into());
    }
}

/// Work that was sent to a target.
struct SentWork<'a> {
    work: Work<'a>,
    sent_at: Duration,
}

async fn check_head<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    in_flight: &InFlight,
    sent: SentWork<'_>,
    head: &AnswerHead,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    // A caller would take it for an interim answer and wait on. Requests never ask for it, because
    // their `Upgrade` header is not forwarded.
    if response.status() == http::StatusCode::SWITCHING_PROTOCOLS {
        in_flight.settle();
        in_flight.failed();
        return Err((AttemptEnd::Broken, "target changed the protocol".into()));
    }
    if response.status().as_u16() > MAX_STATUS {
        in_flight.settle();
        in_flight.failed();
        let reason = format!("answer with the invalid status {}", response.status());
        return Err((AttemptEnd::Broken, reason));
    }
    let claim = AnswerClaim {
        request_id: &job.incoming.attempt_id,
        echoed_id: head.attempt_id.as_deref(),
        is_joined: is_joined_head(&response),
        is_first_on_connection: connection.is_first_exchange(),
        is_not_run: head.not_run,
        is_prompt: sent.work.is_prefill(),
        is_success: response.status().is_success(),
        is_signed: head.is_signed,
        is_encoded: response.headers().contains_key(header::CONTENT_ENCODING),
    };
    let verdict = check_answer(&claim);
    // A late copy of an earlier answer may state a limit that no longer applies.
    if matches!(verdict, AnswerVerdict::Own | AnswerVerdict::NotRun) {
        let Placement { key, target, .. } = &in_flight.placement;
        notice::record_rate_limit(context, *key, target, head.notice, sent.sent_at);
    }
    match verdict {
        AnswerVerdict::Own => {
            in_flight.answered(head.load);
            let is_named = claim.echoed_id.is_some();
            let connection = connection.reusable_if(is_named && !head.notice.is_leaving);
            Ok((response, connection))
        }
        AnswerVerdict::NotRun => {
            in_flight.refused(head.load);
            let status = response.status();
            if let Some(hand_over) = &in_flight.hand_over {
                hand_over.record_refusal(status);
            }
            let is_named = claim.echoed_id.is_some();
            let connection = connection.reusable_if(is_named && !head.notice.is_leaving);
            if drain_refusal(response.into_body()).await {
                context.pool.release(in_flight.placement.key, connection);
            }
            Err((AttemptEnd::NotRun, format!("refused with {status}")))
        }
        // Dropping the connection closes it. Nothing that arrives on it later can be trusted.
        AnswerVerdict::OfAnotherRequest => {
            in_flight.settle();
            in_flight.failed();
            Err((AttemptEnd::Broken, "answer of another request".into()))
        }
        AnswerVerdict::Untrusted => {
            in_flight.settle();
            in_flight.failed();
            Err((AttemptEnd::Broken, "answer is not the target's own".into()))
        }
    }
}

/// Whether a line of the head was continued by the head of another answer.
fn is_joined_head(response: &Response<hyper::body::Incoming>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let is_joined_reason = reason.is_some_and(|reason| contains_status_line(reason.as_bytes()));
    let mut values = response.headers().values();
    is_joined_reason || values.any(|value| contains_status_line(value.as_bytes()))
}

/// Reads the body of a refusal so that its connection can be reused. Returns false if the body is
/// too long or does not arrive at once, because the caller is waiting for an answer.
async fn drain_refusal(body: hyper::body::Incoming) -> bool {
    let body = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES);
    matches!(
        timeout(REFUSAL_READ_TIMEOUT, body.collect()).await,
        Ok(Ok(_))
    )
}

fn record_send_error<A: Adapters>(
    context: &Context<A>,
    in_flight: &InFlight,
    error: SendError,
) -> (AttemptEnd, String) {
    match error {
        SendError::NotSent(reason) => {
            in_flight.unreachable();
            (AttemptEnd::NotSent, reason)
        }
        SendError::NoAnswer(reason) => {
            context.pool.close_idle(in_flight.placement.key);
            in_flight.failed();
            (AttemptEnd::Broken, reason)
        }
    }
}

/// Number of connections that one worker of this vm may open to a target of the service.
fn connection_limit(shared: &Shared, job: &Job) -> usize {
    let service = job.settings.services.get(job.service());
    let all = service.map_or(0, |s| s.max_connections);
    if all == 0 {
        return usize::MAX;
    }
    let vms = shared.vms() * shared.config.workers;
    let share = f64::from(all) * CONNECTION_SHARE / vms.max(1) as f64;
    (share as usize).max(2)
}

async fn read_complete<A: Adapters>(
    context: &Context<A>,
    job: &Rc<Job>,
    in_flight: &InFlight,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> AttemptResult {
    let shared = &context.shared;
    job.record_response_start(shared);
    let placement = &in_flight.placement;
    let (parts, body) = response.into_parts();
    let body = match collected::collect(&shared.answer_budget, placement.key, body).await {
        Ok(body) => body,
        Err(error) => {
            in_flight.failed();
            context.pool.close_idle(placement.key);
            match error {
                CollectError::Broken(_) => crashes::report_crash(context, job, in_flight),
                // The target is alive if it sent too much.
                CollectError::TooLong | CollectError::OverBudget => in_flight.settle(),
            }
            return AttemptResult::Failed(AttemptEnd::Broken, format!("answer broke off: {error}"));
        }
    };
    context.pool.release(placement.key, connection);
    in_flight.settle();
    // To a caller these statuses mean that the request has not run. Only an explicit statement of
    // the target proves that, and this answer has none.
    if matches!(parts.status.as_u16(), 408 | 421 | 429 | 503) {
        let reason = format!("status {} without a statement", parts.status);
        return AttemptResult::Failed(AttemptEnd::Broken, reason);
    }
    let has_announced_end = crashes::has_announced_end(&parts.headers);
    crashes::report_success(context, job, placement, parts.status, has_announced_end);
    AttemptResult::Complete(CompleteAnswer { parts, body })
}

pub(crate) fn forward_answer<A: Adapters>(
    context: &Context<A>,
    job: &Job,
    answer: CompleteAnswer,
) -> HttpResponse {
    record_answer(&context.shared, job, answer.parts.status.as_u16(), None);
    let mut builder = head(&answer.parts);
    builder.body(answer.body.into_body(job.connection()))
}

/// Starts a response with the status and end-to-end headers of the target's answer.
pub(crate) fn head(parts: &http::response::Parts) -> ntex::web::HttpResponseBuilder {
    let status = StatusCode::from_u16(parts.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &parts.headers {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let name = ntex::http::header::HeaderName::from_bytes(name.as_str().as_bytes());
        let value = ntex::http::header::HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            builder.header(name, value);
        }
    }
    builder
}
