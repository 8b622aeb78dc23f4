//! Caller listener: addresses, inference, plain services and health.

mod addresses;
mod auth;
mod body;
mod chat;
mod linger;
mod models;
mod refusals;
mod respond;
mod service;
mod tickets;

use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use jujubebeam_core::Clock;

use crate::context::Context;
use crate::metrics::Counter;
use crate::{operator_api, running};

pub(crate) use refusals::id_text;
pub(crate) use service::run_for_peer;

/// State handed to handlers.
pub(crate) type ContextState = web::types::State<Context>;

/// Adds the routes of the caller listener.
pub(crate) fn configure(config: &mut ServiceConfig) {
    operator_api::configure(config);
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/v1/addresses", web::get().to(addresses::list))
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/models", web::get().to(models::list))
        .route("/v1/tickets", web::post().to(tickets::issue))
        .route("/v1/outcomes/{key}", web::get().to(tickets::outcome))
        .service(web::resource("/{path}*").to(forward));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn ready(context: ContextState) -> HttpResponse {
    let shared = &context.shared;
    if shared.membership.is_leaving() {
        return HttpResponse::ServiceUnavailable().body("shutting down\n");
    }
    if shared.snapshot().is_none() {
        return HttpResponse::ServiceUnavailable().body("settings have not arrived yet\n");
    }
    if !shared.settings.permit().may_start(shared.clock.now()) {
        return HttpResponse::ServiceUnavailable().body("settings are stale\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn complete(
    context: ContextState,
    request: HttpRequest,
    payload: web::types::Payload,
) -> HttpResponse {
    let guard = context.shared.start_request();
    context.shared.metrics.count(Counter::Requests);
    running::hold(chat::complete(context, request, payload).await, guard)
}

async fn forward(
    context: ContextState,
    request: HttpRequest,
    payload: web::types::Payload,
) -> HttpResponse {
    let guard = context.shared.start_request();
    context.shared.metrics.count(Counter::Requests);
    running::hold(service::forward(context, request, payload).await, guard)
}
