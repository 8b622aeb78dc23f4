//! A plain service that counts what it executes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jujubebeam_caller::headers;
use jujubebeam_core::Incarnation;
use jujubebeam_core::targets::LoadReport;
use jujubebeam_service::LOAD_PATH;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::json;

struct Service {
    name: String,
    incarnation: Incarnation,
    executed: AtomicU64,
}

type ServiceState = web::types::State<Arc<Service>>;

/// Runs a service until the process is stopped.
pub(crate) fn run(address: SocketAddr, name: String) -> Result<(), String> {
    let service = Service {
        name,
        incarnation: Incarnation(u64::from(std::process::id())),
        executed: AtomicU64::new(0),
    };
    crate::serve::run(address, Arc::new(service), configure)
}

fn configure(config: &mut ServiceConfig) {
    config
        .route(LOAD_PATH, web::get().to(load))
        .service(web::resource("/{path}*").to(execute));
}

async fn load(service: ServiceState) -> HttpResponse {
    HttpResponse::Ok().json(&LoadReport {
        incarnation: service.incarnation,
        ..LoadReport::default()
    })
}

async fn execute(service: ServiceState, request: HttpRequest, body: Bytes) -> HttpResponse {
    let execution = service.executed.fetch_add(1, Ordering::Relaxed) + 1;
    let key = request
        .headers()
        .get(headers::IDEMPOTENCY_KEY)
        .and_then(|v| v.to_str().ok());
    HttpResponse::Ok().json(&json!({
        "service": service.name,
        "execution": execution,
        "path": request.path(),
        "idempotency_key": key,
        "body_bytes": body.len(),
    }))
}
