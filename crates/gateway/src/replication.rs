//! Replication of the settings and the list of targets: from the store, and from other vms.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::gateway::{
    MirrorDelta, MirrorItem, PackedItem, PackedValue, PeerSelector, RefreshStep, ReplicaAge,
    TargetChange,
};
use jujubebeam_core::membership::first_of;
use jujubebeam_core::store::{StoreOp, StoreReply};
use jujubebeam_core::{Revision, VmId};
use ntex::time::{sleep, timeout};
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use crate::adapters::{Adapters, StoreApi, StoredSettings, WatchReply, Wire};
use crate::decision_log::{DecisionKind, decision, millis};
use crate::message::Message;
use crate::peers;
use crate::server::Context;
use crate::state::{Replica, Restored, Shared};

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

/// Shortest interval between checks of the age of a replica.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two calls because of the age of a replica. The next one may succeed before an
/// earlier one times out. It doubles with each read of the store that does not help, up to half of
/// the bound, because all vms read a store that has failed.
const REFRESH_CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Number of vms that watch the store. The store may refuse a third of all vms at once. With eight
/// watchers, at least one is still served with a probability of 0.9998.
const WATCHERS: usize = 8;

/// Interval between checks whether this vm has become a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after the first failed store call. It doubles with each failure up to [`STORE_RETRY_MAX`].
const STORE_RETRY_INITIAL: Duration = Duration::from_millis(100);

/// Shortest interval between two listings, in case the store keeps no history for watches. It is
/// well below the shortest bound of a replica.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Longest pause after a failed store call.
const STORE_RETRY_MAX: Duration = Duration::from_millis(500);

/// A part of the store that is replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ReplicaKind {
    /// Settings of the operator.
    Settings,
    /// Entries of targets.
    Targets,
}

impl ReplicaKind {
    /// Prefix of the replicated keys.
    fn prefix<A: Adapters>(self) -> &'static str {
        match self {
            Self::Settings => A::Wire::SETTINGS_PREFIX,
            Self::Targets => A::Wire::TARGETS_PREFIX,
        }
    }
}

/// Where a replica got a change from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Source {
    /// A listing of the store.
    List,
    /// A watch on the store.
    Watch,
    /// Another vm.
    Vm,
    /// The end of the time for which a missing target is kept.
    Expiry,
}

/// Replicates one prefix: lists it once, then watches for changes.
pub(crate) async fn replicate<A: Adapters>(context: &Context<A>, kind: ReplicaKind) {
    let shared = &context.shared;
    let prefix = kind.prefix::<A>();
    let mut pause = STORE_RETRY_INITIAL;
    let mut is_disconnected = false;
    let mut needs_listing = true;
    let mut listed_at = None;
    loop {
        if !needs_listing && !is_watcher(context) {
            sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let result = match needs_listing {
            true => {
                let next_at = listed_at.map_or(Duration::ZERO, |at: Duration| at + LIST_INTERVAL);
                sleep(next_at.saturating_sub(shared.now())).await;
                listed_at = Some(shared.now());
                list_all(context, kind, prefix).await
            }
            false => watch_changes(context, kind, prefix).await,
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
                sleep(pause).await;
                pause = (pause * 2).min(STORE_RETRY_MAX);
            }
        }
    }
}

/// Whether this vm watches the store. In a large fleet only some vms watch it and pass changes on,
/// so that the number of calls does not grow with the fleet.
fn is_watcher<A: Adapters>(context: &Context<A>) -> bool {
    watchers(context).contains(&context.shared.vm)
}

/// The vms that watch the store.
fn watchers<A: Adapters>(context: &Context<A>) -> SmallVec<[VmId; WATCHERS]> {
    let shared = &context.shared;
    let live = shared.membership().live(shared.now());
    first_of(&live, WATCHERS)
}

async fn list_all<A: Adapters>(
    context: &Context<A>,
    kind: ReplicaKind,
    prefix: &str,
) -> Result<bool, String> {
    let shared = &context.shared;
    let op = StoreOp::List {
        prefix: prefix.to_owned(),
    };
    let sent_at = shared.now();
    match context.store.perform(op).await {
        StoreReply::Values { entries, store } => {
            update(shared, kind, |replica| {
                replica.mirror.replace(entries, store);
                replica.freshness.confirm(sent_at);
            });
            shared.read_from_store(kind == ReplicaKind::Settings);
            apply(context, kind, Source::List);
            Ok(true)
        }
        other => Err(format!("{other:?}")),
    }
}

async fn watch_changes<A: Adapters>(
    context: &Context<A>,
    kind: ReplicaKind,
    prefix: &str,
) -> Result<bool, String> {
    let shared = &context.shared;
    let Some(after) = shared.replicas().get(kind).mirror.complete() else {
        return Ok(false);
    };
    let wait = shared.config.replication.refresh_policy(kind).watch_wait();
    let sent_at = shared.now();
    let reply = context.store.watch(prefix, after, wait).await;
    let confirmed_at = match &reply {
        // The store made a reply without changes at the end of the wait.
        WatchReply::Changes { items, .. } if items.is_empty() && shared.now() >= sent_at + wait => {
            sent_at + wait
        }
        _ => sent_at,
    };
    apply_changes(context, kind, reply, confirmed_at)
}

/// Applies the changes that the store reported. Returns whether the replica is complete.
fn apply_changes<A: Adapters>(
    context: &Context<A>,
    kind: ReplicaKind,
    reply: WatchReply,
    confirmed_at: Duration,
) -> Result<bool, String> {
    match reply {
        WatchReply::Changes { items, at } => {
            let changed = update(&context.shared, kind, |replica| {
                let changed = replica.mirror.advance(items, at);
                replica.freshness.confirm(confirmed_at);
                changed
            });
            if changed {
                apply(context, kind, Source::Watch);
            }
            Ok(true)
        }
        WatchReply::Compacted => Ok(false),
        WatchReply::Failed(reason) => Err(reason),
    }
}

/// Keeps a replica younger than its bound, whatever happens to the watches and to other vms.
pub(crate) async fn refresh<A: Adapters>(context: &Context<A>, kind: ReplicaKind) {
    let shared = &context.shared;
    let policy = shared.config.replication.refresh_policy(kind);
    let mut selector = PeerSelector::new(u64::from(shared.vm.0) ^ !shared.incarnation.0);
    let mut called_at = Duration::ZERO;
    let mut call_interval = REFRESH_CALL_INTERVAL;
    let mut pause = REFRESH_INTERVAL;
    loop {
        sleep(pause).await;
        let now = shared.now();
        let (age, is_read) = {
            let replicas = shared.replicas();
            let replica = replicas.get(kind);
            (
                replica.freshness.age(now),
                replica.mirror.complete().is_some(),
            )
        };
        pause = policy.time_to_step(age).max(REFRESH_INTERVAL);
        let step = policy.step(age);
        // A replica that was never read is listed, and compared with those of other vms.
        if step != RefreshStep::ReadStore || !is_read {
            call_interval = REFRESH_CALL_INTERVAL;
        }
        if step == RefreshStep::Wait || !is_read {
            continue;
        }
        if now < called_at + call_interval {
            continue;
        }
        called_at = now;
        shared.metrics.refresh(kind.into(), step.into());
        decision!(
            shared,
            DecisionKind::Refresh,
            replica:% = kind,
            age_ms = age.map(millis),
            step:% = step
        );
        if step == RefreshStep::ReadStore {
            call_interval = (call_interval * 2).min(policy.longest_read_pause());
            let context = context.clone();
            ntex::rt::spawn(async move { read_changes(&context, kind).await });
        }
        // The query helps if the store does not reply.
        let watchers = watchers(context);
        if let Some(to) = selector.next_watcher(&watchers, shared.vm) {
            peers::send(context, to, vec![delta_request(context)]);
        }
    }
}

/// Reads a replica from the store, unless it was confirmed later than at `after`. Returns whether it is
/// confirmed.
pub(crate) async fn confirm<A: Adapters>(
    context: &Context<A>,
    kind: ReplicaKind,
    after: Duration,
) -> bool {
    let is_confirmed = || {
        let now = context.shared.now();
        let age = context.shared.replicas().get(kind).freshness.age(now);
        age.is_some_and(|age| now.saturating_sub(age) >= after)
    };
    if !is_confirmed() {
        read_changes(context, kind).await;
    }
    is_confirmed()
}

/// Reads the changes since the revision of a replica.
async fn read_changes<A: Adapters>(context: &Context<A>, kind: ReplicaKind) {
    let shared = &context.shared;
    let prefix = kind.prefix::<A>();
    let Some(after) = shared.replicas().get(kind).mirror.complete() else {
        return;
    };
    let sent_at = shared.now();
    let reply = context.store.changes_since(prefix, after).await;
    let mut read = apply_changes(context, kind, reply, sent_at);
    if read == Ok(false) {
        read = list_all(context, kind, prefix).await;
    }
    if let Err(reason) = read {
        shared.metrics.store_failures.inc();
        log::debug!("store: {prefix} could not be read: {reason}");
    }
}

/// Merges the update of another vm that was queried at `queried_at`, and the age of its replica.
pub(crate) fn merge<A: Adapters>(
    context: &Context<A>,
    kind: ReplicaKind,
    delta: Option<MirrorDelta>,
    age: Option<ReplicaAge>,
    queried_at: Duration,
) {
    // Vms of an earlier version send no age, and may have skipped removals that they do not report.
    let delta = delta.filter(|delta| delta.is_whole || age.is_some());
    let has_delta = delta.is_some();
    update(&context.shared, kind, |replica| {
        let complete = delta.as_ref().map(|delta| delta.complete);
        if let Some(delta) = delta {
            replica.mirror.merge(delta);
        }
        // A damaged update leaves the replica behind that of the other vm.
        let is_merged = complete.is_none_or(|complete| replica.mirror.complete() >= Some(complete));
        if let Some(age) = age.filter(|_| is_merged) {
            replica.freshness.merge(age, queried_at);
        }
    });
    if has_delta {
        apply(context, kind, Source::Vm);
    }
}

/// Changes a replica, and publishes its age.
fn update<R>(shared: &Shared, kind: ReplicaKind, change: impl FnOnce(&mut Replica) -> R) -> R {
    let mut replicas = shared.replicas();
    let replica = replicas.get_mut(kind);
    let before = replica.mirror.complete();
    let changed = change(replica);
    let complete = replica.mirror.complete();
    let era = complete.map(Revision::era);
    if before.is_some_and(|before| Some(before.era()) < era) {
        replica.restored = complete.map(|at| Restored {
            at,
            is_applied: false,
        });
        shared.set_restored(shared.now());
        decision!(
            shared,
            DecisionKind::Dependency,
            dependency = "store",
            replica:% = kind,
            state = "restored",
            era,
            revision = complete.map(Revision::number),
            revision_before = before.map(Revision::number)
        );
    }
    if kind == ReplicaKind::Targets {
        let now = shared.now();
        if let Some(age) = replica.freshness.age(now) {
            shared.set_targets_confirmed(now.saturating_sub(age));
        }
    }
    changed
}

/// Applies a changed replica.
fn apply<A: Adapters>(context: &Context<A>, kind: ReplicaKind, source: Source) {
    match kind {
        ReplicaKind::Settings => apply_settings(context, source),
        ReplicaKind::Targets => apply_targets(context, source),
    }
}

fn apply_settings<A: Adapters>(context: &Context<A>, source: Source) {
    let items: Vec<_> = {
        let replicas = context.shared.replicas();
        let items = replicas.settings.mirror.items();
        let items = items.map(|(key, revision, value)| MirrorItem {
            key: key.to_owned(),
            revision,
            value: Some(value.to_vec()),
        });
        items.collect()
    };
    apply_settings_items(context, items, source);
}

/// The settings in force, if they are newer than a version and the replica has older ones.
pub(crate) fn settings_newer_than(
    shared: &Shared,
    replica: &Replica,
    version: u64,
) -> Option<PackedItem> {
    shared.settings().filter(|own| own.version > version)?;
    let item = shared.stored_settings().clone()?;
    let mut replicated = replica.mirror.items();
    if replicated.any(|(key, revision, _)| key == item.key && revision == item.revision) {
        return None;
    }
    Some(PackedItem {
        key: item.key.clone(),
        revision: item.revision,
        value: item.value.as_deref().map(PackedValue::pack),
    })
}

/// Puts settings of another vm in force that a restored store does not have any more.
pub(crate) fn merge_newer_settings<A: Adapters>(context: &Context<A>, item: PackedItem) {
    let item = MirrorItem {
        key: item.key,
        revision: item.revision,
        value: item.value.and_then(|value| value.unpack()),
    };
    apply_settings_items(context, vec![item], Source::Vm);
}

fn apply_settings_items<A: Adapters>(context: &Context<A>, items: Vec<MirrorItem>, source: Source) {
    let shared = &context.shared;
    for item in items {
        let (revision, value) = (item.revision, item.value.as_deref().unwrap_or_default());
        match A::Wire::settings(&item.key, value) {
            StoredSettings::Settings(settings) => {
                let (version, routes) = (settings.version, settings.routes.len());
                if shared.set_settings(*settings) {
                    *shared.stored_settings() = Some(Arc::new(item));
                    decision!(
                        shared,
                        DecisionKind::Settings,
                        version,
                        era = revision.era(),
                        revision = revision.number(),
                        routes,
                        source:% = source,
                        outcome = "in_force"
                    );
                }
            }
            StoredSettings::Invalid(fault) => {
                decision!(
                    shared,
                    DecisionKind::Settings,
                    era = revision.era(),
                    revision = revision.number(),
                    fault:% = fault,
                    outcome = "kept_old"
                );
            }
            StoredSettings::Other => {}
        }
    }
}

fn apply_targets<A: Adapters>(context: &Context<A>, source: Source) {
    let shared = &context.shared;
    let mut invalid_keys = BTreeSet::new();
    let (complete, mut entries, restored): (_, Vec<_>, _) = {
        let mut replicas = shared.replicas();
        let restored = replicas.targets.restored;
        if let Some(restored) = &mut replicas.targets.restored {
            restored.is_applied = true;
        }
        let items = replicas.targets.mirror.items();
        let entries = items.filter_map(|(key, at, value)| {
            let target = A::Wire::target(key, value, at);
            // A request to one of its own addresses would come back to this vm.
            let target = target.filter(|target| !shared.config.listen.contains(&target.address));
            if target.is_none() {
                invalid_keys.insert(key.to_owned());
            }
            Some((target?, at))
        });
        let entries = entries.collect();
        (replicas.targets.mirror.complete(), entries, restored)
    };
    let Some(complete) = complete else {
        return;
    };
    log_invalid_entries(shared, invalid_keys);
    let count = entries.len();
    let now = shared.now();
    let hold = shared.hold_time(now);
    let changes = {
        let mut fleet = shared.fleet();
        if let Some(Restored { at, is_applied }) = restored {
            if !is_applied {
                let copied: Vec<_> = entries.iter().map(|(entry, _)| entry.clone()).collect();
                fleet.catalog.keep_departures(&copied);
            }
            entries.retain(|(entry, written_at)| {
                *written_at > at || !fleet.catalog.has_departed(entry)
            });
        }
        let entries = entries.into_iter().map(|(entry, _)| entry).collect();
        let changes = fleet.catalog.update(entries, hold, now);
        shared.observe_versions(&fleet.catalog, now);
        changes
    };
    record_changes(shared, changes, source);
    shared.set_has_targets();
    shared.metrics.targets.set(count as i64);
    decision!(
        shared,
        DecisionKind::Targets,
        targets = count,
        era = complete.era(),
        revision = complete.number(),
        hold_ms = millis(hold),
        source:% = source,
        age_ms = millis(shared.targets_age())
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

/// Logs the targets that stop accepting work.
pub(crate) fn record_changes(
    shared: &Shared,
    changes: Vec<(String, TargetChange)>,
    source: Source,
) {
    for (target, change) in changes {
        decision!(
            shared,
            DecisionKind::TargetChange,
            target,
            change:% = change,
            source:% = source,
            age_ms = millis(shared.targets_age())
        );
    }
}

/// Queries random vms for updates, one per interval.
pub(crate) async fn poll_peers<A: Adapters>(context: &Context<A>) {
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
        if let Some(to) = selector.next(&reachable_peers, &own_zone, &watchers(context)) {
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
    let shared = &context.shared;
    let (crash_digest, crash_reports) = {
        let (mut quarantine, now) = (shared.quarantine(), shared.now());
        (quarantine.digest(now), quarantine.recent_reports(now))
    };
    let (part_crash_digest, part_crash_reports) = {
        let (mut part_crashes, now) = (shared.part_crashes(), shared.now());
        (part_crashes.digest(now), part_crashes.recent_reports(now))
    };
    let replicas = shared.replicas();
    Message::Ask {
        settings: replicas.settings.mirror.complete(),
        targets: replicas.targets.mirror.complete(),
        settings_version: Some(shared.settings().map_or(0, |settings| settings.version)),
        crash_digest,
        crash_reports,
        part_crash_digest,
        part_crash_reports,
    }
}
