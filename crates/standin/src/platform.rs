//! The platform's services in one process: store, vm list, ordering, usage and weight store.

mod ordering;
mod store;
mod store_calls;
mod store_content;
mod store_watch;
mod usage;
mod vms;
mod weights;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ntex::web::{self, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::{self, Controlled};
pub(crate) use ordering::{Spare, TargetFile};

/// Interval at which leases end and targets start or vanish.
const TICK: Duration = Duration::from_millis(50);

/// Faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct PlatformFaults {
    store: store::StoreFaults,
    vm_list: vms::VmListFaults,
    ordering: ordering::OrderingFaults,
    usage: usage::UsageFaults,
    weights: weights::WeightsFaults,
}

struct Platform {
    faults: Mutex<PlatformFaults>,
    store: store::Store,
    vms: vms::Vms,
    ordering: ordering::Ordering,
    usage: usage::Usage,
    weights: weights::Weights,
}

type PlatformState = web::types::State<Arc<Platform>>;

impl Controlled for Platform {
    type Faults = PlatformFaults;

    fn faults(&self) -> &Mutex<PlatformFaults> {
        &self.faults
    }

    fn records(&self) -> Value {
        json!({
            "store": self.store.counts(),
            "orders": self.ordering.records(),
            "usage_reports": self.usage.records(),
            "grants": self.weights.records(),
        })
    }

    fn faults_changed(&self) {
        self.store.wake();
    }
}

/// Runs the platform until the process is stopped. `vms` is a JSON file with the vm list, and
/// `targets` one with the targets that run or can be ordered.
pub(crate) fn run(address: SocketAddr, vms: &str, targets: Option<&str>) -> Result<(), String> {
    let list = read_json(vms)?;
    let targets = targets.map_or_else(|| Ok(TargetFile::default()), read_json)?;
    let platform = Platform {
        faults: Mutex::default(),
        store: store::Store::default(),
        vms: vms::Vms::new(list),
        ordering: ordering::Ordering::new(targets),
        usage: usage::Usage::default(),
        weights: weights::Weights::default(),
    };
    crate::serve::run(address, Arc::new(platform), configure, tick)
}

fn read_json<T: serde::de::DeserializeOwned>(path: &str) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))
}

fn configure(config: &mut ServiceConfig) {
    control::configure::<Platform>(config);
    store::configure(config);
    vms::configure(config);
    ordering::configure(config);
    usage::configure(config);
    weights::configure(config);
}

async fn tick(platform: Arc<Platform>) {
    loop {
        platform.store.expire();
        ordering::advance(&platform).await;
        tokio::time::sleep(TICK).await;
    }
}
