//! Inference requests.

use std::time::Duration;

use futures_util::{StreamExt, stream};
use jujubebeam_caller::{CallerError, ChatRequest, ErrorKind, headers};
use jujubebeam_core::RequestId;
use jujubebeam_engine::{EngineClient, EngineClientConfig, EngineRequest};
use jujubebeam_http::CallError;
use ntex::client::ClientResponse;
use ntex::http::header;
use ntex::web::{self, HttpRequest, HttpResponse};

use smallvec::SmallVec;

use super::respond::error_response;
use super::{ContextState, auth, body};
use crate::context::Context;
use crate::dispatch::{self, Ask};

/// Largest body that is read before the route is known.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Average length of a token, for estimates before the engine has counted.
const BYTES_PER_TOKEN: usize = 4;

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn complete(
    context: ContextState,
    request: HttpRequest,
    payload: web::types::Payload,
) -> HttpResponse {
    let request_id = context.shared.new_request_id();
    match run(&context, &request, payload, request_id).await {
        Ok(response) => response,
        Err(error) => error_response(error.request_id(format!("{:x}", request_id.0))),
    }
}

async fn run(
    context: &Context,
    request: &HttpRequest,
    payload: web::types::Payload,
    request_id: RequestId,
) -> Result<HttpResponse, CallerError> {
    let snapshot = context.shared.snapshot().ok_or_else(settings_missing)?;
    let bytes = body::read(payload, BODY_LIMIT_BYTES).await?;
    let chat: ChatRequest = serde_json::from_slice(&bytes).map_err(|e| {
        CallerError::not_run(
            ErrorKind::BadRequest,
            format!("the body is not a chat request: {e}"),
            "send JSON with `model` and `messages`",
        )
    })?;
    let route = snapshot
        .route_for_model(request.path(), &chat.model)
        .ok_or_else(|| unknown_model(&chat.model))?;
    let workspace = auth::authorize(&context.shared, &snapshot, route, request.headers())?;
    if workspace.is_some_and(|w| !w.may_use_model(&chat.model)) {
        return Err(CallerError::not_run(
            ErrorKind::NotAllowed,
            format!("the workspace may not use model {:?}", chat.model),
            "ask the operator of the workspace to add the model",
        ));
    }
    let prompt_bytes: usize = chat.messages.iter().map(|m| m.content.len()).sum();
    let ask = Ask {
        request: request_id,
        route,
        workspace,
        model: &chat.model,
        prompt_tokens: (prompt_bytes / BYTES_PER_TOKEN) as u64,
        max_tokens: chat.max_tokens,
        prefix_hashes: &[],
        repeatable: true,
        deadline: Duration::from_millis(route.settings.longest_wait_ms),
        excluded: SmallVec::new(),
        suspect: false,
    };
    let permit = dispatch::acquire(context, &snapshot, &ask).await?;
    let engine = EngineClient::new(
        context.targets.clone(),
        &permit.target.address,
        EngineClientConfig::default(),
    );
    let streamed = chat.stream;
    let engine_request = EngineRequest {
        chat,
        attempt_id: format!("{:x}-1", request_id.0),
        priority: workspace.map_or(0, |w| w.priority as u8),
        resume: None,
    };
    let traceparent = request
        .headers()
        .get(headers::TRACEPARENT)
        .and_then(|v| v.to_str().ok());
    let answer = engine
        .chat(&engine_request, traceparent)
        .await
        .map_err(|e| target_failed(&e))?;
    relay(answer, &format!("{:x}", request_id.0), streamed).await
}

async fn relay(
    answer: ClientResponse,
    request_id: &str,
    streamed: bool,
) -> Result<HttpResponse, CallerError> {
    let mut builder = HttpResponse::build(answer.status());
    builder.header(headers::REQUEST_ID, request_id);
    if let Some(kind) = answer.headers().get(header::CONTENT_TYPE) {
        builder.header(header::CONTENT_TYPE, kind.clone());
    }
    if streamed {
        let chunks = stream::unfold(answer, async |mut answer| {
            answer.next().await.map(|chunk| (chunk, answer))
        });
        return Ok(builder.streaming(Box::pin(chunks)));
    }
    let body = answer
        .body()
        .await
        .map_err(|e| target_failed(&CallError::NoAnswer(e.to_string())))?;
    Ok(builder.body(body))
}

fn settings_missing() -> CallerError {
    CallerError::not_run(
        ErrorKind::SettingsStale,
        "this vm has no settings yet",
        "use another address",
    )
    .retry_after_s(1)
}

fn unknown_model(model: &str) -> CallerError {
    CallerError::not_run(
        ErrorKind::UnknownModel,
        format!("no route serves model {model:?}"),
        "use a model from `GET /v1/models`",
    )
}

fn target_failed(error: &CallError) -> CallerError {
    CallerError::may_have_run(
        ErrorKind::TargetFailed,
        format!("the engine failed: {error}"),
        "send the request again",
    )
    .retry_after_s(1)
}
