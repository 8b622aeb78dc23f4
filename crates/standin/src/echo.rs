//! A service that answers at once with a fixed body, as the target of overhead measurements.

use std::net::SocketAddr;

use jujubebeam_core::targets::LoadReport;
use jujubebeam_service::LOAD_PATH;
use ntex::web::{self, HttpResponse, ServiceConfig};

/// Runs the service until the process is stopped.
pub(crate) fn run(address: SocketAddr) -> Result<(), String> {
    crate::serve::run(address, (), configure, |()| std::future::ready(()))
}

fn configure(config: &mut ServiceConfig) {
    config
        .route(LOAD_PATH, web::get().to(load))
        .service(web::resource("/{path}*").to(echo));
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(&LoadReport::default())
}

async fn echo() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/json")
        .body(r#"{"stock":3}"#)
}
