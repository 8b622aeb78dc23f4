//! State shared by the listeners and the control tasks.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_core::authority::{Authority, AuthorityConfig, Holder};
use jujubebeam_core::gateway::{
    Admission, ArrivalBudget, ArrivalBudgetConfig, Catalog, CrashEvidence, Freshness,
    GatewaySettings, Helpers, MIN_STREAM_LIFETIME, Mirror, MirrorItem, PartCrashes, PermitConfig,
    Permits, PlacementConfig, Placer, PromptOwner, PromptRequestId, QuotaConfig, Quotas,
    RateLimits, Reachability, SoftwareVersions, Stage, StartGate, StreamOrigins, TrueTime,
    UnresponsiveOwners, UsageWindows, stream_lifetime,
};
use jujubebeam_core::membership::{Membership, MembershipConfig, Record};
use jujubebeam_core::quarantine::{Quarantine, QuarantineConfig};
use jujubebeam_core::{Clock, Incarnation, Revision, SystemClock, VmId};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::caller_memory::CallerBudget;
use crate::collected::AnswerBudget;
use crate::config::GatewayConfig;
use crate::decision_log::DecisionLog;
use crate::duties::Order;
use crate::invalid_entries::InvalidEntries;
use crate::metrics::Metrics;
use crate::owner::PromptEnds;
use crate::quota::QuotaReturns;
use crate::replication::ReplicaKind;
use crate::server::CLOSING_RESERVE;
use crate::taken_up::StreamLookups;

/// Time after a shutdown signal during which requests are still accepted. Later ones come from
/// callers that kept the address beyond its lifetime. They are refused so that they retry at
/// another vm, while the accepted requests are finished.
const ACCEPT_WHILE_LEAVING: Duration = Duration::from_millis(2500);

/// Largest share of the grace period that this may take. The rest is for finishing the requests.
const ACCEPT_SHARE: f64 = 1.0 / 3.0;

/// Known targets and the estimates of their load.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) catalog: Catalog,
    pub(crate) placer: Placer,
    /// Prompts of all vms for the services that this vm owns.
    pub(crate) owner: PromptOwner,
    /// Rate limits that targets have stated.
    pub(crate) rate_limits: RateLimits,
    pub(crate) permits: Permits,
}

impl Fleet {
    /// Tells the placers which targets limit their requests per second. An entry that reappeared has
    /// lost this state.
    pub(crate) fn apply_limits(&mut self) {
        for key in self.rate_limits.known() {
            let Some(stage) = self.catalog.get(key).map(|target| target.stage) else {
                continue;
            };
            let is_limited = self.rate_limits.limit_per_s(key).is_some();
            self.placer.set_limited(key, stage, is_limited);
            self.owner.set_limited(key, stage, is_limited);
        }
    }

    /// Omits a target until a permit for it is expected to be available.
    pub(crate) fn hold(&mut self, target: &str, time: Duration, now: Duration) {
        let found = self.catalog.key_of(target);
        if let Some((key, target)) = found.and_then(|key| Some((key, self.catalog.get(key)?))) {
            self.placer.hold(key, target.stage, time, now);
        }
    }

    /// Records that an engine was ordered to change its stage.
    pub(crate) fn changes_stage(&mut self, target: &str, stage: Stage, now: Duration) {
        if let Some(key) = self.catalog.key_of(target) {
            self.placer.record_stage_change(key, stage, now);
            self.owner.record_stage_change(key, stage, now);
        }
    }
}

/// Replica of a part of the store.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) mirror: Mirror,
    pub(crate) freshness: Freshness,
    /// Set once the store was restored from an older copy.
    pub(crate) restored: Option<Restored>,
}

/// A replica whose store was restored from an older copy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restored {
    /// Revision of the first update after that. Later entries were written anew.
    pub(crate) at: Revision,
    /// Whether that update has been applied.
    pub(crate) is_applied: bool,
}

impl Replica {
    fn new(max_gap: Duration) -> Self {
        Self {
            mirror: Mirror::default(),
            freshness: Freshness::new(max_gap),
            restored: None,
        }
    }
}

/// Replicas of the store.
#[derive(Debug)]
pub(crate) struct Replicas {
    pub(crate) settings: Replica,
    pub(crate) targets: Replica,
}

impl Replicas {
    pub(crate) fn get(&self, kind: ReplicaKind) -> &Replica {
        match kind {
            ReplicaKind::Settings => &self.settings,
            ReplicaKind::Targets => &self.targets,
        }
    }

    pub(crate) fn get_mut(&mut self, kind: ReplicaKind) -> &mut Replica {
        match kind {
            ReplicaKind::Settings => &mut self.settings,
            ReplicaKind::Targets => &mut self.targets,
        }
    }
}

/// Usage counts by window, and the estimate of true time.
#[derive(Debug)]
pub(crate) struct UsageState {
    pub(crate) windows: UsageWindows,
    pub(crate) true_time: TrueTime,
}

/// Software versions of the services, and where the streams began that callers may take up.
#[derive(Debug)]
pub(crate) struct Streams {
    pub(crate) versions: SoftwareVersions,
    pub(crate) origins: StreamOrigins,
}

impl Streams {
    fn set_lifetime(&mut self, lifetime: Duration) {
        self.versions.set_stream_lifetime(lifetime);
        self.origins.set_stream_lifetime(lifetime);
    }
}

/// State of the process. Each part has a lock of its own, and no lock is held across an await.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: GatewayConfig,
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: SystemClock,
    pub(crate) decision_log: DecisionLog,
    pub(crate) metrics: Metrics,
    settings: RwLock<Option<Arc<GatewaySettings>>>,
    /// The settings in force as stored. A store that was restored may have older ones.
    stored_settings: Mutex<Option<Arc<MirrorItem>>>,
    /// Monotonic time in milliseconds at which the store was last seen to be restored, or 0.
    restored_ms: AtomicU64,
    fleet: Mutex<Fleet>,
    replicas: Mutex<Replicas>,
    budget: Mutex<ArrivalBudget>,
    admission: Mutex<Admission>,
    usage: Mutex<UsageState>,
    membership: Mutex<Membership>,
    authority: Mutex<Authority<Order>>,
    quarantine: Mutex<Quarantine>,
    part_crashes: Mutex<PartCrashes>,
    crash_evidence: Mutex<CrashEvidence>,
    /// Signalled when crash counts that are stored have changed.
    pub(crate) crash_counts_changed: Notify,
    streams: Mutex<Streams>,
    /// Signalled when the versions that this vm sees have changed.
    pub(crate) versions_changed: Notify,
    /// Signalled when the versions that this vm has to record have changed.
    pub(crate) versions_named: Notify,
    pub(crate) stream_lookups: StreamLookups,
    reachability: Mutex<Reachability>,
    helpers: Mutex<Helpers>,
    /// Number of requests that other vms have passed on to this one.
    pub(crate) taken: AtomicUsize,
    start_gate: Mutex<StartGate>,
    unresponsive_owners: Mutex<UnresponsiveOwners>,
    /// Entries that describe no usable target.
    pub(crate) invalid_entries: InvalidEntries,
    /// Memory for answers that are collected.
    pub(crate) answer_budget: Arc<AnswerBudget>,
    /// Ended prompts that are to be reported to their owners.
    pub(crate) prompt_ends: PromptEnds,
    /// Monotonic time in milliseconds at which this vm started to leave, or 0.
    leaving_since_ms: AtomicU64,
    /// Monotonic time in milliseconds at which the targets were last known to match the store.
    targets_confirmed_ms: AtomicU64,
    /// Whether the replica of the targets has ever been complete.
    has_targets: AtomicBool,
    /// Whether this vm has ever been able to serve.
    has_started: AtomicBool,
    /// Number of the next query to an owner of prompts.
    next_query_number: AtomicU64,
    /// Number of running requests.
    pub(crate) running: AtomicUsize,
    /// Signalled when the process may end.
    pub(crate) drained: Notify,
    quotas: Mutex<Quotas>,
    /// Tokens that are to be given back to the homes of their workspaces.
    pub(crate) quota_returns: QuotaReturns,
    /// Memory and descriptors for the connections of callers and other vms.
    pub(crate) caller_budget: Arc<CallerBudget>,
}

impl Shared {
    pub(crate) fn new(config: GatewayConfig) -> Self {
        let incarnation = Incarnation(wall_clock().as_micros() as u64);
        let vm = vm_id(&config);
        let record = Record {
            vm,
            zone: config.zone.clone(),
            caller_address: config.listen.callers.to_string(),
            peer_address: config.listen.peers.to_string(),
            incarnation,
            capacity_millicores: config.capacity_millicores(),
            ..Record::default()
        };
        let lifetime = config.address_lifetime();
        let grace = Duration::from_millis(config.shutdown_grace_ms);
        let membership = MembershipConfig {
            seed: incarnation.0,
            address_lifetime: lifetime,
            // Some callers keep an address for three times its lifetime. The remainder of the grace
            // period is left for requests that are still running.
            linger: (lifetime * 2).min(grace.mul_f64(0.75).saturating_sub(lifetime)),
            // Callers must not be sent to a vm that has been down for more than about 4 s, even in
            // fleets of dozens of vms. The messages stay below 4 KB/s.
            heartbeat_per_vm: Duration::from_millis(20),
            missed_heartbeats: 2,
            gossip_allowance: Duration::from_millis(1500),
            slow_above: 128,
            max_records: 64,
            ..MembershipConfig::new(record)
        };
        let placement = PlacementConfig {
            seed: incarnation.0 ^ u64::from(vm.0),
            ..PlacementConfig::default()
        };
        let permits = PermitConfig {
            seed: placement.seed,
            ..PermitConfig::default()
        };
        let quotas = QuotaConfig {
            seed: placement.seed,
            ..QuotaConfig::default()
        };
        let budget = ArrivalBudgetConfig {
            window: Duration::from_millis(config.repeat_window_ms),
            ratio: config.repeat_ratio,
            allowance: config.repeat_allowance,
            ..ArrivalBudgetConfig::default()
        };
        let authority = AuthorityConfig {
            seed: incarnation.0 ^ u64::from(vm.0),
            ..AuthorityConfig::default()
        };
        let metrics = Metrics::new();
        let caller_budget = CallerBudget::new(
            config.memory_bytes(),
            config.max_descriptors,
            metrics.caller_memory.clone(),
        );
        let usage_window = Duration::from_millis(config.usage_window_ms);
        let replica = |kind| Replica::new(config.replication.max_gap(kind));
        let replicas = Replicas {
            settings: replica(ReplicaKind::Settings),
            targets: replica(ReplicaKind::Targets),
        };
        let clock = SystemClock::new();
        Self {
            vm,
            incarnation,
            quotas: Mutex::new(Quotas::new(quotas, vm, clock.now())),
            quota_returns: QuotaReturns::default(),
            clock,
            decision_log: DecisionLog::default(),
            metrics,
            settings: RwLock::new(None),
            stored_settings: Mutex::default(),
            restored_ms: AtomicU64::new(0),
            fleet: Mutex::new(Fleet {
                catalog: Catalog::default(),
                owner: PromptOwner::new(placement.clone()),
                placer: Placer::new(placement),
                rate_limits: RateLimits::default(),
                permits: Permits::new(permits),
            }),
            unresponsive_owners: Mutex::default(),
            invalid_entries: InvalidEntries::default(),
            answer_budget: Arc::default(),
            prompt_ends: PromptEnds::default(),
            replicas: Mutex::new(replicas),
            targets_confirmed_ms: AtomicU64::new(0),
            budget: Mutex::new(ArrivalBudget::new(budget)),
            admission: Mutex::default(),
            usage: Mutex::new(UsageState {
                windows: UsageWindows::new(usage_window, Holder { vm, incarnation }),
                true_time: TrueTime::default(),
            }),
            membership: Mutex::new(Membership::new(membership)),
            authority: Mutex::new(Authority::new(Holder { vm, incarnation }, authority)),
            quarantine: Mutex::new(Quarantine::new(QuarantineConfig {
                // A request is refused after it has caused three crashes.
                refusal_threshold: 3,
                ..QuarantineConfig::default()
            })),
            part_crashes: Mutex::default(),
            crash_evidence: Mutex::default(),
            crash_counts_changed: Notify::new(),
            streams: Mutex::new(Streams {
                versions: SoftwareVersions::new(MIN_STREAM_LIFETIME),
                origins: StreamOrigins::new(MIN_STREAM_LIFETIME),
            }),
            versions_changed: Notify::new(),
            versions_named: Notify::new(),
            stream_lookups: StreamLookups::default(),
            reachability: Mutex::default(),
            helpers: Mutex::default(),
            taken: AtomicUsize::new(0),
            start_gate: Mutex::default(),
            leaving_since_ms: AtomicU64::new(0),
            has_targets: AtomicBool::new(false),
            has_started: AtomicBool::new(false),
            // A restarted vm must not reuse the numbers of its previous run.
            next_query_number: AtomicU64::new(incarnation.0),
            running: AtomicUsize::new(0),
            drained: Notify::new(),
            caller_budget,
            config,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Settings in force, or `None` if there have been none yet.
    pub(crate) fn settings(&self) -> Option<Arc<GatewaySettings>> {
        self.settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts settings in force unless their version is not newer than the current one. Returns
    /// whether it did.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) -> bool {
        let mut current = self
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_some_and(|p| p.version >= settings.version)
        {
            return false;
        }
        self.metrics.settings_version.set(settings.version as i64);
        self.observe_routes(&settings);
        *current = Some(Arc::new(settings));
        true
    }

    pub(crate) fn stored_settings(&self) -> MutexGuard<'_, Option<Arc<MirrorItem>>> {
        lock(&self.stored_settings)
    }

    /// Records that the store was restored from an older copy.
    pub(crate) fn set_restored(&self, now: Duration) {
        self.restored_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(crate) fn replicas(&self) -> MutexGuard<'_, Replicas> {
        lock(&self.replicas)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, ArrivalBudget> {
        lock(&self.budget)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(crate) fn usage(&self) -> MutexGuard<'_, UsageState> {
        lock(&self.usage)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    pub(crate) fn unresponsive_owners(&self) -> MutexGuard<'_, UnresponsiveOwners> {
        lock(&self.unresponsive_owners)
    }

    pub(crate) fn quotas(&self) -> MutexGuard<'_, Quotas> {
        lock(&self.quotas)
    }

    pub(crate) fn authority(&self) -> MutexGuard<'_, Authority<Order>> {
        lock(&self.authority)
    }

    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    pub(crate) fn streams(&self) -> MutexGuard<'_, Streams> {
        lock(&self.streams)
    }

    pub(crate) fn reachability(&self) -> MutexGuard<'_, Reachability> {
        lock(&self.reachability)
    }

    pub(crate) fn helpers(&self) -> MutexGuard<'_, Helpers> {
        lock(&self.helpers)
    }

    /// Records the services of the routes, and for how long their streams go on.
    fn observe_routes(&self, settings: &GatewaySettings) {
        let is_changed = {
            let mut streams = self.streams();
            streams.set_lifetime(stream_lifetime(settings));
            streams.versions.observe_routes(settings, self.now())
        };
        if is_changed {
            self.versions_changed.notify_one();
        }
    }

    /// Records the versions of the targets that exist now.
    pub(crate) fn observe_versions(&self, catalog: &Catalog, now: Duration) {
        let targets = catalog.iter().map(|(_, target)| target);
        if self.streams().versions.observe(targets, now) {
            self.versions_changed.notify_one();
        }
    }

    pub(crate) fn part_crashes(&self) -> MutexGuard<'_, PartCrashes> {
        lock(&self.part_crashes)
    }

    pub(crate) fn crash_evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        lock(&self.crash_evidence)
    }

    /// Number of reachable vms, including this one.
    pub(crate) fn vms(&self) -> usize {
        let now = self.now();
        self.membership().live(now).len()
    }

    /// Number of reachable vms and number of all vms, each including this one.
    pub(crate) fn count_vms(&self) -> (usize, usize) {
        let now = self.now();
        let membership = self.membership();
        let reachable = membership.live(now);
        let listed = membership.listed();
        let unreachable = listed.iter().filter(|vm| !reachable.contains(vm)).count();
        (reachable.len(), reachable.len() + unreachable)
    }

    /// Id for a query to the owner of a service.
    pub(crate) fn next_query_id(&self) -> PromptRequestId {
        PromptRequestId {
            vm: self.vm,
            number: self.next_query_number.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Time since this vm started to leave, or `None` if it is not leaving.
    pub(crate) fn time_since_leaving(&self) -> Option<Duration> {
        let since = self.leaving_since_ms.load(Ordering::Relaxed);
        let since = (since > 0).then(|| Duration::from_millis(since))?;
        Some(self.now().saturating_sub(since))
    }

    /// Whether this vm is leaving and accepts no more requests.
    pub(crate) fn has_stopped_accepting(&self) -> bool {
        let grace = Duration::from_millis(self.config.shutdown_grace_ms);
        let limit = ACCEPT_WHILE_LEAVING.min(grace.mul_f64(ACCEPT_SHARE));
        self.time_since_leaving().is_some_and(|time| time > limit)
    }

    /// Whether this vm has stopped accepting requests and may end before `expires_at`.
    pub(crate) fn is_leaving_before(&self, expires_at: Instant) -> bool {
        let Some(leaving_for) = self.time_since_leaving() else {
            return false;
        };
        let grace = Duration::from_millis(self.config.shutdown_grace_ms);
        let left = grace.saturating_sub(CLOSING_RESERVE + leaving_for);
        self.has_stopped_accepting() && Instant::now() + left < expires_at
    }

    pub(crate) fn start_leaving(&self) {
        let now_ms = (self.now().as_millis() as u64).max(1);
        self.leaving_since_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether this vm can serve requests and is not leaving.
    pub(crate) fn is_ready(&self) -> bool {
        self.time_since_leaving().is_none() && self.has_started()
    }

    /// Whether settings and targets are available, and as recent as a starting vm can verify.
    pub(crate) fn has_started(&self) -> bool {
        if self.has_started.load(Ordering::Relaxed) {
            return true;
        }
        let has_replicas = self.settings().is_some() && self.has_targets.load(Ordering::Relaxed);
        let (other_vms, now) = (self.vms().saturating_sub(1), self.now());
        let is_open = lock(&self.start_gate).is_open(other_vms, has_replicas, now);
        self.has_started.store(is_open, Ordering::Relaxed);
        is_open
    }

    /// Whether this vm is still comparing its replicas with those of other vms.
    pub(crate) fn is_comparing(&self) -> bool {
        !self.has_started() && lock(&self.start_gate).is_waiting()
    }

    /// Records that the replicas have been compared with those of another vm.
    pub(crate) fn compared_with(&self, vm: VmId) {
        if !self.has_started.load(Ordering::Relaxed) {
            lock(&self.start_gate).compared_with(vm);
        }
    }

    /// Records that a replica was read from the store itself.
    pub(crate) fn read_from_store(&self, is_settings: bool) {
        let mut gate = lock(&self.start_gate);
        match is_settings {
            true => gate.mark_settings_read(),
            false => gate.mark_targets_read(),
        }
    }

    /// Records that the store has answered a query for crash counts, or failed to.
    pub(crate) fn crash_counts_queried(&self) {
        lock(&self.start_gate).mark_crashes_queried();
    }

    /// Records that the store has answered a query for software versions, or failed to.
    pub(crate) fn versions_queried(&self) {
        lock(&self.start_gate).mark_versions_queried();
    }

    pub(crate) fn set_has_targets(&self) {
        self.has_targets.store(true, Ordering::Relaxed);
    }

    /// Publishes the time at which the targets were last known to match the store.
    pub(crate) fn set_targets_confirmed(&self, at: Duration) {
        self.targets_confirmed_ms
            .store(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time since the targets were last known to match the store.
    pub(crate) fn targets_age(&self) -> Duration {
        let at = Duration::from_millis(self.targets_confirmed_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(at)
    }

    /// Time for which a missing target is kept, because its entry may have expired while no vm could
    /// read the store, and it may still write its entry again.
    pub(crate) fn hold_time(&self, now: Duration) -> Duration {
        let readable_for = self.replicas().targets.freshness.readable_for(now);
        let hold = Duration::from_millis(self.config.reappear_ms);
        let readable_for = readable_for.unwrap_or(hold);
        // A copy lacks the entries that were written after it, however short the outage was.
        let restored_ms = self.restored_ms.load(Ordering::Relaxed);
        let restored_for = match restored_ms {
            0 => readable_for,
            _ => now.saturating_sub(Duration::from_millis(restored_ms)),
        };
        hold.saturating_sub(readable_for.min(restored_for))
    }
}

/// Derives the id of this vm from its peer address, which no other live vm shares. Vms that share
/// an IP address (on one machine, in tests) differ by port.
fn vm_id(config: &GatewayConfig) -> VmId {
    vm_id_of(config.listen.peers)
}

/// Id of the vm at a peer address.
pub(crate) fn vm_id_of(address: std::net::SocketAddr) -> VmId {
    let std::net::IpAddr::V4(ip) = address.ip() else {
        return VmId(u32::from(address.port()));
    };
    if ip.is_loopback() {
        return VmId(u32::from(address.port()));
    }
    VmId(u32::from(ip))
}

/// Wall clock as time since 1970.
pub(crate) fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
