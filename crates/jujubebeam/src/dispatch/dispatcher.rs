//! Schedulers of all routes, the requests that wait for them, and the limits of workspaces.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_core::limits::{LimitCommand, LimitConfig, LimitDigest, LimitEvent, Limiter};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::request::{RetryBudget, RetryBudgetConfig};
use jujubebeam_core::scheduler::{
    Digest, Explanation, RefusalKind, Scheduler, SchedulerCommand, SchedulerConfig, SchedulerEvent,
};
use jujubebeam_core::settings::{RouteSpec, Snapshot};
use jujubebeam_core::targets::{TargetInfo, TargetUpdate};
use jujubebeam_core::{Clock, Machine, RequestId, RouteId, TargetId, VmId, ZoneId};
use tokio::sync::oneshot;

use crate::shared::Shared;

/// Answer of the scheduler to one request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verdict {
    /// Run the request.
    Run {
        /// Target that takes the request.
        target: TargetId,
    },
    /// Refuse the request.
    Refuse {
        /// Why.
        kind: RefusalKind,
        /// Time after which the request can succeed.
        retry_after: Duration,
    },
}

type Waiters = HashMap<RequestId, oneshot::Sender<Verdict>>;
/// Targets to which streams move, for each attempt that has or awaits a target.
type Moves = HashMap<RequestId, Option<TargetId>>;

/// Scheduler of one route. Permits keep it while their requests run, even if settings replace it.
#[derive(Debug)]
pub(crate) struct RouteScheduler {
    group: usize,
    config: SchedulerConfig,
    scheduler: Mutex<Scheduler>,
    /// `None` once the scheduler is replaced.
    waiters: Mutex<Option<Waiters>>,
    moves: Mutex<Moves>,
}

/// Requests whose attempts are remembered for `explain`.
const REMEMBERED_REQUESTS: usize = 4096;
const SECONDS_PER_DAY: u64 = 86_400;

/// Schedulers of all routes and the limits of workspaces.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    routes: RwLock<HashMap<RouteId, Arc<RouteScheduler>>>,
    /// Budgets for further attempts, apart from the schedulers, which settings replace.
    retries: Mutex<HashMap<RouteId, RetryBudget>>,
    limiter: Mutex<Limiter>,
    day: Mutex<u64>,
    attempts: Mutex<VecDeque<(RequestId, RequestId, RouteId)>>,
    /// News of targets that the next tick sends. Sent alone, each would cost an exchange with every
    /// vm.
    news: Mutex<Vec<TargetUpdate>>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            routes: RwLock::default(),
            retries: Mutex::default(),
            limiter: Mutex::new(Limiter::new(LimitConfig::default())),
            day: Mutex::new(today()),
            attempts: Mutex::default(),
            news: Mutex::default(),
        }
    }
}

impl RouteScheduler {
    fn new(shared: &Shared, group: usize, config: SchedulerConfig) -> Self {
        let seed = shared.incarnation.0 ^ u64::from(shared.config.vm.0) << 48;
        let seeded = SchedulerConfig {
            seed,
            ..config.clone()
        };
        Self {
            group,
            config,
            scheduler: Mutex::new(Scheduler::new(seeded)),
            waiters: Mutex::new(Some(Waiters::default())),
            moves: Mutex::default(),
        }
    }

    /// Lets all waiters go, so that they ask the scheduler that replaces this one.
    fn close(&self) {
        *lock(&self.waiters) = None;
    }

    /// Adds a request that waits for a verdict. The channel is closed if the scheduler was
    /// replaced.
    pub(crate) fn wait(&self, attempt: RequestId) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.moves).insert(attempt, None);
        if let Some(waiters) = lock(&self.waiters).as_mut() {
            waiters.insert(attempt, sender);
        }
        receiver
    }

    /// Forgets a request whose caller left before the verdict.
    pub(crate) fn give_up(&self, attempt: RequestId) {
        if let Some(waiters) = lock(&self.waiters).as_mut() {
            waiters.remove(&attempt);
        }
    }

    /// Target to which the scheduler moves an attempt's stream, if it does.
    pub(crate) fn move_of(&self, attempt: RequestId) -> Option<TargetId> {
        lock(&self.moves).get(&attempt).copied().flatten()
    }

    /// Sets or clears the target of a move. An attempt that ended is not taken up again.
    pub(crate) fn set_move(&self, attempt: RequestId, to: Option<TargetId>) {
        if let Some(target) = lock(&self.moves).get_mut(&attempt) {
            *target = to;
        }
    }

    /// Forgets an attempt that ended.
    pub(crate) fn forget(&self, attempt: RequestId) {
        lock(&self.moves).remove(&attempt);
    }

    /// Hands one event to the scheduler and tells the waiters what results. Returns digests for
    /// the peers.
    pub(crate) fn feed(&self, shared: &Shared, event: SchedulerEvent) -> Vec<Digest> {
        let mut commands = Vec::new();
        lock(&self.scheduler).step(event, shared.clock.now(), &mut commands);
        commands
            .into_iter()
            .filter_map(|command| self.perform(command))
            .collect()
    }

    fn perform(&self, command: SchedulerCommand) -> Option<Digest> {
        match command {
            SchedulerCommand::Dispatch {
                request,
                target,
                decode,
            } => {
                self.set_move(request, decode);
                self.answer(request, Verdict::Run { target });
            }
            SchedulerCommand::Refuse {
                request,
                kind,
                retry_after,
            } => self.answer(request, Verdict::Refuse { kind, retry_after }),
            SchedulerCommand::Digest(digest) => return Some(digest),
            SchedulerCommand::Move { request, to, .. } => self.set_move(request, Some(to)),
        }
        None
    }

    /// A waiter that is gone has sent or will send its cancellation itself.
    fn answer(&self, attempt: RequestId, verdict: Verdict) {
        let waiter = lock(&self.waiters)
            .as_mut()
            .and_then(|w| w.remove(&attempt));
        if let Some(waiter) = waiter {
            let _ = waiter.send(verdict);
        }
    }
}

impl Dispatcher {
    /// Scheduler of a route, if the route's targets are known.
    pub(crate) fn route(&self, route: RouteId) -> Option<Arc<RouteScheduler>> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.get(&route).cloned()
    }

    /// Takes one further attempt from the budget of a route. Without it, the request is given up.
    pub(crate) fn take_retry(&self, route: RouteId, now: Duration) -> bool {
        let mut retries = lock(&self.retries);
        retries.get_mut(&route).is_some_and(|r| r.take(now))
    }

    /// Counts a whole answer, which earns a part of a retry.
    pub(crate) fn succeeded(&self, route: RouteId) {
        if let Some(budget) = lock(&self.retries).get_mut(&route) {
            budget.succeeded();
        }
    }

    fn set_retry_budgets(&self, snapshot: &Snapshot, now: Duration) {
        let config = RetryBudgetConfig::from_policy(&snapshot.fleet.policy);
        let mut retries = lock(&self.retries);
        retries.retain(|id, _| snapshot.routes.iter().any(|r| r.id == *id));
        for route in &snapshot.routes {
            let new = || RetryBudget::new(config, now);
            let budget = retries.entry(route.id).or_insert_with(new);
            budget.configure(config);
        }
    }

    /// The limits of workspaces.
    pub(crate) fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
    }

    /// Passes on what was read from a target with the next tick.
    pub(crate) fn tell(&self, news: TargetUpdate) {
        lock(&self.news).push(news);
    }

    /// Remembers which attempt stands for a request.
    pub(crate) fn remember(&self, request: RequestId, attempt: RequestId, route: RouteId) {
        let mut attempts = lock(&self.attempts);
        if attempts.len() >= REMEMBERED_REQUESTS {
            attempts.pop_front();
        }
        attempts.push_back((request, attempt, route));
    }

    /// Decisions on the attempts of a request, oldest first.
    pub(crate) fn explain(&self, request: RequestId) -> Vec<Explanation> {
        let attempts = lock(&self.attempts);
        let own = attempts.iter().filter(|(of, _, _)| *of == request);
        own.filter_map(|(_, attempt, route)| {
            let route = self.route(*route)?;
            let scheduler = lock(&route.scheduler);
            scheduler.explain(*attempt).cloned()
        })
        .collect()
    }

    fn all(&self) -> Vec<Arc<RouteScheduler>> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.values().cloned().collect()
    }

    /// Brings the schedulers in line with the settings and the vm list.
    pub(crate) fn apply(&self, shared: &Shared, snapshot: &Snapshot, vms: u32) {
        {
            let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
            let wanted = |id: &RouteId, have: &RouteScheduler| {
                let route = snapshot.routes.iter().find(|r| r.id == *id);
                route.is_some_and(|r| {
                    r.group == have.group && scheduler_config(shared, snapshot, r) == have.config
                })
            };
            routes.retain(|id, have| {
                let keep = wanted(id, have);
                if !keep {
                    have.close();
                }
                keep
            });
            for route in &snapshot.routes {
                routes.entry(route.id).or_insert_with(|| {
                    let config = scheduler_config(shared, snapshot, route);
                    Arc::new(RouteScheduler::new(shared, route.group, config))
                });
            }
        }
        for route in self.all() {
            let group = &snapshot.groups[route.group];
            let specs = group
                .targets
                .iter()
                .filter_map(|id| snapshot.targets.get(id));
            let targets = specs.map(|t| TargetInfo {
                id: t.id,
                zone: t.zone,
                reclaimable: t.reclaimable,
                leaving: t.leaving,
            });
            let event = SchedulerEvent::Targets {
                targets: targets.collect(),
                peers: vms.saturating_sub(1),
            };
            route.feed(shared, event);
        }
        let now = shared.clock.now();
        self.set_retry_budgets(snapshot, now);
        self.limiter()
            .step(LimitEvent::Vms(vms), now, &mut Vec::new());
    }

    /// Position after which cache events of a target are wanted.
    pub(crate) fn last_cache_event(&self, target: TargetId) -> u64 {
        let positions = self.all();
        let positions = positions
            .iter()
            .map(|r| lock(&r.scheduler).last_cache_event(target));
        positions.max().unwrap_or_default()
    }

    /// Hands an event to the schedulers of all routes.
    pub(crate) fn feed_all(&self, shared: &Shared, event: &SchedulerEvent) {
        for route in self.all() {
            route.feed(shared, event.clone());
        }
    }

    /// Passes time on to all machines and returns the messages for the peers.
    pub(crate) fn tick(&self, shared: &Shared) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        for route in self.all() {
            let id = route.config.route;
            let digests = route.feed(shared, SchedulerEvent::Tick);
            messages.extend(
                digests
                    .into_iter()
                    .map(|digest| PeerMessage::Scheduler { route: id, digest }),
            );
        }
        let mut out = Vec::new();
        let now = shared.clock.now();
        if self.is_new_day() {
            self.limiter().step(LimitEvent::NewDay, now, &mut out);
        }
        self.limiter().step(LimitEvent::Tick, now, &mut out);
        for LimitCommand::Gossip(digest) in out {
            messages.push(PeerMessage::Limits(digest));
        }
        let news = std::mem::take(&mut *lock(&self.news));
        if !news.is_empty() {
            messages.push(PeerMessage::Targets(news));
        }
        messages
    }

    fn is_new_day(&self) -> bool {
        let mut day = lock(&self.day);
        let new = *day != today();
        *day = today();
        new
    }
}

fn scheduler_config(shared: &Shared, snapshot: &Snapshot, route: &RouteSpec) -> SchedulerConfig {
    let settings = &route.settings;
    let shares_group = |other: &RouteSpec| other.id != route.id && other.group == route.group;
    SchedulerConfig {
        route: route.id,
        vm: shared.config.vm,
        zone: snapshot
            .zone(&shared.config.zone)
            .unwrap_or(ZoneId(u16::MAX)),
        kind: settings.kind,
        token_interval: Duration::from_millis(settings.token_interval_target_ms),
        shared_targets: snapshot.routes.iter().any(shares_group),
        ..SchedulerConfig::from_policy(&snapshot.fleet.policy)
    }
}

/// Budgets are per UTC day.
fn today() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs() / SECONDS_PER_DAY
}

/// Hands a digest of a peer to the scheduler of its route.
pub(crate) fn hear_digest(shared: &Shared, from: VmId, route: RouteId, digest: Digest) {
    shared
        .fleet
        .hear_demand(from, route, digest.demand, shared.clock.now());
    if let Some(route) = shared.dispatcher.route(route) {
        route.feed(shared, SchedulerEvent::Peer { from, digest });
    }
}

/// Hands limits of a peer to the limiter.
pub(crate) fn hear_limits(shared: &Shared, from: VmId, digest: LimitDigest) {
    let event = LimitEvent::Peer { from, digest };
    let now = shared.clock.now();
    shared
        .dispatcher
        .limiter()
        .step(event, now, &mut Vec::new());
}

/// Hands a load report and cache events of a target to the schedulers.
pub(crate) fn hear_news(shared: &Shared, news: TargetUpdate) {
    let target = news.target;
    shared.set_load(target, Some(news.report.clone()));
    let report = SchedulerEvent::Report {
        target,
        report: news.report,
        age: Duration::ZERO,
    };
    shared.dispatcher.feed_all(shared, &report);
    if !news.events.is_empty() {
        let events = news.events;
        shared
            .dispatcher
            .feed_all(shared, &SchedulerEvent::Cache { target, events });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
