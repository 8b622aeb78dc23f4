//! Grants leases that never lapse. Marks of requests that may run at most once are bound to one.

use std::sync::atomic::{AtomicI64, Ordering};

use jujubebeam_store::wire::{Header, Int64, LeaseGrantRequest, LeaseResponse};
use ntex::web::{self, HttpResponse};

static NEXT: AtomicI64 = AtomicI64::new(1);

/// Handles the grant of a lease.
pub(crate) async fn grant(request: web::types::Json<LeaseGrantRequest>) -> HttpResponse {
    HttpResponse::Ok().json(&LeaseResponse {
        header: Header::default(),
        id: Int64(NEXT.fetch_add(1, Ordering::Relaxed)),
        ttl: request.ttl,
    })
}
