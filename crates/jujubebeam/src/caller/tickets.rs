//! Tickets for requests that may run at most once, and their outcomes.

use std::time::Duration;

use jujubebeam_caller::{CallerError, Outcome, OutcomeAnswer, TicketAnswer};
use jujubebeam_core::once::{OnceOutcome, TICKET_LIFETIME};
use jujubebeam_core::{Clock, RequestId, WorkspaceId};
use ntex::web::{HttpRequest, HttpResponse};

use super::respond::error_response;
use super::service::{Place, outcome_here, outcome_of_peer, place};
use super::{ContextState, auth, refusals};
use crate::context::Context;

/// Time after which a question for an outcome is answered `unknown`.
pub(crate) const OUTCOME_WAIT: Duration = Duration::from_secs(2);

/// Handles `POST /v1/tickets`.
pub(crate) async fn issue(context: ContextState, request: HttpRequest) -> HttpResponse {
    match ticket(&context, &request) {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(error) => failed(&context, error),
    }
}

fn ticket(context: &Context, request: &HttpRequest) -> Result<TicketAnswer, CallerError> {
    let snapshot = refusals::settings(context)?;
    let shared = &context.shared;
    let workspace = auth::workspace(shared, &snapshot, request.headers())?;
    let (serial, now) = (shared.next_serial(), shared.clock.now());
    Ok(TicketAnswer {
        idempotency_key: shared.once.mint.issue(serial, workspace.id, now),
        lifetime_ms: TICKET_LIFETIME.as_millis() as u64,
    })
}

/// Handles `GET /v1/outcomes/{key}`.
pub(crate) async fn outcome(context: ContextState, request: HttpRequest) -> HttpResponse {
    let id = context.shared.new_request_id();
    let key = request.match_info().get("key").unwrap_or_default();
    let workspace = refusals::settings(&context)
        .and_then(|s| auth::workspace(&context.shared, &s, request.headers()).map(|w| w.id));
    match workspace {
        Ok(workspace) => {
            let answer = answer(&context, id, Some(workspace), key).await;
            HttpResponse::Ok().json(&answer)
        }
        Err(error) => failed(&context, error),
    }
}

/// Outcome of a key, here or at the vm that issued it as a ticket.
pub(crate) async fn answer(
    context: &Context,
    request: RequestId,
    workspace: Option<WorkspaceId>,
    key: &str,
) -> OutcomeAnswer {
    let outcome = match place(context, key, workspace) {
        Ok(Place::Here(kind)) => outcome_here(context, request, workspace, key, kind).await,
        Ok(Place::At(ticket)) => {
            let asked = outcome_of_peer(context, request, workspace, key, ticket).await;
            return asked.unwrap_or_else(|| answer_for(OnceOutcome::Unknown));
        }
        Err(_) => OnceOutcome::Unknown,
    };
    answer_for(outcome)
}

fn answer_for(outcome: OnceOutcome) -> OutcomeAnswer {
    let (outcome, stored, remedy) = match outcome {
        OnceOutcome::Done(stored) => (Outcome::Done, Some(stored), "nothing is left to do"),
        OnceOutcome::NotRun => (Outcome::NotRun, None, "send the request with a new key"),
        OnceOutcome::Running => (Outcome::Running, None, "ask again in a second"),
        OnceOutcome::Unknown => (
            Outcome::Unknown,
            None,
            "ask the service before sending the request with a new key",
        ),
    };
    let body = stored.as_ref().and_then(|s| s.body.clone());
    OutcomeAnswer {
        outcome,
        status: stored.map(|s| s.status),
        body: body.and_then(|b| String::from_utf8(b).ok()),
        remedy: remedy.into(),
    }
}

fn failed(context: &Context, error: CallerError) -> HttpResponse {
    let id = refusals::id_text(context.shared.new_request_id());
    error_response(error.request_id(id))
}
