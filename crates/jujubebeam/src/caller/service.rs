//! Requests to plain services.

mod call;
mod forward;
mod headers;
mod once;
mod repeatable;

use std::time::Duration;

use jujubebeam_caller::{CallerError, ErrorKind, headers as names};
use jujubebeam_core::quarantine::Fingerprint;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::settings::{RouteSpec, Snapshot};
use jujubebeam_core::{Clock, RequestId, RouteId, WorkspaceId};
use ntex::http::{HeaderMap, Method, StatusCode, header};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use tracing::Span;

pub(crate) use forward::{outcome_of_peer, run_for_peer};
pub(crate) use once::{Place, outcome_here, place};

use super::{ContextState, auth, body, refusals};
use crate::context::Context;
use crate::metrics::Counter;
use crate::trace;

/// One request to a plain service.
#[derive(Clone, Debug)]
pub(super) struct Job {
    request: RequestId,
    route: RouteId,
    workspace: Option<WorkspaceId>,
    method: Method,
    path_and_query: String,
    /// Headers that the target may see.
    headers: HeaderMap,
    body: Bytes,
    /// Span of the request.
    span: Span,
    /// Monotonic time at which the request arrived.
    arrived: Duration,
    /// Monotonic time at which the request is given up.
    deadline: Duration,
}

impl Job {
    fn fingerprint(&self) -> Fingerprint {
        let route = self.route.0.to_be_bytes();
        let workspace = self.workspace.map(|workspace| workspace.0.to_be_bytes());
        Fingerprint::of_fields(&[
            &route,
            workspace.as_ref().map_or(&[][..], |id| &id[..]),
            self.method.as_str().as_bytes(),
            self.path_and_query.as_bytes(),
            &self.body,
        ])
    }

    fn remaining(&self, context: &Context) -> Duration {
        self.deadline.saturating_sub(context.shared.clock.now())
    }

    /// Route in the present settings, which may number routes differently than before.
    fn route<'a>(&self, snapshot: &'a Snapshot) -> Result<&'a RouteSpec, CallerError> {
        let path = self.path_and_query.split('?').next().unwrap_or_default();
        service_route(snapshot, path)
    }
}

fn service_route<'a>(snapshot: &'a Snapshot, path: &str) -> Result<&'a RouteSpec, CallerError> {
    snapshot
        .route_for_path(path)
        .filter(|r| r.settings.kind == TargetKind::Service)
        .ok_or_else(|| unknown_route(path))
}

/// Whole answer of a service, or one that was kept.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    status: StatusCode,
    content_type: Option<String>,
    body: Bytes,
}

impl Answer {
    fn into_response(self, request: RequestId) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status);
        builder.header(names::REQUEST_ID, refusals::id_text(request));
        if let Some(kind) = self.content_type {
            builder.header(header::CONTENT_TYPE, kind);
        }
        builder.body(self.body)
    }
}

/// Handles all paths that are not part of the system's own interface.
pub(crate) async fn forward(
    context: ContextState,
    request: HttpRequest,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let id = context.shared.new_request_id();
    match run(&context, &request, &mut payload, id).await {
        Ok(response) => {
            context.shared.metrics.count(Counter::Answers);
            response
        }
        Err(error) => {
            context.shared.metrics.count_error(&error);
            body::refuse(payload, error.request_id(refusals::id_text(id))).await
        }
    }
}

async fn run(
    context: &Context,
    request: &HttpRequest,
    payload: &mut web::types::Payload,
    id: RequestId,
) -> Result<HttpResponse, CallerError> {
    let snapshot = refusals::settings(context)?;
    let route = service_route(&snapshot, request.path())?;
    let workspace =
        auth::authorize(&context.shared, &snapshot, route, request.headers())?.map(|w| w.id);
    let method = request.method().clone();
    let key = idempotency_key(request.headers())?;
    let repeatable = route.is_repeatable(method.as_str());
    if !repeatable && key.is_none() {
        return Err(CallerError::not_run(
            ErrorKind::IdempotencyKeyMissing,
            format!("{method} on this route may run at most once"),
            "send an `Idempotency-Key` header; `POST /v1/tickets` gives one",
        ));
    }
    let body = body::read(payload, route.settings.body_limit_bytes).await?;
    let wait = deadline(request.headers(), route.settings.longest_wait_ms)?;
    let arrived = context.shared.clock.now();
    let job = Job {
        request: id,
        route: route.id,
        workspace,
        method,
        path_and_query: request
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned(),
        headers: headers::for_target(request.headers()),
        body,
        span: trace::request_span(id, request.headers()),
        arrived,
        deadline: arrived + wait,
    };
    match key {
        Some(key) if !repeatable => once::run(context, job, key).await,
        _ => Ok(repeatable::run(context, &job).await?.into_response(id)),
    }
}

/// Time that the caller allows, or else the route's.
pub(super) fn deadline(headers: &HeaderMap, longest_wait_ms: u64) -> Result<Duration, CallerError> {
    let Some(value) = headers.get(names::DEADLINE_MS) else {
        return Ok(Duration::from_millis(longest_wait_ms));
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    let wait = parsed.ok_or_else(|| {
        CallerError::not_run(
            ErrorKind::BadRequest,
            format!("`{}` is not a number of milliseconds", names::DEADLINE_MS),
            "send a whole number, or leave the header out",
        )
    })?;
    Ok(Duration::from_millis(wait))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    const KEY_BYTES: usize = 255;
    let Some(value) = headers.get(names::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_BYTES {
        return Err(CallerError::not_run(
            ErrorKind::BadRequest,
            format!("the `Idempotency-Key` is not 1 to {KEY_BYTES} printable ASCII characters"),
            "send a key of that form",
        ));
    }
    Ok(Some(key.to_owned()))
}

fn unknown_route(path: &str) -> CallerError {
    CallerError::not_run(
        ErrorKind::UnknownRoute,
        format!("no route has path {path:?}"),
        "check the path",
    )
}
