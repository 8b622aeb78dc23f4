//! The vm list, which shows changes late.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use jujubebeam_vmlist::{VM_LIST_PATH, VmList};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use super::PlatformState;
use crate::control::lock;

/// Replaces the list; readers see it after the lag.
const CHANGE_PATH: &str = "/standin/vms";
/// Versions that are kept.
const VERSIONS: usize = 1000;

/// Faults of the vm list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct VmListFaults {
    /// Answers with status 503.
    pub(crate) outage: bool,
    /// Age of the list that readers see.
    pub(crate) lag_ms: u64,
}

/// Versions of the list with the time of their creation.
pub(crate) struct Vms {
    versions: Mutex<VecDeque<(Instant, VmList)>>,
}

impl Vms {
    pub(crate) fn new(list: VmList) -> Self {
        Self {
            versions: Mutex::new([(Instant::now(), list)].into()),
        }
    }

    fn seen_after(&self, lag: Duration) -> VmList {
        let versions = lock(&self.versions);
        let old_enough = |(created, _): &&(Instant, VmList)| created.elapsed() >= lag;
        let seen = versions.iter().rev().find(old_enough);
        let seen = seen.or_else(|| versions.front());
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Adds the routes of the list.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route(VM_LIST_PATH, web::get().to(read))
        .route(CHANGE_PATH, web::post().to(change));
}

async fn read(platform: PlatformState) -> HttpResponse {
    let faults = lock(&platform.faults).vm_list.clone();
    if faults.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let list = platform
        .vms
        .seen_after(Duration::from_millis(faults.lag_ms));
    HttpResponse::Ok().json(&list)
}

async fn change(platform: PlatformState, list: web::types::Json<VmList>) -> HttpResponse {
    let mut versions = lock(&platform.vms.versions);
    versions.push_back((Instant::now(), list.into_inner()));
    if versions.len() > VERSIONS {
        versions.pop_front();
    }
    HttpResponse::Ok().finish()
}
