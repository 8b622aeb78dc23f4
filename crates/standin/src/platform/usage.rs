//! Usage reports, accepted once per window.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::Mutex;
use std::time::Duration;

use jujubebeam_usage::{ReportResult, UsageAnswer, UsageReport};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::PlatformState;
use crate::control::lock;

const WINDOW_PATH: &str = "/windows/{window}";
/// Longer than any client waits.
const LOST_ANSWER: Duration = Duration::from_secs(30);

/// Faults of the usage interface.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct UsageFaults {
    /// Answers with status 503 before any effect.
    pub(crate) outage: bool,
    /// Delays each answer. The report takes effect at once.
    pub(crate) delay_ms: u64,
    /// Number of reports whose answers get lost after they took effect.
    pub(crate) lose_answers: u32,
}

/// Stored windows, and all reports in the order of arrival.
#[derive(Default)]
pub(crate) struct Usage {
    windows: Mutex<BTreeMap<u64, UsageReport>>,
    received: Mutex<Vec<(ReportResult, UsageReport)>>,
}

impl Usage {
    pub(crate) fn records(&self) -> Value {
        let received = lock(&self.received);
        let record = |(result, report): &(ReportResult, UsageReport)| json!({"result": result, "report": report});
        received.iter().map(record).collect()
    }

    fn take(&self, report: UsageReport) -> ReportResult {
        let mut windows = lock(&self.windows);
        let result = match windows.entry(report.window) {
            Entry::Occupied(_) => ReportResult::AlreadyReported,
            Entry::Vacant(slot) => {
                slot.insert(report.clone());
                ReportResult::Accepted
            }
        };
        lock(&self.received).push((result, report));
        result
    }
}

/// Adds the routes of the interface.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route(WINDOW_PATH, web::put().to(report))
        .route(WINDOW_PATH, web::get().to(stored));
}

async fn report(
    platform: PlatformState,
    window: web::types::Path<u64>,
    report: web::types::Json<UsageReport>,
) -> HttpResponse {
    if lock(&platform.faults).usage.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if *window != report.window {
        return HttpResponse::BadRequest().finish();
    }
    let result = platform.usage.take(report.into_inner());
    let (delay_ms, lost) = take_faults(&platform);
    if lost {
        tokio::time::sleep(LOST_ANSWER).await;
        return HttpResponse::ServiceUnavailable().finish();
    }
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    HttpResponse::Ok().json(&UsageAnswer { result })
}

fn take_faults(platform: &PlatformState) -> (u64, bool) {
    let faults = &mut lock(&platform.faults).usage;
    let lost = faults.lose_answers > 0;
    faults.lose_answers = faults.lose_answers.saturating_sub(1);
    (faults.delay_ms, lost)
}

async fn stored(platform: PlatformState, window: web::types::Path<u64>) -> HttpResponse {
    if lock(&platform.faults).usage.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match lock(&platform.usage.windows).get(&window) {
        Some(report) => HttpResponse::Ok().json(report),
        None => HttpResponse::NotFound().finish(),
    }
}
