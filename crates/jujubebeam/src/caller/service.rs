//! Requests to plain services.

use std::time::Duration;

use jujubebeam_caller::{CallerError, ErrorKind, headers};
use jujubebeam_core::RequestId;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_service::{ServiceClient, ServiceClientConfig};
use ntex::http::{HeaderMap, header};
use ntex::web::{self, HttpRequest, HttpResponse};

use smallvec::SmallVec;

use super::respond::error_response;
use super::{ContextState, auth, body};
use crate::context::Context;
use crate::dispatch::{self, Ask};

/// Handles all paths that are not part of the system's own interface.
pub(crate) async fn forward(
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
    let snapshot = context.shared.snapshot().ok_or_else(|| {
        CallerError::not_run(
            ErrorKind::SettingsStale,
            "this vm has no settings yet",
            "use another address",
        )
        .retry_after_s(1)
    })?;
    let route = snapshot
        .route_for_path(request.path())
        .filter(|r| r.settings.kind == TargetKind::Service)
        .ok_or_else(|| {
            CallerError::not_run(
                ErrorKind::UnknownRoute,
                format!("no route has path {:?}", request.path()),
                "check the path",
            )
        })?;
    let workspace = auth::authorize(&context.shared, &snapshot, route, request.headers())?;
    let method = request.method().clone();
    if !route.is_repeatable(method.as_str())
        && !request.headers().contains_key(headers::IDEMPOTENCY_KEY)
    {
        return Err(CallerError::not_run(
            ErrorKind::IdempotencyKeyMissing,
            format!("{method} on this route may run at most once"),
            "send an `Idempotency-Key` header",
        ));
    }
    let bytes = body::read(payload, route.settings.body_limit_bytes).await?;
    let ask = Ask {
        request: request_id,
        route,
        workspace,
        model: "",
        prompt_tokens: 0,
        max_tokens: None,
        prefix_hashes: &[],
        repeatable: route.is_repeatable(method.as_str()),
        deadline: Duration::from_millis(route.settings.longest_wait_ms),
        excluded: SmallVec::new(),
        suspect: false,
    };
    let permit = dispatch::acquire(context, &snapshot, &ask).await?;
    let service = ServiceClient::new(
        if ask.repeatable {
            context.targets.clone()
        } else {
            context.fresh.clone()
        },
        &permit.target.address,
        ServiceClientConfig::default(),
    );
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let answer = service
        .forward(method, path, &forwarded_headers(request.headers()), bytes)
        .await
        .map_err(|e| {
            CallerError::may_have_run(
                ErrorKind::TargetFailed,
                format!("the service failed: {e}"),
                "ask for the outcome before sending the request again",
            )
        })?;
    let mut builder = HttpResponse::build(answer.status());
    builder.header(headers::REQUEST_ID, format!("{:x}", request_id.0));
    if let Some(kind) = answer.headers().get(header::CONTENT_TYPE) {
        builder.header(header::CONTENT_TYPE, kind.clone());
    }
    let body = answer.body().await.map_err(|e| {
        CallerError::may_have_run(
            ErrorKind::TargetFailed,
            format!("the service's answer broke off: {e}"),
            "ask for the outcome before sending the request again",
        )
    })?;
    Ok(builder.body(body))
}

/// Copies the headers that a target may see. The caller's key is never among them.
fn forwarded_headers(incoming: &HeaderMap) -> HeaderMap {
    const DROPPED: [&str; 9] = [
        "authorization",
        headers::API_KEY,
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "host",
        "upgrade",
        "proxy-authorization",
    ];
    let mut outgoing = HeaderMap::new();
    for (name, value) in incoming {
        if !DROPPED.contains(&name.as_str()) {
            outgoing.append(name.clone(), value.clone());
        }
    }
    outgoing
}
