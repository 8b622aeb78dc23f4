//! Reads load reports and cache events from targets.
//!
//! Each target is read by two vms, which pass on what they read. A vm that hears nothing of a
//! target reads it itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use jujubebeam_core::scheduler::SchedulerEvent;
use jujubebeam_core::settings::TargetSpec;
use jujubebeam_core::settings::document::TargetKind;
use jujubebeam_core::targets::TargetUpdate;
use jujubebeam_core::{Clock, TargetId, VmId};
use jujubebeam_engine::{EngineClient, EngineClientConfig};
use jujubebeam_http::CallError;
use jujubebeam_service::{ServiceClient, ServiceClientConfig};
use ntex::time::{Millis, sleep};

use crate::context::Context;
use crate::dispatch;

const READ_INTERVAL: Millis = Millis(500);
/// Vms that read one target. A second one covers the loss of the first.
const READERS: usize = 2;
/// Time after which a vm that is not a reader reads the target itself. Longer than two intervals
/// and a message.
const SILENCE: Duration = Duration::from_millis(1500);

type Reading = Rc<RefCell<HashMap<TargetId, Duration>>>;

/// Starts reading.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        let reading = Reading::default();
        loop {
            read_all(&context, &reading);
            sleep(READ_INTERVAL).await;
        }
    });
}

fn read_all(context: &Context, reading: &Reading) {
    let shared = &context.shared;
    let Some(snapshot) = shared.snapshot() else {
        return;
    };
    let vms: Vec<VmId> = shared.vms().vms.iter().map(|v| v.vm).collect();
    shared
        .dispatcher
        .apply(shared, &snapshot, vms.len().max(1) as u32);
    for target in snapshot.targets.values() {
        let silent = shared.load_age(target.id).is_none_or(|age| age > SILENCE);
        let idle = !reading.borrow().contains_key(&target.id);
        if idle && (silent || is_reader(&vms, shared.config.vm, target.id)) {
            reading.borrow_mut().insert(target.id, shared.clock.now());
            spawn_read(context, reading, target.clone());
        }
    }
}

/// Targets are read side by side, so that a slow one does not age the reports of others.
fn spawn_read(context: &Context, reading: &Reading, target: TargetSpec) {
    let (context, reading) = (context.clone(), Rc::clone(reading));
    ntex::rt::spawn(async move {
        read(&context, &target).await;
        reading.borrow_mut().remove(&target.id);
    });
}

async fn read(context: &Context, target: &TargetSpec) {
    let news = match fetch(context, target).await {
        Ok(news) => news,
        Err(e) => {
            log::debug!("fleet: target {:?} did not report: {e}", target.name);
            context.shared.set_load(target.id, None);
            let target = target.id;
            let event = SchedulerEvent::Unreachable { target };
            context.shared.dispatcher.feed_all(&context.shared, &event);
            return;
        }
    };
    dispatch::hear_news(&context.shared, news.clone());
    context.shared.dispatcher.tell(news);
}

async fn fetch(context: &Context, target: &TargetSpec) -> Result<TargetUpdate, CallError> {
    let client = context.targets.clone();
    if target.kind == TargetKind::Service {
        let config = ServiceClientConfig::default();
        let report = ServiceClient::new(client, &target.address, config)
            .load()
            .await?;
        return Ok(TargetUpdate {
            target: target.id,
            report,
            events: Vec::new(),
        });
    }
    let engine = EngineClient::new(client, &target.address, EngineClientConfig::default());
    let report = engine.load().await?;
    let after = context.shared.dispatcher.last_cache_event(target.id);
    // Estimates go on without cache events.
    let events = engine
        .cache_events(after)
        .await
        .map(|e| e.events)
        .unwrap_or_default();
    Ok(TargetUpdate {
        target: target.id,
        report,
        events,
    })
}

/// Whether this vm is among the readers of a target, by rendezvous hashing.
fn is_reader(vms: &[VmId], own: VmId, target: TargetId) -> bool {
    let rank = |vm: VmId| {
        let mut hasher = DefaultHasher::new();
        (vm, target).hash(&mut hasher);
        hasher.finish()
    };
    let higher = vms.iter().filter(|vm| rank(**vm) > rank(own));
    higher.count() < READERS
}
