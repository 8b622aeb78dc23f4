//! Control tasks: copies of the store, exchange with other vms, membership and clean-up.

use std::time::Duration;

use jujubebeam_core::Machine;
use jujubebeam_core::gateway::{MirrorDelta, PeerSelector};
use jujubebeam_core::membership::{Event, Record, VmState, is_among_first};
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::store::{Expected, LeaseId, StoreOp, StoreReply};
use ntex::time::{sleep, timeout};
use serde::{Deserialize, Serialize};

use crate::duties;
use crate::edges::{Edges, StoreApi, StoredSettings, WatchReply, Wire};
use crate::journal::{LineKind, decision, millis};
use crate::message::Message;
use crate::owner;
use crate::peers;
use crate::server::Context;
use crate::state::{Shared, vm_id_of, wall_clock};

/// Time between two ticks of the machines.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two questions to a random vm for news. A change reaches all vms within a few
/// rounds, well inside the 2 s in which settings must be in force.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which news is waited for before the next vm is asked too. Settings of a thousand routes
/// take 0.1 s on a link of 10 Mbit/s.
const ASK_PATIENCE: Duration = Duration::from_millis(500);

/// Vms that a starting vm asks at once for the newest copies.
const COMPARED_AT_START: usize = 3;

/// Newest windows of which usage counts are copied.
const COPIED_WINDOWS: usize = 2;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Vms that follow the store. A third of all vms may be turned away by the store at once, and eight
/// leave one of them with probability 0.9998.
const WATCHERS: usize = 8;

/// Time between two looks whether this vm has become one of them.
const WATCHER_CHECK: Duration = Duration::from_millis(500);

/// First pause after the store failed, doubled up to the longest.
const STORE_RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after the store failed.
const STORE_RETRY_LONGEST: Duration = Duration::from_millis(500);

/// Time between two looks at the list of vms in the store.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lease of the own entry in the list of vms.
const LISTED_TTL: Duration = Duration::from_secs(10);

/// Keys of the vms' own entries.
const VMS_PREFIX: &str = "vms/";

/// A vm's own entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct ListedVm {
    zone: String,
    #[serde(default)]
    capacity_millicores: u32,
    caller_address: String,
    peer_address: String,
}

/// Which copy a watcher keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    Settings,
    Targets,
}

/// Starts all control tasks on the calling thread.
pub(crate) fn start<E: Edges>(context: &Context<E>) {
    let seeds = context.shared.config.seeds.iter().map(|address| Record {
        vm: vm_id_of(*address),
        peer_address: address.to_string(),
        ..Record::default()
    });
    peers::feed_membership(context, Event::Listed(seeds.collect()));
    spawn(context, |context| async move {
        watch(&context, Copy::Settings).await;
    });
    spawn(context, |context| async move {
        watch(&context, Copy::Targets).await;
    });
    spawn(context, |context| async move { ask(&context).await });
    spawn(context, |context| async move { list(&context).await });
    spawn(context, |context| async move { tick(&context).await });
    spawn(context, |context| async move {
        owner::tell_ends(&context).await;
    });
    spawn(
        context,
        |context| async move { duties::run(&context).await },
    );
}

fn spawn<E: Edges, F: Future<Output = ()> + 'static>(
    context: &Context<E>,
    task: impl FnOnce(Context<E>) -> F,
) {
    ntex::rt::spawn(task(context.clone()));
}

async fn tick<E: Edges>(context: &Context<E>) {
    let shared = &context.shared;
    loop {
        let now = shared.now();
        shared.usage().true_time.record_own_clock(wall_clock(), now);
        let running = shared.running.load(std::sync::atomic::Ordering::SeqCst);
        peers::feed_membership(context, Event::Running(running));
        peers::feed_membership(context, Event::Tick);
        shared
            .quarantine()
            .step(QuarantineEvent::Tick, now, &mut Vec::new());
        let (vms, all) = vms_in_reach(shared, now);
        {
            let mut fleet = shared.fleet();
            let fleet = &mut *fleet;
            fleet.catalog.remove_expired(now);
            fleet.placer.evict_removed(&fleet.catalog, now);
            fleet.owner.evict_expired(&fleet.catalog, now);
            fleet.placer.set_vms(vms);
            fleet.owner.set_vms(vms, all);
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Vms that can be reached, and all that there are, this one included.
fn vms_in_reach(shared: &Shared, now: Duration) -> (usize, usize) {
    let membership = shared.membership();
    let in_reach = membership.live(now);
    let listed = membership.listed();
    let unseen = listed.iter().filter(|vm| !in_reach.contains(vm)).count();
    (in_reach.len(), in_reach.len() + unseen)
}

/// Keeps a copy of one prefix: lists it once, then follows the changes.
async fn watch<E: Edges>(context: &Context<E>, copy: Copy) {
    let shared = &context.shared;
    let prefix = match copy {
        Copy::Settings => E::Wire::SETTINGS_PREFIX,
        Copy::Targets => E::Wire::TARGETS_PREFIX,
    };
    let mut pause = STORE_RETRY_FIRST;
    let mut is_lost = false;
    let mut must_list = true;
    loop {
        if !must_list && !is_watcher(context) {
            sleep(WATCHER_CHECK).await;
            continue;
        }
        let result = match must_list {
            true => relist(context, copy, prefix).await,
            false => follow(context, copy, prefix).await,
        };
        match result {
            Ok(whole) => {
                must_list = !whole;
                pause = STORE_RETRY_FIRST;
                if std::mem::take(&mut is_lost) {
                    decision!(
                        shared,
                        LineKind::Dependency,
                        dependency = "store",
                        prefix,
                        state = "back"
                    );
                }
            }
            Err(reason) => {
                shared.metrics.store_failures.inc();
                if !std::mem::replace(&mut is_lost, true) {
                    decision!(
                        shared,
                        LineKind::Dependency,
                        dependency = "store",
                        prefix,
                        state = "lost",
                        cause:% = reason
                    );
                }
                // Whatever lapsed during the outage may be written again soon after it.
                shared.store_returned();
                sleep(pause).await;
                pause = (pause * 2).min(STORE_RETRY_LONGEST);
            }
        }
    }
}

/// Whether this vm follows the store. In a large fleet some vms do and tell the others, so the calls
/// do not grow with the fleet.
fn is_watcher<E: Edges>(context: &Context<E>) -> bool {
    let shared = &context.shared;
    let live = shared.membership().live(shared.now());
    is_among_first(shared.vm, &live, WATCHERS)
}

async fn relist<E: Edges>(context: &Context<E>, copy: Copy, prefix: &str) -> Result<bool, String> {
    let op = StoreOp::List {
        prefix: prefix.to_owned(),
    };
    match context.store.perform(op).await {
        StoreReply::Values { entries, store } => {
            {
                let mut mirrors = context.shared.mirrors();
                let mirror = match copy {
                    Copy::Settings => &mut mirrors.settings,
                    Copy::Targets => &mut mirrors.targets,
                };
                mirror.replace(entries, store);
            }
            context.shared.read_from_store(copy == Copy::Settings);
            apply(context, copy);
            Ok(true)
        }
        other => Err(format!("{other:?}")),
    }
}

async fn follow<E: Edges>(context: &Context<E>, copy: Copy, prefix: &str) -> Result<bool, String> {
    let complete = {
        let mirrors = context.shared.mirrors();
        match copy {
            Copy::Settings => mirrors.settings.complete(),
            Copy::Targets => mirrors.targets.complete(),
        }
    };
    let Some(after) = complete else {
        return Ok(false);
    };
    match context.store.watch(prefix, after, WATCH_WAIT).await {
        WatchReply::Changes { items, at } => {
            let changed = {
                let mut mirrors = context.shared.mirrors();
                let mirror = match copy {
                    Copy::Settings => &mut mirrors.settings,
                    Copy::Targets => &mut mirrors.targets,
                };
                mirror.advance(items, at)
            };
            if changed {
                apply(context, copy);
            }
            Ok(true)
        }
        WatchReply::HistoryGone => Ok(false),
        WatchReply::Failed(reason) => Err(reason),
    }
}

/// Takes over what another vm knows.
pub(crate) fn merge<E: Edges>(
    context: &Context<E>,
    settings: Option<MirrorDelta>,
    targets: Option<MirrorDelta>,
) {
    let (settings, targets) = {
        let mut mirrors = context.shared.mirrors();
        (
            settings.map(|delta| mirrors.settings.merge(delta)),
            targets.map(|delta| mirrors.targets.merge(delta)),
        )
    };
    if settings.is_some() {
        apply(context, Copy::Settings);
    }
    if targets.is_some() {
        apply(context, Copy::Targets);
    }
}

/// Puts a changed copy in force.
fn apply<E: Edges>(context: &Context<E>, copy: Copy) {
    match copy {
        Copy::Settings => apply_settings(context),
        Copy::Targets => apply_targets(context),
    }
}

fn apply_settings<E: Edges>(context: &Context<E>) {
    let shared = &context.shared;
    let values: Vec<_> = {
        let mirrors = shared.mirrors();
        let items = mirrors.settings.items();
        items
            .map(|(key, revision, value)| (key.to_owned(), revision, value.to_vec()))
            .collect()
    };
    for (key, revision, value) in values {
        match E::Wire::settings(&key, &value) {
            StoredSettings::Settings(settings) => {
                let (version, routes) = (settings.version, settings.routes.len());
                if shared.set_settings(*settings) {
                    decision!(
                        shared,
                        LineKind::Settings,
                        version,
                        revision = revision.0,
                        routes,
                        outcome = "in_force"
                    );
                }
            }
            StoredSettings::Unusable(fault) => {
                decision!(
                    shared,
                    LineKind::Settings,
                    revision = revision.0,
                    fault:% = fault,
                    outcome = "kept_old"
                );
            }
            StoredSettings::Other => {}
        }
    }
}

fn apply_targets<E: Edges>(context: &Context<E>) {
    let shared = &context.shared;
    let (complete, entries): (_, Vec<_>) = {
        let mirrors = shared.mirrors();
        let items = mirrors.targets.items();
        let entries = items.filter_map(|(key, at, value)| E::Wire::target(key, value, at));
        (mirrors.targets.complete(), entries.collect())
    };
    let Some(complete) = complete else {
        return;
    };
    let count = entries.len();
    let hold = shared.reappear_hold();
    let now = shared.now();
    {
        let mut fleet = shared.fleet();
        fleet.catalog.update(entries, hold, now);
    }
    shared.set_has_targets();
    shared.metrics.targets.set(count as i64);
    decision!(
        shared,
        LineKind::Targets,
        targets = count,
        revision = complete.0,
        hold_ms = millis(hold)
    );
}

/// Asks a random vm for news again and again.
async fn ask<E: Edges>(context: &Context<E>) {
    let shared = &context.shared;
    let mut rounds = PeerSelector::new(u64::from(shared.vm.0) ^ shared.incarnation.0);
    // Copies go with every second question: at most 0.5 s of a vm's counts are lost with it.
    let mut copies = false;
    loop {
        let others = peers::others(context);
        if shared.is_comparing() {
            // The gate decides how many answers are enough.
            for to in others.iter().take(COMPARED_AT_START) {
                peers::send(context, *to, vec![question(context)]);
            }
        }
        let own_zone = peers::in_own_zone(context, &others);
        if let Some(to) = rounds.next(&others, &own_zone) {
            let mut messages = vec![question(context)];
            // Also an empty list is sent: a vm that has just started asks what others have heard.
            let leaving = shared.fleet().catalog.leaving_runs();
            messages.push(Message::Leaving(leaving));
            copies = !copies;
            if copies {
                let newest = shared.usage().windows.own_newest(COPIED_WINDOWS);
                messages.push(Message::Counts(newest));
            }
            // Several answers at once would carry the same news over a slow link. One that takes too
            // long is still taken over when it comes.
            let asked = peers::send(context, to, messages);
            timeout(ASK_PATIENCE, asked).await.ok();
        }
        sleep(ASK_INTERVAL).await;
    }
}

/// Asks for what this vm lacks.
fn question<E: Edges>(context: &Context<E>) -> Message {
    let mirrors = context.shared.mirrors();
    Message::Ask {
        settings: mirrors.settings.complete(),
        targets: mirrors.targets.complete(),
    }
}

/// Keeps this vm in the list of vms, and reads the list.
async fn list<E: Edges>(context: &Context<E>) {
    let mut lease = None;
    loop {
        if context.shared.leaving_for().is_some() {
            return;
        }
        lease = stay_listed(context, lease).await;
        let prefix = VMS_PREFIX.to_owned();
        if let StoreReply::Values { entries, .. } = context.store.list_stale(&prefix).await {
            let records: Vec<_> = entries.iter().filter_map(|e| record(&e.value)).collect();
            peers::feed_membership(context, Event::Listed(records));
        }
        sleep(LIST_INTERVAL).await;
    }
}

fn record(value: &[u8]) -> Option<Record> {
    let listed: ListedVm = serde_json::from_slice(value).ok()?;
    Some(Record {
        vm: vm_id_of(listed.peer_address.parse().ok()?),
        zone: listed.zone,
        capacity_millicores: listed.capacity_millicores,
        caller_address: listed.caller_address,
        peer_address: listed.peer_address,
        state: VmState::Live,
        ..Record::default()
    })
}

async fn stay_listed<E: Edges>(context: &Context<E>, lease: Option<LeaseId>) -> Option<LeaseId> {
    if let Some(lease) = lease {
        return match context.store.perform(StoreOp::KeepAlive { lease }).await {
            StoreReply::Expired => None,
            _ => Some(lease),
        };
    }
    let granted = StoreOp::GrantLease { ttl: LISTED_TTL };
    let StoreReply::Granted { lease, .. } = context.store.perform(granted).await else {
        return None;
    };
    let shared = &context.shared;
    let config = &shared.config;
    let listed = ListedVm {
        zone: config.zone.clone(),
        capacity_millicores: config.capacity_millicores(),
        caller_address: config.listen.callers.to_string(),
        peer_address: config.listen.peers.to_string(),
    };
    // Serialization of plain strings does not fail.
    let value = serde_json::to_vec(&listed).unwrap_or_default();
    let op = StoreOp::Cas {
        key: format!("{VMS_PREFIX}{}-{}", config.vm_name, shared.incarnation),
        expected: Expected::Absent,
        value,
        lease: Some(lease),
        guard: None,
    };
    match context.store.perform(op).await {
        StoreReply::Written { .. } => Some(lease),
        _ => None,
    }
}

/// Leases lapse by themselves; the usage counts of this vm are asked for until the process ends.
pub(crate) fn hand_over<E: Edges>(context: &Context<E>) {
    peers::feed_membership(context, Event::HandedOver);
}
