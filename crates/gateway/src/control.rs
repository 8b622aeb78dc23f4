//! Control tasks: replication of the store, exchange with other vms, membership and clean-up.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jujubebeam_core::Machine;
use jujubebeam_core::gateway::{MirrorDelta, PeerSelector};
use jujubebeam_core::membership::{Event, Record, VmState, is_among_first};
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::store::{Expected, LeaseId, StoreOp, StoreReply};
use ntex::time::{sleep, timeout};
use serde::{Deserialize, Serialize};

use crate::adapters::{Adapters, StoreApi, StoredSettings, WatchReply, Wire};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::duties;
use crate::host_address::is_host_address;
use crate::message::Message;
use crate::owner;
use crate::peers;
use crate::server::Context;
use crate::state::{Shared, vm_id_of, wall_clock};

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between queries to a random vm for updates. A change reaches all vms within a few
/// rounds, well within the 2 s in which settings must be in force.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Time to wait for updates before another vm is queried as well. Settings with a thousand routes
/// take 0.1 s on a link of 10 Mbit/s.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of vms that a starting vm queries at once for the newest replicas.
const START_COMPARISON_PEERS: usize = 3;

/// Number of newest windows whose usage counts are replicated to other vms.
const REPLICATED_WINDOWS: usize = 2;

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Number of vms that watch the store. The store may refuse a third of all vms at once. With eight
/// watchers, at least one is still served with a probability of 0.9998.
const WATCHERS: usize = 8;

/// Interval between checks whether this vm has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after the first failed store call. It doubles with each failure up to [`STORE_RETRY_MAX`].
const STORE_RETRY_INITIAL: Duration = Duration::from_millis(100);

/// Longest pause after a failed store call.
const STORE_RETRY_MAX: Duration = Duration::from_millis(500);

/// Interval between reads of the list of vms in the store.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lease TTL of this vm's entry in the list of vms.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);

/// Prefix of the keys of the vms' entries.
const VMS_PREFIX: &str = "vms/";

/// Longest zone of a vm, which other vms receive with its record.
const MAX_ZONE_BYTES: usize = 200;

/// Largest capacity of a vm. A larger one by mistake would make all other vms too small to
/// coordinate work.
const MAX_MILLICORES: u32 = 1_000_000;

/// Entry of a vm in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmEntry {
    zone: String,
    #[serde(default)]
    capacity_millicores: u32,
    caller_address: String,
    peer_address: String,
}

/// A part of the store that is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicaKind {
    Settings,
    Targets,
}

/// Starts all control tasks on the calling thread.
pub(crate) fn start<A: Adapters>(context: &Context<A>) {
    let seeds = context.shared.config.seeds.iter().map(|address| Record {
        vm: vm_id_of(*address),
        peer_address: address.to_string(),
        ..Record::default()
    });
    peers::feed_membership(context, Event::Listed(seeds.collect()));
    spawn(context, |context| async move {
        replicate(&context, ReplicaKind::Settings).await;
    });
    spawn(context, |context| async move {
        replicate(&context, ReplicaKind::Targets).await;
    });
    spawn(context, |context| async move { poll_peers(&context).await });
    spawn(context, |context| async move {
        maintain_vm_list(&context).await
    });
    spawn(context, |context| async move { tick(&context).await });
    spawn(context, |context| async move {
        owner::send_ends(&context).await;
    });
    spawn(
        context,
        |context| async move { duties::run(&context).await },
    );
}

fn spawn<A: Adapters, F: Future<Output = ()> + 'static>(
    context: &Context<A>,
    task: impl FnOnce(Context<A>) -> F,
) {
    ntex::rt::spawn(task(context.clone()));
}

async fn tick<A: Adapters>(context: &Context<A>) {
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
        let (vms, all) = shared.count_vms();
        {
            let mut fleet = shared.fleet();
            let fleet = &mut *fleet;
            fleet.catalog.remove_expired(now);
            fleet.placer.evict_removed(&fleet.catalog, now);
            fleet.owner.evict_expired(&fleet.catalog, now);
            fleet.rate_limits.evict_removed(&fleet.catalog, now);
            fleet.permits.evict_removed(&fleet.catalog);
            fleet.apply_limits();
            fleet.placer.set_vms(vms);
            fleet.owner.set_vms(vms, all);
            fleet.permits.set_vms(vms, all);
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Replicates one prefix: lists it once, then watches for changes.
async fn replicate<A: Adapters>(context: &Context<A>, replica: ReplicaKind) {
    let shared = &context.shared;
    let prefix = match replica {
        ReplicaKind::Settings => A::Wire::SETTINGS_PREFIX,
        ReplicaKind::Targets => A::Wire::TARGETS_PREFIX,
    };
    let mut pause = STORE_RETRY_INITIAL;
    let mut is_disconnected = false;
    let mut needs_listing = true;
    loop {
        if !needs_listing && !is_watcher(context) {
            sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let result = match needs_listing {
            true => list_all(context, replica, prefix).await,
            false => watch_changes(context, replica, prefix).await,
        };
        match result {
            Ok(is_complete) => {
                needs_listing = !is_complete;
                pause = STORE_RETRY_INITIAL;
                if std::mem::take(&mut is_disconnected) {
                    decision!(
                        shared,
                        DecisionKind::Dependency,
                        dependency = "store",
                        prefix,
                        state = "back"
                    );
                }
            }
            Err(reason) => {
                shared.metrics.store_failures.inc();
                if !std::mem::replace(&mut is_disconnected, true) {
                    decision!(
                        shared,
                        DecisionKind::Dependency,
                        dependency = "store",
                        prefix,
                        state = "lost",
                        cause:% = reason
                    );
                }
                // Entries that expired during the outage may be written again soon after it.
                shared.extend_reappear_grace();
                sleep(pause).await;
                pause = (pause * 2).min(STORE_RETRY_MAX);
            }
        }
    }
}

/// Whether this vm watches the store. In a large fleet only some vms watch it and pass changes on,
/// so that the number of calls does not grow with the fleet.
fn is_watcher<A: Adapters>(context: &Context<A>) -> bool {
    let shared = &context.shared;
    let live = shared.membership().live(shared.now());
    is_among_first(shared.vm, &live, WATCHERS)
}

async fn list_all<A: Adapters>(
    context: &Context<A>,
    replica: ReplicaKind,
    prefix: &str,
) -> Result<bool, String> {
    let op = StoreOp::List {
        prefix: prefix.to_owned(),
    };
    match context.store.perform(op).await {
        StoreReply::Values { entries, store } => {
            {
                let mut mirrors = context.shared.mirrors();
                let mirror = match replica {
                    ReplicaKind::Settings => &mut mirrors.settings,
                    ReplicaKind::Targets => &mut mirrors.targets,
                };
                mirror.replace(entries, store);
            }
            context
                .shared
                .read_from_store(replica == ReplicaKind::Settings);
            apply(context, replica);
            Ok(true)
        }
        other => Err(format!("{other:?}")),
    }
}

async fn watch_changes<A: Adapters>(
    context: &Context<A>,
    replica: ReplicaKind,
    prefix: &str,
) -> Result<bool, String> {
    let complete = {
        let mirrors = context.shared.mirrors();
        match replica {
            ReplicaKind::Settings => mirrors.settings.complete(),
            ReplicaKind::Targets => mirrors.targets.complete(),
        }
    };
    let Some(after) = complete else {
        return Ok(false);
    };
    match context.store.watch(prefix, after, WATCH_WAIT).await {
        WatchReply::Changes { items, at } => {
            let changed = {
                let mut mirrors = context.shared.mirrors();
                let mirror = match replica {
                    ReplicaKind::Settings => &mut mirrors.settings,
                    ReplicaKind::Targets => &mut mirrors.targets,
                };
                mirror.advance(items, at)
            };
            if changed {
                apply(context, replica);
            }
            Ok(true)
        }
        WatchReply::Compacted => Ok(false),
        WatchReply::Failed(reason) => Err(reason),
    }
}

/// Merges updates from another vm.
pub(crate) fn merge_deltas<A: Adapters>(
    context: &Context<A>,
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
        apply(context, ReplicaKind::Settings);
    }
    if targets.is_some() {
        apply(context, ReplicaKind::Targets);
    }
}

/// Applies a changed replica.
fn apply<A: Adapters>(context: &Context<A>, replica: ReplicaKind) {
    match replica {
        ReplicaKind::Settings => apply_settings(context),
        ReplicaKind::Targets => apply_targets(context),
    }
}

fn apply_settings<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    let values: Vec<_> = {
        let mirrors = shared.mirrors();
        let items = mirrors.settings.items();
        items
            .map(|(key, revision, value)| (key.to_owned(), revision, value.to_vec()))
            .collect()
    };
    for (key, revision, value) in values {
        match A::Wire::settings(&key, &value) {
            StoredSettings::Settings(settings) => {
                let (version, routes) = (settings.version, settings.routes.len());
                if shared.set_settings(*settings) {
                    decision!(
                        shared,
                        DecisionKind::Settings,
                        version,
                        revision = revision.0,
                        routes,
                        outcome = "in_force"
                    );
                }
            }
            StoredSettings::Invalid(fault) => {
                decision!(
                    shared,
                    DecisionKind::Settings,
                    revision = revision.0,
                    fault:% = fault,
                    outcome = "kept_old"
                );
            }
            StoredSettings::Other => {}
        }
    }
}

fn apply_targets<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    let mut invalid_keys = BTreeSet::new();
    let (complete, entries): (_, Vec<_>) = {
        let mirrors = shared.mirrors();
        let items = mirrors.targets.items();
        let entries = items.filter_map(|(key, at, value)| {
            let target = A::Wire::target(key, value, at);
            // A request to one of its own addresses would come back to this vm.
            let target = target.filter(|target| !shared.config.listen.contains(&target.address));
            if target.is_none() {
                invalid_keys.insert(key.to_owned());
            }
            target
        });
        (mirrors.targets.complete(), entries.collect())
    };
    let Some(complete) = complete else {
        return;
    };
    log_invalid_entries(shared, invalid_keys);
    let count = entries.len();
    let grace = shared.reappear_grace();
    let now = shared.now();
    {
        let mut fleet = shared.fleet();
        fleet.catalog.update(entries, grace, now);
    }
    shared.set_has_targets();
    shared.metrics.targets.set(count as i64);
    decision!(
        shared,
        DecisionKind::Targets,
        targets = count,
        revision = complete.0,
        hold_ms = millis(grace)
    );
}

/// Logs the keys of entries that have newly become unusable.
fn log_invalid_entries(shared: &Shared, keys: BTreeSet<String>) {
    let count = keys.len();
    if let Some(keys) = shared.invalid_entries.replace(keys) {
        decision!(
            shared,
            DecisionKind::InvalidEntries,
            entries = count,
            keys:% = keys,
            outcome = "ignored"
        );
    }
}

/// Queries random vms for updates, one per interval.
async fn poll_peers<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    let mut selector = PeerSelector::new(u64::from(shared.vm.0) ^ shared.incarnation.0);
    // Every second query carries usage counts, so a vm that fails loses at most 0.5 s of its
    // counts.
    let mut sends_counts = false;
    loop {
        let reachable_peers = peers::reachable_peers(context);
        if shared.is_comparing() {
            // The start gate decides how many replies are enough.
            for to in reachable_peers.iter().take(START_COMPARISON_PEERS) {
                peers::send(context, *to, vec![delta_request(context)]);
            }
        }
        let own_zone = peers::in_own_zone(context, &reachable_peers);
        if let Some(to) = selector.next(&reachable_peers, &own_zone) {
            let mut messages = vec![delta_request(context)];
            // An empty list of leaving targets is sent too, because it lets a vm that has just started
            // get them from the reply.
            let (leaving, rate_limits) = {
                let (fleet, now) = (shared.fleet(), shared.now());
                let rate_limits = fleet.rate_limits.reports(&fleet.catalog, now);
                (fleet.catalog.leaving_runs(), rate_limits)
            };
            messages.push(Message::Leaving(leaving));
            // Vms of an earlier version reject exchanges with messages that they do not know.
            if !rate_limits.is_empty() {
                messages.push(Message::RateLimits(rate_limits));
            }
            sends_counts = !sends_counts;
            if sends_counts {
                let newest = shared.usage().windows.own_newest(REPLICATED_WINDOWS);
                messages.push(Message::Counts(newest));
            }
            // Several replies at once would carry the same updates over a slow link. A reply that
            // arrives after the timeout is still applied.
            let reply = peers::send(context, to, messages);
            timeout(PEER_QUERY_TIMEOUT, reply).await.ok();
        }
        sleep(PEER_QUERY_INTERVAL).await;
    }
}

/// Creates the message that queries for updates that this vm lacks.
fn delta_request<A: Adapters>(context: &Context<A>) -> Message {
    let mirrors = context.shared.mirrors();
    Message::Ask {
        settings: mirrors.settings.complete(),
        targets: mirrors.targets.complete(),
    }
}

/// Keeps this vm registered in the list of vms in the store, and reads the list.
async fn maintain_vm_list<A: Adapters>(context: &Context<A>) {
    let mut lease = None;
    loop {
        if context.shared.time_since_leaving().is_some() {
            return;
        }
        lease = keep_registered(context, lease).await;
        let prefix = VMS_PREFIX.to_owned();
        if let StoreReply::Values { entries, .. } = context.store.list_stale(&prefix).await {
            let records: Vec<_> = entries.iter().filter_map(|e| record(&e.value)).collect();
            peers::feed_membership(context, Event::Listed(records));
        }
        sleep(VM_LIST_INTERVAL).await;
    }
}

fn record(value: &[u8]) -> Option<Record> {
    let listed: VmEntry = serde_json::from_slice(value).ok()?;
    let peer_address = host_address(&listed.peer_address)?;
    // Callers are sent to this address.
    host_address(&listed.caller_address)?;
    let is_plausible =
        listed.zone.len() <= MAX_ZONE_BYTES && listed.capacity_millicores <= MAX_MILLICORES;
    is_plausible.then(|| Record {
        vm: vm_id_of(peer_address),
        zone: listed.zone,
        capacity_millicores: listed.capacity_millicores,
        caller_address: listed.caller_address,
        peer_address: listed.peer_address,
        state: VmState::Live,
        ..Record::default()
    })
}

fn host_address(text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok()?;
    is_host_address(&address).then_some(address)
}

async fn keep_registered<A: Adapters>(
    context: &Context<A>,
    lease: Option<LeaseId>,
) -> Option<LeaseId> {
    if let Some(lease) = lease {
        return match context.store.perform(StoreOp::KeepAlive { lease }).await {
            StoreReply::Expired => None,
            _ => Some(lease),
        };
    }
    let grant = StoreOp::GrantLease {
        ttl: REGISTRATION_TTL,
    };
    let StoreReply::Granted { lease, .. } = context.store.perform(grant).await else {
        return None;
    };
    let shared = &context.shared;
    let config = &shared.config;
    let listed = VmEntry {
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

/// Confirms the hand-over at once: leases expire by themselves, and other vms can query the usage
/// counts of this vm until the process ends.
pub(crate) fn hand_over<A: Adapters>(context: &Context<A>) {
    peers::feed_membership(context, Event::HandedOver);
}
