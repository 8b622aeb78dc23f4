//! One attempt at a target: the exchange, the checks of its answer, and what is learned from it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::BodyExt;
use jujubebeam_core::gateway::{
    AnswerClaim, AnswerVerdict, AttemptEnd, Placement, Repeatability, check_answer,
};
use jujubebeam_core::quarantine::{QuarantineCommand, QuarantineEvent, Verdict};
use jujubebeam_core::{Machine, TargetId};
use ntex::http::StatusCode;
use ntex::util::Bytes as NtexBytes;
use ntex::web::HttpResponse;
use tokio::time::timeout;

use crate::answer::TargetHeaders;
use crate::connection::{SendError, TargetConnection};
use crate::edges::{AnswerHead, Edges, Wire, Work};
use crate::in_flight::InFlight;
use crate::job::{HOP_HEADERS, Job};
use crate::message::Message;
use crate::notice;
use crate::peers;
use crate::server::Context;
use crate::state::Shared;
use crate::stream::{self, EventStream};
use crate::tell::tell_answer;

/// Longest answer of a plain service that is read as a whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Longest body of a refusal that is read.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Time for the body of a refusal, which comes with its head. A new connection costs as much.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

/// Connections to a target that are left to callers outside the system and to restarts of vms.
const CONNECTION_SHARE: f64 = 0.8;

/// What came of an attempt.
pub(crate) enum Attempted {
    /// A whole answer.
    Whole(WholeAnswer),
    /// A stream with its first events.
    Events(Box<EventStream>),
    /// No answer.
    Ended(AttemptEnd, String),
}

/// A whole answer of a target.
pub(crate) struct WholeAnswer {
    pub(crate) parts: http::response::Parts,
    body: Bytes,
}

pub(crate) async fn attempt<E: Edges>(
    context: &Context<E>,
    job: &Rc<Job>,
    in_flight: InFlight,
    work: Work<'_>,
) -> Attempted {
    let (response, connection) = match send(context, job, &in_flight, work).await {
        Ok(sent) => sent,
        Err((end, reason)) => return Attempted::Ended(end, reason),
    };
    if stream::is_events(&response) {
        return match stream::open(context, job, in_flight, response, connection).await {
            Ok(events) => Attempted::Events(Box::new(events)),
            Err(reason) => Attempted::Ended(AttemptEnd::Broken, reason),
        };
    }
    whole(context, job, &in_flight, response, connection).await
}

/// Sends a request and checks the head of the answer.
pub(crate) async fn send<E: Edges>(
    context: &Context<E>,
    job: &Job,
    in_flight: &InFlight,
    work: Work<'_>,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    let shared = &context.shared;
    let placed = &in_flight.placed;
    job.at_target.replace(placed.target.id.clone());
    // A prompt may be computed again.
    let runs_once = job.repeatability() != Repeatability::Idempotent && !work.is_prompt();
    let limit = connection_limit(shared, job);
    let target = &placed.target;
    let connected = context
        .pool
        .connect(placed.key, &target.address, runs_once, limit)
        .await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return Err(send_failed(context, in_flight, error)),
    };
    let backup = in_flight.backup.as_ref();
    let request = job.request::<E>(placed, work, backup.map(|b| b.address.as_str()));
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) => {
            let (end, reason) = send_failed(context, in_flight, error);
            if end == AttemptEnd::Broken {
                crashed(context, job, placed);
            }
            return Err((end, reason));
        }
    };
    let head = E::Wire::answer(
        response.status().as_u16(),
        &TargetHeaders(response.headers()),
    );
    notice::learn(context, placed.key, target, head.notice);
    check_head(context, job, in_flight, work, &head, response, connection).await
}

async fn check_head<E: Edges>(
    context: &Context<E>,
    job: &Job,
    in_flight: &InFlight,
    work: Work<'_>,
    head: &AnswerHead,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> Result<(Response<hyper::body::Incoming>, TargetConnection), (AttemptEnd, String)> {
    let claim = AnswerClaim {
        request_id: &job.incoming.attempt_id,
        echoed_id: head.attempt_id.as_deref(),
        is_first_on_connection: connection.is_first_exchange(),
        is_not_run: head.not_run,
        is_prompt: work.is_prompt(),
        is_success: response.status().is_success(),
        is_signed: head.is_signed,
        is_encoded: response.headers().contains_key(header::CONTENT_ENCODING),
    };
    match check_answer(&claim) {
        AnswerVerdict::Own => {
            in_flight.answered(head.load);
            let is_named = claim.echoed_id.is_some();
            let connection = connection.reusable_if(is_named && !head.notice.is_leaving);
            Ok((response, connection))
        }
        AnswerVerdict::NotRun => {
            in_flight.refused(head.load);
            let status = response.status();
            let is_named = claim.echoed_id.is_some();
            let connection = connection.reusable_if(is_named && !head.notice.is_leaving);
            if read_rest(response.into_body()).await {
                context.pool.release(in_flight.placed.key, connection);
            }
            Err((AttemptEnd::NotRun, format!("refused with {status}")))
        }
        // Dropping the connection closes it; whatever else it brings cannot be trusted.
        AnswerVerdict::OfAnotherRequest => {
            in_flight.failed();
            Err((AttemptEnd::Broken, "answer of another request".into()))
        }
        AnswerVerdict::Untrusted => {
            in_flight.failed();
            Err((AttemptEnd::Broken, "answer is not the target's own".into()))
        }
    }
}

/// Reads what is left of a refusal, so that its connection can be used again. Returns false if there
/// is more than a short text or it does not come at once; the caller waits for its answer.
async fn read_rest(body: hyper::body::Incoming) -> bool {
    let body = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES);
    matches!(timeout(REFUSAL_TIME, body.collect()).await, Ok(Ok(_)))
}

fn send_failed<E: Edges>(
    context: &Context<E>,
    in_flight: &InFlight,
    error: SendError,
) -> (AttemptEnd, String) {
    match error {
        SendError::NotSent(reason) => {
            in_flight.unreachable();
            (AttemptEnd::NotSent, reason)
        }
        SendError::NoAnswer(reason) => {
            context.pool.close_idle(in_flight.placed.key);
            in_flight.failed();
            (AttemptEnd::Broken, reason)
        }
    }
}

/// Share of this vm in the connections that a target accepts.
fn connection_limit(shared: &Shared, job: &Job) -> usize {
    let service = job.settings.services.get(&job.service);
    let all = service.map_or(0, |s| s.max_connections);
    if all == 0 {
        return usize::MAX;
    }
    let vms = shared.vms() * shared.config.workers;
    let share = f64::from(all) * CONNECTION_SHARE / vms.max(1) as f64;
    (share as usize).max(2)
}

/// A connection broke under the request; if the target crashed, the request may be the cause.
pub(crate) fn crashed<E: Edges>(context: &Context<E>, job: &Job, placed: &Placement) {
    let mut hasher = DefaultHasher::new();
    (&placed.target.id, placed.target.born_ms).hash(&mut hasher);
    let event = QuarantineEvent::Crashed {
        fingerprint: job.fingerprint,
        target: TargetId(hasher.finish()),
    };
    feed_quarantine(context, event);
}

/// The request gave a whole answer.
pub(crate) fn is_sound<E: Edges>(context: &Context<E>, job: &Job) {
    let fingerprint = job.fingerprint;
    let known = {
        let quarantine = context.shared.quarantine();
        quarantine.verdict(fingerprint, context.shared.now()) != Verdict::Clear
    };
    if known {
        feed_quarantine(context, QuarantineEvent::Whole { fingerprint });
    }
}

fn feed_quarantine<E: Edges>(context: &Context<E>, event: QuarantineEvent) {
    let mut commands = Vec::new();
    let now = context.shared.now();
    context.shared.quarantine().step(event, now, &mut commands);
    for QuarantineCommand::Tell(message) in commands {
        peers::tell_all(context, &Message::Quarantine(message));
    }
}

async fn whole<E: Edges>(
    context: &Context<E>,
    job: &Rc<Job>,
    in_flight: &InFlight,
    response: Response<hyper::body::Incoming>,
    connection: TargetConnection,
) -> Attempted {
    let shared = &context.shared;
    job.began(shared);
    let placed = &in_flight.placed;
    let (parts, body) = response.into_parts();
    let body = match http_body_util::Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            in_flight.failed();
            context.pool.close_idle(placed.key);
            return Attempted::Ended(AttemptEnd::Broken, format!("answer broke off: {error}"));
        }
    };
    context.pool.release(placed.key, connection);
    // These statuses promise that the request has not run, which only the target's own statement
    // can prove.
    if matches!(parts.status.as_u16(), 408 | 421 | 429 | 503) {
        let reason = format!("status {} without a statement", parts.status);
        return Attempted::Ended(AttemptEnd::Broken, reason);
    }
    is_sound(context, job);
    Attempted::Whole(WholeAnswer { parts, body })
}

pub(crate) fn pass_on<E: Edges>(
    context: &Context<E>,
    job: &Job,
    answer: WholeAnswer,
) -> HttpResponse {
    tell_answer(&context.shared, job, answer.parts.status.as_u16(), None);
    let mut builder = head(&answer.parts);
    builder.body(NtexBytes::copy_from_slice(&answer.body))
}

/// Head of an answer with the target's status and headers.
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
