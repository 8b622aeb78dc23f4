//! Caller listener: addresses, inference, plain services and health.

mod addresses;
mod auth;
mod body;
mod chat;
mod models;
mod refusals;
mod respond;
mod service;
mod tickets;

use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::context::Context;

pub(crate) use service::run_for_peer;

/// State handed to handlers.
pub(crate) type ContextState = web::types::State<Context>;

/// Adds the routes of the caller listener.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/v1/addresses", web::get().to(addresses::list))
        .route("/v1/chat/completions", web::post().to(chat::complete))
        .route("/v1/models", web::get().to(models::list))
        .route("/v1/tickets", web::post().to(tickets::issue))
        .route("/v1/outcomes/{key}", web::get().to(tickets::outcome))
        .service(web::resource("/{path}*").to(service::forward));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn ready(context: ContextState) -> HttpResponse {
    if context.shared.snapshot().is_none() {
        return HttpResponse::ServiceUnavailable().body("settings have not arrived yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}
