//! The platform's services in one process: store, vm list, ordering, usage and weight store.

mod lease_grant;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;

use jujubebeam_store::wire::paths::LEASE_GRANT;
use jujubebeam_vmlist::{VM_LIST_PATH, VmList};
use ntex::web::{self, HttpResponse, ServiceConfig};

use store::Store;

struct Platform {
    store: Store,
    vms: VmList,
}

type PlatformState = web::types::State<Arc<Platform>>;

/// Runs the platform until the process is stopped. `vms` is a JSON file with the vm list.
pub(crate) fn run(address: SocketAddr, vms: &str) -> Result<(), String> {
    let text = std::fs::read(vms).map_err(|e| format!("{vms}: {e}"))?;
    let vms = serde_json::from_slice(&text).map_err(|e| format!("{vms}: {e}"))?;
    let platform = Platform {
        store: Store::default(),
        vms,
    };
    crate::serve::run(address, Arc::new(platform), configure)
}

fn configure(config: &mut ServiceConfig) {
    store::configure(config);
    config
        .route(LEASE_GRANT, web::post().to(lease_grant::grant))
        .route(VM_LIST_PATH, web::get().to(list_vms));
}

async fn list_vms(platform: PlatformState) -> HttpResponse {
    HttpResponse::Ok().json(&platform.vms)
}
