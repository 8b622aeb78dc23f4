//! The weight store, which grants a limited number of transfers.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use jujubebeam_weights::{GRANTS_PATH, Grant, GrantRequest};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::PlatformState;
use crate::control::lock;

/// Size of every artifact.
const ARTIFACT_BYTES: u64 = 14_000_000_000;
const INTERVAL: Duration = Duration::from_secs(10);

/// Faults of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct WeightsFaults {
    /// Answers with status 503.
    pub(crate) outage: bool,
    /// Grants within ten seconds.
    pub(crate) grants_per_10s: usize,
    /// Time that a transfer takes.
    pub(crate) transfer_ms: u64,
}

impl Default for WeightsFaults {
    fn default() -> Self {
        Self {
            outage: false,
            grants_per_10s: 4,
            transfer_ms: 2000,
        }
    }
}

#[derive(Default)]
struct Granted {
    recent: Vec<Instant>,
    requests: Vec<(bool, GrantRequest)>,
}

/// Grants of the weight store.
#[derive(Default)]
pub(crate) struct Weights {
    granted: Mutex<Granted>,
}

impl Weights {
    pub(crate) fn records(&self) -> Value {
        let granted = lock(&self.granted);
        let record = |(granted, request): &(bool, GrantRequest)| json!({"granted": granted, "request": request});
        granted.requests.iter().map(record).collect()
    }
}

/// Adds the route of the weight store.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.route(GRANTS_PATH, web::post().to(grant));
}

async fn grant(platform: PlatformState, request: web::types::Json<GrantRequest>) -> HttpResponse {
    let faults = lock(&platform.faults).weights.clone();
    if faults.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let mut granted = lock(&platform.weights.granted);
    granted.recent.retain(|at| at.elapsed() < INTERVAL);
    let allowed = granted.recent.len() < faults.grants_per_10s;
    granted.requests.push((allowed, request.into_inner()));
    if !allowed {
        let oldest = granted.recent.first().map_or(INTERVAL, Instant::elapsed);
        let wait_s = (INTERVAL.saturating_sub(oldest)).as_secs() + 1;
        let mut builder = HttpResponse::TooManyRequests();
        return builder.header("retry-after", wait_s.to_string()).finish();
    }
    granted.recent.push(Instant::now());
    HttpResponse::Ok().json(&Grant {
        grant: format!("grant-{}", granted.requests.len()),
        size_bytes: ARTIFACT_BYTES,
        transfer_ms: faults.transfer_ms,
    })
}
