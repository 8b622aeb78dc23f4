//! Requests to plain services that may run at most once.

use std::time::Duration;

use jujubebeam_caller::{CallerError, ErrorKind};
use jujubebeam_core::once::{
    BodyHash, ExecutionResult, KeyKind, OnceEvent, OnceKey, OnceOutcome, OnceRefusal, StoredAnswer,
    Ticket,
};
use jujubebeam_core::{Clock, RequestId, TargetId, WorkspaceId};
use jujubebeam_service::ServiceClientConfig;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use super::{Answer, Job, call, forward};
use crate::caller::tickets::OUTCOME_WAIT;
use crate::context::Context;
use crate::crashes;
use crate::ledger::{self, Decision};

/// Targets that may be tried. Only refused connections lead to another one.
const TARGETS: u32 = 3;

/// Where a key is protected.
pub(crate) enum Place {
    /// In the ledger of this process run.
    Here(KeyKind),
    /// In the ledger of the process run that issued the ticket.
    At(Ticket),
}

/// Runs the request here or at the vm that issued its ticket.
pub(super) async fn run(
    context: &Context,
    job: Job,
    key: String,
) -> Result<HttpResponse, CallerError> {
    match place(context, &key, job.workspace)? {
        Place::At(ticket) => forward::run_at(context, &job, &key, ticket).await,
        Place::Here(kind) => run_here(context, job, key, kind).await,
    }
}

/// Runs the request in a task of its own, because it must be carried through to a recorded end
/// even if the caller disconnects.
pub(super) async fn run_here(
    context: &Context,
    job: Job,
    key: String,
    kind: KeyKind,
) -> Result<HttpResponse, CallerError> {
    let request = job.request;
    let task_context = context.clone();
    let lost_key = key.clone();
    let task = ntex::rt::spawn(async move { decide(&task_context, &job, &key, kind).await });
    let result = task.await.map_err(|_| outcome_unknown(&lost_key))?;
    Ok(result?.into_response(request))
}

/// Finds out where a key is protected.
pub(crate) fn place(
    context: &Context,
    key: &str,
    workspace: Option<WorkspaceId>,
) -> Result<Place, CallerError> {
    let Some(ticket) = Ticket::parse(key) else {
        return Ok(Place::Here(KeyKind::CallerChosen));
    };
    let shared = &context.shared;
    if ticket.vm != shared.config.vm {
        return Ok(Place::At(ticket));
    }
    if ticket.incarnation != shared.incarnation {
        return Err(outcome_unknown(key));
    }
    if !shared
        .once
        .mint
        .verify(&ticket, workspace.unwrap_or_default())
    {
        return Err(CallerError::not_run(
            ErrorKind::BadRequest,
            "the ticket was changed or belongs to another workspace",
            "get a ticket from `POST /v1/tickets` with the same key",
        ));
    }
    let expires = ticket.expires();
    Ok(Place::Here(KeyKind::Ticket { expires }))
}

async fn decide(
    context: &Context,
    job: &Job,
    key: &str,
    kind: KeyKind,
) -> Result<Answer, CallerError> {
    let once_key = OnceKey::new(job.workspace.unwrap_or_default(), key);
    let event = OnceEvent::Begin {
        request: job.request,
        key: once_key,
        kind,
        body: body_hash(job),
        deadline: job.deadline,
    };
    match ledger::decide(context, job.request, once_key, event).await {
        Decision::Run => {
            let (end, result) = execute(context, job, key).await;
            ledger::feed(context, once_key, OnceEvent::Ended { key: once_key, end });
            result
        }
        Decision::Outcome(outcome) => of_outcome(outcome, key),
        Decision::Refuse(refusal) => Err(of_refusal(refusal, key)),
    }
}

fn body_hash(job: &Job) -> BodyHash {
    let digest = Sha256::new()
        .chain_update(job.method.as_str())
        .chain_update([0])
        .chain_update(&job.path_and_query)
        .chain_update([0])
        .chain_update(&job.body);
    digest.finalize().into()
}

/// Sends the request once. Only a refused connection, which carries no byte, allows another
/// target.
async fn execute(
    context: &Context,
    job: &Job,
    key: &str,
) -> (ExecutionResult, Result<Answer, CallerError>) {
    let mut excluded = SmallVec::new();
    for attempt in 1..=TARGETS {
        let permit = match call::acquire(context, job, excluded.clone()).await {
            Ok(permit) => permit,
            Err(error) => return (ExecutionResult::NotSent, Err(error)),
        };
        let started = context.shared.clock.now();
        match call::call(
            context,
            &context.fresh,
            job,
            &permit.target.address,
            attempt,
        )
        .await
        {
            Ok(answer) => {
                permit.finish(0, 0);
                return (ExecutionResult::Answer(stored(&answer)), Ok(answer));
            }
            Err(error) if error.is_unsent() => excluded.push(permit.target.id),
            Err(error) => {
                log::warn!("route: {} lost the answer: {error}", permit.target.name);
                count_crash(context, job, permit.target.id, started).await;
                return (ExecutionResult::Lost, Err(outcome_unknown(key)));
            }
        }
    }
    let error = CallerError::not_run(
        ErrorKind::NoTarget,
        "the targets refused the connection",
        "send the request again with the same key",
    );
    (ExecutionResult::NotSent, Err(error.retry_after_s(2)))
}

/// Counts a connection that broke. A service that only was too slow has not died.
async fn count_crash(context: &Context, job: &Job, target: TargetId, started: Duration) {
    let passed = context.shared.clock.now().saturating_sub(started);
    if passed >= ServiceClientConfig::default().answer_timeout {
        return;
    }
    crashes::crashed(context, job.fingerprint(), target).await;
}

fn stored(answer: &Answer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status.as_u16(),
        content_type: answer.content_type.clone().unwrap_or_default(),
        body: Some(answer.body.to_vec()),
    }
}

fn of_outcome(outcome: OnceOutcome, key: &str) -> Result<Answer, CallerError> {
    match outcome {
        OnceOutcome::Done(StoredAnswer {
            status,
            content_type,
            body: Some(body),
        }) => Ok(Answer {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
            content_type: (!content_type.is_empty()).then_some(content_type),
            body: Bytes::from(body),
        }),
        OnceOutcome::Done(_) => Err(CallerError::may_have_run(
            ErrorKind::OutcomeUnknown,
            "the request ran, but its answer is not kept any more",
            "read the result from the service",
        )),
        OnceOutcome::NotRun => Err(CallerError::not_run(
            ErrorKind::NoTarget,
            "the request did not run and never will under this key",
            "send the request with a new key",
        )),
        OnceOutcome::Running => Err(CallerError::may_have_run(
            ErrorKind::OutcomeUnknown,
            "the request is still running",
            format!("ask `GET /v1/outcomes/{key}`"),
        )
        .retry_after_s(1)),
        OnceOutcome::Unknown => Err(outcome_unknown(key)),
    }
}

fn of_refusal(refusal: OnceRefusal, key: &str) -> CallerError {
    let again = "send the request again with the same key";
    match refusal {
        OnceRefusal::StoreUnavailable => CallerError::not_run(
            ErrorKind::Overloaded,
            "the store cannot record the key now, so the request was not sent",
            "send the request again with the same key, or with a key from `POST /v1/tickets`",
        )
        .retry_after_s(2),
        OnceRefusal::GivenUp => CallerError::not_run(
            ErrorKind::DeadlineUnreachable,
            "the store did not confirm the key in time, so this vm never sends the request",
            format!("ask `GET /v1/outcomes/{key}`, then send the request with a new key"),
        )
        .retry_after_s(2),
        OnceRefusal::BodyDiffers => CallerError::not_run(
            ErrorKind::BadRequest,
            "the key was used for a different request",
            "send a new key with a new request",
        ),
        OnceRefusal::TicketExpired => outcome_unknown(key),
        OnceRefusal::Full => CallerError::not_run(
            ErrorKind::Overloaded,
            "the ledger of this vm is full",
            "use another address",
        )
        .retry_after_s(5),
        OnceRefusal::NotSent => {
            CallerError::not_run(ErrorKind::NoTarget, "no target took the request", again)
                .retry_after_s(2)
        }
    }
}

/// Error for a request that may have run.
pub(crate) fn outcome_unknown(key: &str) -> CallerError {
    CallerError::may_have_run(
        ErrorKind::OutcomeUnknown,
        "the request may have run, but its answer is lost",
        format!("ask `GET /v1/outcomes/{key}` or the service before sending a new request"),
    )
    .retry_after_s(2)
}

/// Outcome of a key that is protected here.
pub(crate) async fn outcome_here(
    context: &Context,
    request: RequestId,
    workspace: Option<WorkspaceId>,
    key: &str,
    kind: KeyKind,
) -> OnceOutcome {
    let once_key = OnceKey::new(workspace.unwrap_or_default(), key);
    let event = OnceEvent::Lookup {
        request,
        key: once_key,
        kind,
        deadline: context.shared.clock.now() + OUTCOME_WAIT,
    };
    let context = context.clone();
    let task =
        ntex::rt::spawn(async move { ledger::decide(&context, request, once_key, event).await });
    match task.await {
        Ok(Decision::Outcome(outcome)) => outcome,
        _ => OnceOutcome::Unknown,
    }
}
