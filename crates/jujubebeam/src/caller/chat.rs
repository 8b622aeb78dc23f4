//! Inference requests.

mod attempts;
mod connection;
mod driver;
mod output;
mod sse;

use std::time::Duration;

use jujubebeam_caller::{CallerError, ChatRequest, ErrorKind};
use jujubebeam_core::quarantine::Fingerprint;
use jujubebeam_core::settings::{RouteSpec, Snapshot};
use jujubebeam_core::{Clock, RequestId, RouteId, WorkspaceId};
use jujubebeam_engine::prefix::piece_hashes;
use ntex::http::HeaderMap;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use tokio::sync::mpsc;
use tracing::Span;

use super::auth::KeyInUse;
use super::{ContextState, auth, body, refusals, service};
use crate::context::Context;
use crate::trace;

/// Largest body that is read before the route is known.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Average length of a token, for estimates before the engine has counted.
const BYTES_PER_TOKEN: usize = 4;
/// Parts of an answer that wait for a slow caller before the engine's stream is held up.
const OUTPUT_PARTS: usize = 32;

/// One inference request.
struct Job {
    request: RequestId,
    path: String,
    route: RouteId,
    workspace: Option<WorkspaceId>,
    chat: ChatRequest,
    streamed: bool,
    /// Key of the caller, which is checked again while the answer is sent.
    key: Option<KeyInUse>,
    headers: HeaderMap,
    fingerprint: Fingerprint,
    prompt_tokens: u64,
    /// Hashes of the prompt's cache pieces.
    prefix_hashes: Vec<u64>,
    /// Span of the request.
    span: Span,
    /// Monotonic time at which the request arrived.
    arrived: Duration,
    /// Monotonic time by which the first token must be there.
    deadline: Duration,
}

impl Job {
    fn route<'a>(&self, snapshot: &'a Snapshot) -> Result<&'a RouteSpec, CallerError> {
        snapshot
            .route_for_model(&self.path, &self.chat.model)
            .ok_or_else(|| unknown_model(&self.chat.model))
    }
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn complete(
    context: ContextState,
    request: HttpRequest,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let id = context.shared.new_request_id();
    match run(&context, &request, &mut payload, id).await {
        Ok(response) => response,
        Err(error) => body::refuse(payload, error.request_id(refusals::id_text(id))).await,
    }
}

async fn run(
    context: &Context,
    request: &HttpRequest,
    payload: &mut web::types::Payload,
    id: RequestId,
) -> Result<HttpResponse, CallerError> {
    // The driver counts the errors of requests that it was given.
    let job = prepare(context, request, payload, id)
        .await
        .inspect_err(|error| context.shared.metrics.count_error(error))?;
    let (sender, receiver) = mpsc::channel(OUTPUT_PARTS);
    let context = context.clone();
    // The attempt is cancelled at the engine when the receiver is dropped with the connection.
    ntex::rt::spawn(async move { driver::Driver::new(context, job, sender).run().await });
    output::respond(receiver, id).await
}

async fn prepare(
    context: &Context,
    request: &HttpRequest,
    payload: &mut web::types::Payload,
    id: RequestId,
) -> Result<Job, CallerError> {
    let span = trace::request_span(id, request.headers());
    let snapshot = refusals::settings(context)?;
    let bytes = body::read(payload, BODY_LIMIT_BYTES).await?;
    let job = job(context, &snapshot, request, &bytes, id, span)?;
    let verdict = crate::crashes::verdict(context, job.fingerprint);
    match refusals::crashes_targets(verdict) {
        Some(error) => Err(error),
        None => Ok(job),
    }
}

fn job(
    context: &Context,
    snapshot: &Snapshot,
    request: &HttpRequest,
    bytes: &Bytes,
    id: RequestId,
    span: Span,
) -> Result<Job, CallerError> {
    let chat: ChatRequest = serde_json::from_slice(bytes).map_err(|e| {
        bad_request(
            format!("the body is not a chat request: {e}"),
            "send JSON with `model` and `messages`",
        )
    })?;
    let route = snapshot
        .route_for_model(request.path(), &chat.model)
        .ok_or_else(|| unknown_model(&chat.model))?;
    let limit = route.settings.body_limit_bytes;
    if bytes.len() > limit {
        return Err(CallerError::not_run(
            ErrorKind::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
            "send a smaller body, or ask the operator to raise `body_limit_bytes`",
        ));
    }
    let workspace = auth::authorize(&context.shared, snapshot, route, request.headers())?;
    if workspace.is_some_and(|w| !w.may_use_model(&chat.model)) {
        return Err(CallerError::not_run(
            ErrorKind::NotAllowed,
            format!("the workspace may not use model {:?}", chat.model),
            "ask the operator of the workspace to add the model",
        ));
    }
    check_form(&chat)?;
    let prompt_bytes: usize = chat.messages.iter().map(|m| m.content.len()).sum();
    let arrived = context.shared.clock.now();
    let wait = service::deadline(request.headers(), route.settings.longest_wait_ms)?;
    Ok(Job {
        request: id,
        path: request.path().to_owned(),
        route: route.id,
        workspace: workspace.map(|w| w.id),
        key: auth::key_in_use(request.headers(), workspace),
        streamed: chat.stream,
        prefix_hashes: piece_hashes(&chat.messages),
        chat,
        headers: request.headers().clone(),
        fingerprint: Fingerprint::new(route.id, bytes),
        prompt_tokens: (prompt_bytes / BYTES_PER_TOKEN) as u64,
        span,
        arrived,
        deadline: arrived + wait,
    })
}

/// Refuses forms of a request whose answer could not be resumed or put together.
fn check_form(chat: &ChatRequest) -> Result<(), CallerError> {
    let several = chat.rest.get("n").and_then(serde_json::Value::as_u64);
    if several.is_some_and(|n| n > 1) {
        return Err(bad_request(
            "`n` is greater than 1".into(),
            "send one request for each answer",
        ));
    }
    if !chat.stream && chat.rest.contains_key("tools") {
        return Err(bad_request(
            "`tools` are supported in streamed answers only".into(),
            "set `stream` to true",
        ));
    }
    Ok(())
}

fn bad_request(message: String, remedy: &str) -> CallerError {
    CallerError::not_run(ErrorKind::BadRequest, message, remedy)
}

fn unknown_model(model: &str) -> CallerError {
    CallerError::not_run(
        ErrorKind::UnknownModel,
        format!("no route serves model {model:?}"),
        "use a model from `GET /v1/models`",
    )
}
