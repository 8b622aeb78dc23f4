//! State that the listeners and the control thread share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_core::authority::{Authority, Holder};
use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::targets::LoadReport;
use jujubebeam_core::usage::{UsageMeter, WindowCloser};
use jujubebeam_core::{Clock, Incarnation, RequestId, SystemClock, TargetId, VmId};
use jujubebeam_vmlist::VmList;
use tokio::sync::oneshot;

use crate::control::authority::{self, ControlOrder};
use crate::control::fleet::FleetState;
use crate::control::membership::MembershipState;
use crate::control::settings::SettingsState;
use crate::control::usage;
use crate::crashes::CrashShards;
use crate::dispatch::Dispatcher;
use crate::ledger::OnceShards;
use crate::metrics::Metrics;
use crate::process_config::ProcessConfig;
use crate::running::{RunningCounter, RunningGuard};

/// State of the process. Every part has its own lock, and no lock is held across an await.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Counters that are reported to statsd.
    pub(crate) metrics: Metrics,
    /// Settings of the process.
    pub(crate) config: ProcessConfig,
    /// Run of the process.
    pub(crate) incarnation: Incarnation,
    /// Monotonic clock.
    pub(crate) clock: SystemClock,
    /// Distribution of settings.
    pub(crate) settings: SettingsState,
    /// What is known of the other vms.
    pub(crate) membership: MembershipState,
    running: RunningCounter,
    snapshot: RwLock<Option<Arc<Snapshot>>>,
    vms: RwLock<Arc<VmList>>,
    loads: RwLock<HashMap<TargetId, (LoadReport, Duration)>>,
    next_serial: AtomicU64,
    /// Requests that may run at most once.
    pub(crate) once: OnceShards,
    /// Crash counts and retry budgets.
    pub(crate) crashes: CrashShards,
    /// Leases and order intents.
    pub(crate) authority: Mutex<Authority<ControlOrder>>,
    /// Usage counters.
    pub(crate) usage_meter: Mutex<UsageMeter>,
    /// Closing of usage windows.
    pub(crate) window_closer: Mutex<WindowCloser>,
    usage_waiters: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    /// Planned changes of targets, and demand.
    pub(crate) fleet: FleetState,
    /// Schedulers of all routes and the limits of workspaces.
    pub(crate) dispatcher: Dispatcher,
}

impl Shared {
    /// Creates the state of a fresh process.
    pub(crate) fn new(config: ProcessConfig) -> Self {
        let incarnation = new_incarnation();
        let me = Holder {
            vm: config.vm,
            incarnation,
        };
        let (usage_meter, window_closer) = usage::machines(me, &config);
        Self {
            metrics: Metrics::default(),
            settings: SettingsState::new(&config, incarnation),
            membership: MembershipState::new(&config, incarnation),
            running: RunningCounter::default(),
            once: OnceShards::new(config.vm, incarnation),
            crashes: CrashShards::new(),
            config,
            incarnation,
            authority: Mutex::new(authority::machine(me)),
            usage_meter: Mutex::new(usage_meter),
            window_closer: Mutex::new(window_closer),
            usage_waiters: Mutex::default(),
            clock: SystemClock::new(),
            snapshot: RwLock::new(None),
            vms: RwLock::new(Arc::new(VmList::default())),
            loads: RwLock::new(HashMap::new()),
            next_serial: AtomicU64::new(1),
            fleet: FleetState::new(me),
            dispatcher: Dispatcher::default(),
        }
    }

    /// Settings in force, or `None` before the first full set has arrived.
    pub(crate) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        read(&self.snapshot).clone()
    }

    /// Puts settings in force.
    pub(crate) fn set_snapshot(&self, snapshot: Snapshot) {
        *write(&self.snapshot) = Some(Arc::new(snapshot));
    }

    /// Last vm list that was read.
    pub(crate) fn vms(&self) -> Arc<VmList> {
        read(&self.vms).clone()
    }

    /// Replaces the vm list.
    pub(crate) fn set_vms(&self, vms: VmList) {
        *write(&self.vms) = Arc::new(vms);
    }

    /// Last load report of a target.
    pub(crate) fn load(&self, target: TargetId) -> Option<LoadReport> {
        read(&self.loads)
            .get(&target)
            .map(|(report, _)| report.clone())
    }

    /// Time since the last load report of a target arrived.
    pub(crate) fn load_age(&self, target: TargetId) -> Option<Duration> {
        let heard_at = read(&self.loads).get(&target)?.1;
        Some(self.clock.now().saturating_sub(heard_at))
    }

    /// Stores or removes the load report of a target.
    pub(crate) fn set_load(&self, target: TargetId, report: Option<LoadReport>) {
        let mut loads = write(&self.loads);
        match report {
            Some(report) => loads.insert(target, (report, self.clock.now())),
            None => loads.remove(&target),
        };
    }

    /// Counts a request as running until the guard is dropped. A shutdown waits for it.
    pub(crate) fn start_request(&self) -> RunningGuard {
        self.running.start()
    }

    /// Number of running requests.
    pub(crate) fn running_requests(&self) -> usize {
        self.running.count()
    }

    /// Next number for ids that are unique within this run.
    pub(crate) fn next_serial(&self) -> u64 {
        self.next_serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Id of a new request, unique across vms and restarts.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let vm = u128::from(self.config.vm.0) << 96;
        let incarnation = u128::from(self.incarnation.0) << 32;
        RequestId(vm | incarnation | u128::from(self.next_serial() as u32))
    }

    /// Waits for a copy of a usage record.
    pub(crate) fn wait_for_usage_copy(&self, ticket: u64) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.usage_waiters).insert(ticket, sender);
        receiver
    }

    /// Ends the wait for a copy, because it exists or took too long.
    pub(crate) fn usage_copied(&self, ticket: u64) {
        if let Some(waiter) = lock(&self.usage_waiters).remove(&ticket) {
            let _ = waiter.send(());
        }
    }

    /// Address of another vm for messages.
    pub(crate) fn peer_address(&self, vm: VmId) -> Option<String> {
        self.membership.peer_address(vm)
    }
}

/// The wall clock orders the runs of one vm; nothing else depends on it.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn read<T>(lock: &RwLock<T>) -> std::sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(|e| e.into_inner())
}

fn write<T>(lock: &RwLock<T>) -> std::sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(|e| e.into_inner())
}
