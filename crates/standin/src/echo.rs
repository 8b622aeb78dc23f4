//! A service and engine that answers at once with a fixed body, as the target of overhead
//! measurements.

use std::net::SocketAddr;

use jujubebeam_caller::headers;
use jujubebeam_core::targets::LoadReport;
use jujubebeam_engine::{CacheEvents, paths};
use jujubebeam_service::LOAD_PATH;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

/// Runs the service until the process is stopped.
pub(crate) fn run(address: SocketAddr) -> Result<(), String> {
    crate::serve::run(address, (), configure, |()| std::future::ready(()))
}

fn configure(config: &mut ServiceConfig) {
    config
        .route(LOAD_PATH, web::get().to(load))
        .route(paths::CHAT, web::post().to(chat))
        .route(paths::CACHE_EVENTS, web::get().to(cache_events))
        .service(web::resource("/{path}*").to(echo));
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(&LoadReport::default())
}

async fn cache_events() -> HttpResponse {
    HttpResponse::Ok().json(&CacheEvents::default())
}

/// Answers with one token. The body is read because the server closes a connection whose request
/// was answered without that.
async fn chat(request: HttpRequest, _body: Bytes) -> HttpResponse {
    let mut builder = HttpResponse::Ok();
    if let Some(attempt) = request.headers().get(headers::ATTEMPT) {
        builder.header(headers::ATTEMPT, attempt);
    }
    builder.content_type("text/event-stream").body(concat!(
        r#"data: {"id":"e","object":"chat.completion.chunk","model":"echo","#,
        r#""choices":[{"index":0,"delta":{"content":"yes"},"finish_reason":null}]}"#,
        "\n\n",
        r#"data: {"id":"e","object":"chat.completion.chunk","model":"echo","#,
        r#""choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"#,
        r#""usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}"#,
        "\n\ndata: [DONE]\n\n"
    ))
}

async fn echo() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(r#"{"stock":3}"#)
}
