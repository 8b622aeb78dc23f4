//! Schedulers of all routes, the requests that wait for them, and the limits of workspaces.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubebeam_core::limits::{LimitCommand, LimitConfig, LimitDigest, LimitEvent, Limiter};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::{
    Digest, Explanation, RefusalKind, Scheduler, SchedulerCommand, SchedulerConfig, SchedulerEvent,
};
use jujubebeam_core::settings::{RouteSpec, Snapshot};
use jujubebeam_core::targets::{TargetInfo, TargetNews};
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

/// The request path does not move KV caches, so prompt and answer share an engine.
pub(crate) const SPLIT_PREFILL: bool = false;

/// Scheduler of one route. Permits keep it while their requests run, even if settings replace it.
#[derive(Debug)]
pub(crate) struct RouteScheduler {
    route: RouteSpec,
    scheduler: Mutex<Scheduler>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<Verdict>>>,
}

/// Requests whose attempts are remembered for `explain`.
const REMEMBERED_REQUESTS: usize = 4096;
const SECONDS_PER_DAY: u64 = 86_400;

/// Schedulers of all routes and the limits of workspaces.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    routes: RwLock<HashMap<RouteId, Arc<RouteScheduler>>>,
    limiter: Mutex<Limiter>,
    day: Mutex<u64>,
    attempts: Mutex<VecDeque<(RequestId, RequestId, RouteId)>>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            routes: RwLock::default(),
            limiter: Mutex::new(Limiter::new(LimitConfig::default())),
            day: Mutex::new(today()),
            attempts: Mutex::default(),
        }
    }
}

impl RouteScheduler {
    fn new(shared: &Shared, snapshot: &Snapshot, route: &RouteSpec) -> Self {
        let settings = &route.settings;
        let config = SchedulerConfig {
            route: route.id,
            vm: shared.config.vm,
            zone: snapshot
                .zone(&shared.config.zone)
                .unwrap_or(ZoneId(u16::MAX)),
            kind: settings.kind,
            seed: shared.incarnation.0 ^ u64::from(shared.config.vm.0) << 48,
            token_interval: Duration::from_millis(settings.token_interval_target_ms),
            low_priority_share: f64::from(snapshot.fleet.policy.low_priority_share_percent) / 100.0,
            shared_targets: snapshot
                .routes
                .iter()
                .any(|r| r.id != route.id && r.group == route.group),
            split_prefill: SPLIT_PREFILL,
            ..SchedulerConfig::default()
        };
        Self {
            route: route.clone(),
            scheduler: Mutex::new(Scheduler::new(config)),
            waiters: Mutex::default(),
        }
    }

    /// Adds a request that waits for a verdict.
    pub(crate) fn wait(&self, attempt: RequestId) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(attempt, sender);
        receiver
    }

    /// Forgets a request whose caller left before the verdict.
    pub(crate) fn give_up(&self, attempt: RequestId) {
        lock(&self.waiters).remove(&attempt);
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
                request, target, ..
            } => self.answer(request, Verdict::Run { target }),
            SchedulerCommand::Refuse {
                request,
                kind,
                retry_after,
            } => self.answer(request, Verdict::Refuse { kind, retry_after }),
            SchedulerCommand::Digest(digest) => return Some(digest),
            SchedulerCommand::Move { request, .. } => {
                log::debug!("route: request {request} stays where it runs");
            }
        }
        None
    }

    /// A waiter that is gone has sent or will send its cancellation itself.
    fn answer(&self, attempt: RequestId, verdict: Verdict) {
        if let Some(waiter) = lock(&self.waiters).remove(&attempt) {
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

    /// The limits of workspaces.
    pub(crate) fn limiter(&self) -> MutexGuard<'_, Limiter> {
        lock(&self.limiter)
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
            routes.retain(|id, r| snapshot.routes.iter().any(|s| s.id == *id && *s == r.route));
            for route in &snapshot.routes {
                routes
                    .entry(route.id)
                    .or_insert_with(|| Arc::new(RouteScheduler::new(shared, snapshot, route)));
            }
        }
        for route in self.all() {
            let group = &snapshot.groups[route.route.group];
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
            let id = route.route.id;
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
        messages
    }

    fn is_new_day(&self) -> bool {
        let mut day = lock(&self.day);
        let new = *day != today();
        *day = today();
        new
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
pub(crate) fn hear_news(shared: &Shared, news: TargetNews) {
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
