//! Forwards ticketed requests to the vm that issued the ticket.

use std::time::Duration;

use jujubebeam_caller::{CallerError, ErrorKind, OutcomeAnswer, headers as names};
use jujubebeam_core::once::Ticket;
use jujubebeam_core::{Clock, RequestId, WorkspaceId};
use jujubebeam_http::CallError;
use jujubebeam_peer::RUN_PATH;
use ntex::http::header::{self, HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method};
use ntex::time::{Millis, timeout};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};

use super::once::{self, Place, outcome_unknown};
use super::{Answer, Job, service_route};
use crate::caller::respond::error_response;
use crate::caller::{refusals, tickets};
use crate::context::Context;
use crate::trace;

/// Bytes of the length field before the head.
const LENGTH_BYTES: usize = 4;

/// What the vm of the ticket is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Action {
    Run,
    Outcome,
}

/// Head of a forwarded request; the raw body follows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RunHead {
    action: Action,
    request: RequestId,
    /// Workspace that the forwarding vm found for the caller's key.
    workspace: Option<WorkspaceId>,
    key: String,
    method: String,
    path_and_query: String,
    headers: Vec<(String, Vec<u8>)>,
    wait: Duration,
}

/// Sends the request to the vm of its ticket. The ledger there keeps a repeat from running again.
pub(super) async fn run_at(
    context: &Context,
    job: &Job,
    key: &str,
    ticket: Ticket,
) -> Result<HttpResponse, CallerError> {
    let span = tracing::info_span!(parent: &job.span, "forward", vm = ticket.vm.0);
    let mut headers = job.headers.clone();
    trace::insert_traceparent(&span, &mut headers);
    let headers = headers.iter();
    let head = RunHead {
        action: Action::Run,
        request: job.request,
        workspace: job.workspace,
        key: key.to_owned(),
        method: job.method.as_str().to_owned(),
        path_and_query: job.path_and_query.clone(),
        headers: headers
            .map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()))
            .collect(),
        wait: job.remaining(context),
    };
    let (answer, retry_after) = exchange(context, ticket, &head, &job.body)
        .await
        .map_err(|_| outcome_unknown(key))?;
    let mut response = answer.into_response(job.request);
    if let Some(value) = retry_after {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Ok(response)
}

/// Asks the vm of a ticket for the outcome.
pub(crate) async fn outcome_of_peer(
    context: &Context,
    request: RequestId,
    workspace: Option<WorkspaceId>,
    key: &str,
    ticket: Ticket,
) -> Option<OutcomeAnswer> {
    let head = RunHead {
        action: Action::Outcome,
        request,
        workspace,
        key: key.to_owned(),
        method: Method::GET.as_str().to_owned(),
        path_and_query: String::new(),
        headers: Vec::new(),
        wait: tickets::OUTCOME_WAIT,
    };
    let (answer, _) = exchange(context, ticket, &head, &Bytes::new()).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

async fn exchange(
    context: &Context,
    ticket: Ticket,
    head: &RunHead,
    body: &[u8],
) -> Result<(Answer, Option<HeaderValue>), CallError> {
    let address = context.shared.peer_address(ticket.vm);
    let address = address.ok_or_else(|| CallError::NoAnswer("vm is not listed".into()))?;
    let encoded = rmp_serde::to_vec_named(head);
    let encoded = encoded.map_err(|e| CallError::Malformed(e.to_string()))?;
    let mut message = Vec::with_capacity(LENGTH_BYTES + encoded.len() + body.len());
    message.extend((encoded.len() as u32).to_be_bytes());
    message.extend(encoded);
    message.extend_from_slice(body);
    let call = async {
        let response = context
            .fresh
            .post(format!("http://{address}{RUN_PATH}"))
            .timeout(Millis::ZERO)
            .send_body(message)
            .await?;
        let text = |name| response.headers().get(name).cloned();
        let retry_after = text(header::RETRY_AFTER);
        let content_type = text(header::CONTENT_TYPE);
        let status = response.status();
        let body = response.body().await;
        let answer = Answer {
            status,
            content_type: content_type.and_then(|v| v.to_str().ok().map(str::to_owned)),
            body: body.map_err(|e| CallError::NoAnswer(e.to_string()))?,
        };
        Ok((answer, retry_after))
    };
    // The other vm gives up at the same deadline; its answer needs a moment to arrive.
    let wait = head.wait + Duration::from_secs(1);
    let wait = Millis(wait.as_millis().min(u128::from(u32::MAX)) as u32);
    timeout(wait, call)
        .await
        .unwrap_or_else(|()| Err(CallError::NoAnswer("timeout".into())))
}

/// Handles `POST /peer/v1/run`.
pub(crate) async fn run_for_peer(
    context: web::types::State<Context>,
    message: Bytes,
) -> HttpResponse {
    let Some((head, body)) = decode(&message) else {
        let message = "the forwarded request was not understood";
        let error = CallerError::not_run(ErrorKind::BadRequest, message, "compare versions");
        return error_response(error);
    };
    let id = head.request;
    match head.action {
        Action::Outcome => {
            let answer = tickets::answer(&context, id, head.workspace, &head.key).await;
            HttpResponse::Ok().json(&answer)
        }
        Action::Run => match run_forwarded(&context, head, body).await {
            Ok(response) => response,
            Err(error) => error_response(error.request_id(refusals::id_text(id))),
        },
    }
}

fn decode(message: &Bytes) -> Option<(RunHead, Bytes)> {
    let length: [u8; LENGTH_BYTES] = message.get(..LENGTH_BYTES)?.try_into().ok()?;
    let end = LENGTH_BYTES.checked_add(u32::from_be_bytes(length) as usize)?;
    let head = rmp_serde::from_slice(message.get(LENGTH_BYTES..end)?).ok()?;
    Some((head, Bytes::copy_from_slice(message.get(end..)?)))
}

async fn run_forwarded(
    context: &Context,
    head: RunHead,
    body: Bytes,
) -> Result<HttpResponse, CallerError> {
    let Place::Here(kind) = once::place(context, &head.key, head.workspace)? else {
        return Err(outcome_unknown(&head.key));
    };
    // The two vms may number routes differently while a change of settings spreads.
    let snapshot = refusals::settings(context)?;
    let path = head.path_and_query.split('?').next().unwrap_or_default();
    let route = service_route(&snapshot, path)?;
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers.remove(names::ATTEMPT);
    let span = trace::request_span(head.request, &headers);
    let arrived = context.shared.clock.now();
    let job = Job {
        request: head.request,
        route: route.id,
        workspace: head.workspace,
        method: Method::from_bytes(head.method.as_bytes()).unwrap_or(Method::POST),
        path_and_query: head.path_and_query,
        headers,
        body,
        span,
        arrived,
        deadline: arrived + head.wait,
    };
    once::run_here(context, job, head.key, kind).await
}
