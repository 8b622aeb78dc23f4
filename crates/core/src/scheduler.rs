//! Queue, fairness, admission and target choice of one route at one vm.
//!
//! See `docs/design.md`, section 5.8.

mod config;
mod placement;
mod queue;
mod types;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

pub use config::SchedulerConfig;
pub use types::{
    Arrival, Candidate, Demand, Digest, Explanation, Reason, RefusalKind, SchedulerCommand,
    SchedulerEvent,
};

use crate::invariant::{self, Invariant};
use crate::lengths::LengthModel;
use crate::settings::document::TargetKind;
use crate::targets::{OwnWork, Role, TargetInfo, TargetLoad, TargetState, TargetView};
use crate::{Machine, RequestId, TargetId, VmId};
use placement::{Blocked, Placement};
use queue::{FairQueue, Waiting};

/// A leaving target gets no new work later than this after the vm heard of it.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Time constant of the demand figures.
const DEMAND_S: f64 = 5.0;
/// Streams that leave a closed engine per tick, so that moves do not arrive in one burst.
const MOVES_PER_TICK: usize = 4;
/// Share of the engines' time that is expected to go into work.
const USABLE_SHARE: f64 = 0.9;

#[derive(Debug)]
struct Running {
    arrival: Arrival,
    target: TargetId,
    decode: Option<TargetId>,
    output_tokens: u64,
    /// Tokens that this attempt delivered, as far as they were reported.
    generated: u64,
    work_s: f64,
    streaming: bool,
    /// Whether the stream could not move, so that it ends where it is.
    pinned: bool,
}

/// Scheduler of one route.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    views: BTreeMap<TargetId, TargetView>,
    peers: u32,
    queue: FairQueue,
    running: BTreeMap<RequestId, Running>,
    lengths: LengthModel,
    rng: SmallRng,
    explained: VecDeque<Explanation>,
    demand: Demand,
    arrived: Demand,
    last_tick: Duration,
    last_digest: Option<Duration>,
}

impl Scheduler {
    /// Creates a scheduler that knows no targets.
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            lengths: LengthModel::new(config.lengths),
            config,
            views: BTreeMap::new(),
            peers: 0,
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            explained: VecDeque::new(),
            demand: Demand::default(),
            arrived: Demand::default(),
            last_tick: Duration::ZERO,
            last_digest: None,
        }
    }

    /// The last decision on a request, if it is still remembered.
    pub fn explain(&self, request: RequestId) -> Option<&Explanation> {
        self.explained.iter().rev().find(|e| e.request == request)
    }

    /// Learned output lengths.
    pub fn lengths(&self) -> &LengthModel {
        &self.lengths
    }

    /// Position after which cache events of a target are wanted.
    pub fn last_cache_event(&self, target: TargetId) -> u64 {
        self.views.get(&target).map_or(0, |v| v.cache.last_seq())
    }

    fn arrive(&mut self, arrival: Arrival, now: Duration, out: &mut Vec<SchedulerCommand>) {
        let waiting = self.estimate(arrival, now);
        self.count_demand(&waiting);
        let arrival = &waiting.arrival;
        let Some(prefill) = self.best_prefill(arrival, now) else {
            let retry_after = Duration::from_secs(2);
            return self.refuse(&waiting, RefusalKind::NoTarget, retry_after, now, out);
        };
        let queued = self.queue.len_of(arrival.priority, arrival.workspace);
        let wait = self.predicted_wait(&waiting);
        if queued >= self.config.queue_limit {
            return self.refuse(&waiting, RefusalKind::QueueFull, wait, now, out);
        }
        if wait + prefill > arrival.deadline {
            let over = wait + prefill - arrival.deadline;
            return self.refuse(&waiting, RefusalKind::DeadlineUnreachable, over, now, out);
        }
        self.queue.push(waiting);
        self.serve(now, out);
    }

    fn estimate(&self, arrival: Arrival, now: Duration) -> Waiting {
        let route = self.config.route;
        let delivered = arrival.delivered_tokens;
        let mut expected = self.lengths.mean(arrival.workspace, route) as u64;
        if delivered > 0 {
            expected = expected.saturating_sub(delivered).max(1);
        }
        let limit = arrival.max_tokens.map_or(u64::MAX, u64::from);
        let output_tokens = arrival
            .known_output_tokens
            .unwrap_or(expected)
            .min(limit.saturating_sub(delivered));
        let uncached = self
            .views
            .values()
            .filter(|v| v.role != Role::Decode && v.is_open(now))
            .map(|v| self.uncached(v, &arrival))
            .min()
            .unwrap_or(arrival.prompt_tokens);
        Waiting {
            work_s: self.work_s(uncached, output_tokens),
            arrival,
            arrived_at: now,
            output_tokens,
        }
    }

    /// Fresh digests that make the known work at a target complete.
    pub(crate) fn expected_digests(&self) -> u32 {
        if self.config.shared_targets {
            u32::MAX
        } else {
            self.peers
        }
    }

    fn work_s(&self, uncached_tokens: u64, output_tokens: u64) -> f64 {
        if self.config.kind == TargetKind::Service {
            return 1.0;
        }
        uncached_tokens as f64 / self.config.rates.prefill_tokens_per_s
            + output_tokens as f64 * self.config.output_token_cost.as_secs_f64()
    }

    fn count_demand(&mut self, waiting: &Waiting) {
        let output = waiting.output_tokens as f64;
        let output_s = output * self.config.output_token_cost.as_secs_f64();
        let prefill_s = (waiting.work_s - output_s).max(0.0);
        self.arrived.prefill_tokens_per_s += prefill_s * self.config.rates.prefill_tokens_per_s;
        self.arrived.output_tokens_per_s += output;
    }

    /// Time until the work ahead of a new request is done by this vm's part of the targets.
    fn predicted_wait(&self, waiting: &Waiting) -> Duration {
        let arrival = &waiting.arrival;
        let weight = f64::from(arrival.weight);
        let ahead = self
            .queue
            .work_ahead(arrival.priority, arrival.workspace, weight);
        let targets = self
            .views
            .values()
            .filter(|v| v.is_closed(self.last_tick).is_none());
        let per_target = match self.config.kind {
            TargetKind::Engine => USABLE_SHARE,
            TargetKind::Service => f64::from(self.config.service_concurrency),
        };
        let rate = targets.count().max(1) as f64 * per_target / f64::from(self.peers + 1);
        Duration::from_secs_f64((ahead / rate).min(3600.0))
    }

    fn refuse(
        &mut self,
        waiting: &Waiting,
        kind: RefusalKind,
        retry_after: Duration,
        now: Duration,
        out: &mut Vec<SchedulerCommand>,
    ) {
        self.arrived.missed_per_s += 1.0;
        let request = waiting.arrival.request;
        self.remember(Explanation {
            request,
            waited: now.saturating_sub(waiting.arrived_at),
            target: None,
            decode: None,
            reason: Reason::Refused(kind),
            candidates: SmallVec::new(),
        });
        out.push(SchedulerCommand::Refuse {
            request,
            kind,
            retry_after: retry_after.max(Duration::from_secs(1)),
        });
    }

    /// Dispatches as long as a workspace's head fits somewhere. A head that does not fit does not
    /// hold up other workspaces, whose requests may need another role.
    fn serve(&mut self, now: Duration, out: &mut Vec<SchedulerCommand>) {
        loop {
            let mut dispatched = false;
            for (priority, workspace) in self.queue.order(self.config.low_priority_share) {
                let Some(head) = self.queue.take(priority, workspace) else {
                    continue;
                };
                match self.place(&head, now) {
                    Ok(placement) => {
                        self.queue.charge(&head);
                        self.dispatch(head, placement, now, out);
                        dispatched = true;
                        break;
                    }
                    Err(Blocked::NoTarget | Blocked::Full) => self.queue.put_back(head),
                }
            }
            if !dispatched {
                return;
            }
        }
    }

    fn dispatch(
        &mut self,
        waiting: Waiting,
        placement: Placement,
        now: Duration,
        out: &mut Vec<SchedulerCommand>,
    ) {
        let request = waiting.arrival.request;
        let Placement { target, decode, .. } = placement;
        for id in [Some(target), decode].into_iter().flatten() {
            self.check_leaving(id, now);
        }
        let context = waiting.arrival.prompt_tokens + waiting.output_tokens / 2;
        let work = OwnWork {
            prefill_tokens: placement.uncached_tokens,
            context_tokens: if decode.is_some() { 0 } else { context },
            streaming: false,
            suspect: waiting.arrival.suspect,
            sent_at: now,
        };
        if let Some(view) = self.views.get_mut(&target) {
            view.cache.expect(&waiting.arrival.prefix);
            view.begin(request, work);
        }
        if let Some(view) = decode.and_then(|id| self.views.get_mut(&id)) {
            let promise = OwnWork {
                prefill_tokens: 0,
                context_tokens: context,
                ..work
            };
            view.begin(request, promise);
        }
        self.remember(Explanation {
            request,
            waited: now.saturating_sub(waiting.arrived_at),
            target: Some(target),
            decode,
            reason: placement.reason,
            candidates: placement.candidates,
        });
        out.push(SchedulerCommand::Dispatch {
            request,
            target,
            decode,
        });
        let running = Running {
            arrival: waiting.arrival,
            target,
            decode,
            output_tokens: waiting.output_tokens,
            generated: 0,
            work_s: waiting.work_s,
            streaming: false,
            pinned: false,
        };
        self.running.insert(request, running);
    }

    fn check_leaving(&self, target: TargetId, now: Duration) {
        let heard_at = self
            .views
            .get(&target)
            .and_then(TargetView::leaving_heard_at);
        let late = heard_at.is_some_and(|at| now.saturating_sub(at) > LEAVING_LIMIT);
        invariant::check(Invariant::LeavingTargetGetsNoWork, !late, || {
            format!("target {target} got work at {now:?}, leaving since {heard_at:?}")
        });
    }

    fn first_token(&mut self, request: RequestId) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.streaming = true;
        if let Some(decode) = running.decode.take() {
            if let Some(view) = self.views.get_mut(&running.target) {
                view.end(request);
            }
            running.target = decode;
        }
        let view = self.views.get_mut(&running.target);
        if let Some(work) = view.and_then(|v| v.work_mut(request)) {
            work.streaming = true;
            // The target has survived the prompt, so the next suspect may come.
            work.suspect = false;
        }
    }

    fn generated(&mut self, request: RequestId, tokens: u64) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.generated += tokens;
        let view = self.views.get_mut(&running.target);
        if let Some(work) = view.and_then(|v| v.work_mut(request)) {
            let least = running.arrival.prompt_tokens + running.generated;
            work.context_tokens = work.context_tokens.max(least);
        }
    }

    /// Books a stream where it runs, after a move that was planned did not happen.
    fn stayed(&mut self, request: RequestId, target: TargetId) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        let planned = running.decode.take().unwrap_or(running.target);
        running.target = target;
        running.pinned = true;
        let work = self.views.get_mut(&planned).and_then(|v| v.end(request));
        if let (Some(work), Some(view)) = (work, self.views.get_mut(&target)) {
            view.begin(request, work);
        }
    }

    fn end(&mut self, request: RequestId) -> Option<Running> {
        let running = self.running.remove(&request)?;
        for id in [Some(running.target), running.decode].into_iter().flatten() {
            if let Some(view) = self.views.get_mut(&id) {
                view.end(request);
            }
        }
        Some(running)
    }

    fn finish(&mut self, request: RequestId, output_tokens: u64) {
        let Some(running) = self.end(request) else {
            return;
        };
        if self.config.kind == TargetKind::Service {
            return;
        }
        let arrival = &running.arrival;
        self.lengths
            .observe(arrival.workspace, self.config.route, output_tokens);
        let generated = output_tokens.saturating_sub(arrival.delivered_tokens);
        self.correct(&running, generated);
    }

    /// Ends a request without a whole answer. Its workspace is charged for the tokens that were
    /// generated, where they are known.
    fn cancel(&mut self, request: RequestId) {
        let Some(running) = self.end(request) else {
            return;
        };
        if running.generated > 0 && self.config.kind == TargetKind::Engine {
            self.correct(&running, running.generated);
        }
    }

    fn correct(&mut self, running: &Running, generated: u64) {
        let off = generated as f64 - running.output_tokens as f64;
        let off_s = off * self.config.output_token_cost.as_secs_f64();
        // Work that was never done cannot be negative.
        let by_s = off_s.max(-running.work_s);
        let arrival = &running.arrival;
        self.queue
            .correct(arrival.priority, arrival.workspace, by_s);
    }

    fn hear_peer(&mut self, from: VmId, digest: Digest, now: Duration) {
        for (workspace, total_s) in &digest.service {
            self.queue.hear_service(from, *workspace, *total_s);
        }
        // A search for each target took most of the time at 1,400 targets.
        let loads: BTreeMap<_, _> = digest.loads.into_iter().collect();
        for (id, view) in &mut self.views {
            match loads.get(id) {
                Some(load) => view.hear_peer(from, *load, now),
                None if digest.partial => {}
                None => view.hear_peer(from, TargetLoad::default(), now),
            }
        }
        for (id, state) in digest.closed {
            // Leaving is final and spreads from vm to vm; other states come from the planner or
            // the target, and an echo between vms would never end.
            if state == TargetState::Leaving {
                self.hear_state(id, state, now);
            }
        }
    }

    fn hear_state(&mut self, target: TargetId, state: TargetState, now: Duration) {
        if let Some(view) = self.views.get_mut(&target) {
            view.hear_state(state, now);
        }
    }

    fn set_targets(&mut self, targets: Vec<TargetInfo>, peers: u32, now: Duration) {
        self.peers = peers;
        self.views
            .retain(|id, _| targets.iter().any(|t| t.id == *id));
        for info in targets {
            self.views
                .entry(info.id)
                .or_insert_with(|| TargetView::new(info, now))
                .set_info(info, now);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<SchedulerCommand>) {
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.queue.tick();
        self.follow(elapsed, now);
        self.refuse_late(now, out);
        self.serve(now, out);
        self.move_streams(now, out);
        let due = self
            .last_digest
            .is_none_or(|at| now.saturating_sub(at) >= self.config.digest_interval);
        if due {
            self.last_digest = Some(now);
            out.push(SchedulerCommand::Digest(self.digest(now)));
        }
    }

    fn follow(&mut self, elapsed: Duration, now: Duration) {
        let (digests, rates) = (self.expected_digests(), self.config.rates);
        for view in self.views.values_mut() {
            let busy = view.load(digests, &rates, now).prefill_tokens > 0;
            view.follow_duty(busy, elapsed);
        }
        let seconds = elapsed.as_secs_f64().max(1e-3);
        let weight = (seconds / DEMAND_S).min(1.0);
        let arrived = std::mem::take(&mut self.arrived);
        let follow = |old: &mut f64, new: f64| *old += weight * (new / seconds - *old);
        follow(
            &mut self.demand.prefill_tokens_per_s,
            arrived.prefill_tokens_per_s,
        );
        follow(
            &mut self.demand.output_tokens_per_s,
            arrived.output_tokens_per_s,
        );
        follow(&mut self.demand.missed_per_s, arrived.missed_per_s);
    }

    /// Refuses requests whose first token can no longer be in time.
    fn refuse_late(&mut self, now: Duration, out: &mut Vec<SchedulerCommand>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let late = queue.remove_if(|w| {
            let prefill = self.best_prefill(&w.arrival, now);
            prefill.is_none_or(|prefill| now + prefill > w.deadline_at())
        });
        self.queue = queue;
        for waiting in late {
            let retry_after = self.predicted_wait(&waiting);
            self.refuse(
                &waiting,
                RefusalKind::DeadlineUnreachable,
                retry_after,
                now,
                out,
            );
        }
    }

    /// Moves answers off engines that are about to change, where another engine has room.
    fn move_streams(&mut self, now: Duration, out: &mut Vec<SchedulerCommand>) {
        if self.config.kind == TargetKind::Service || !self.config.split_prefill {
            return;
        }
        let closed = |v: &TargetView| v.is_closed(now).is_some() && v.role != Role::Prefill;
        let mut requests: Vec<(TargetId, RequestId)> = Vec::new();
        for view in self.views.values().filter(|v| closed(v)) {
            let here = view.requests().take(MOVES_PER_TICK);
            requests.extend(here.map(|r| (view.info.id, r)));
        }
        for (from, request) in requests {
            self.move_stream(from, request, now, out);
        }
    }

    fn move_stream(
        &mut self,
        from: TargetId,
        request: RequestId,
        now: Duration,
        out: &mut Vec<SchedulerCommand>,
    ) {
        let Some(running) = self.running.get(&request) else {
            return;
        };
        let promised = running.decode == Some(from);
        let streams_here = running.streaming && running.target == from;
        if (!promised && !streams_here) || running.pinned {
            return;
        }
        let context = running.arrival.prompt_tokens + running.output_tokens / 2;
        let Some(to) = self.place_stream(&running.arrival, context, now) else {
            return;
        };
        let Some(work) = self.views.get_mut(&from).and_then(|v| v.end(request)) else {
            return;
        };
        if let Some(view) = self.views.get_mut(&to) {
            view.begin(request, work);
        }
        if let Some(running) = self.running.get_mut(&request) {
            if promised {
                running.decode = Some(to);
            } else {
                running.target = to;
            }
        }
        out.push(SchedulerCommand::Move { request, from, to });
    }

    fn digest(&self, now: Duration) -> Digest {
        let mut digest = Digest {
            service: self.queue.service(),
            demand: self.demand,
            ..Digest::default()
        };
        for view in self.views.values() {
            let load = view.own_load();
            if load.in_flight() > 0 {
                digest.loads.push((view.info.id, load));
            }
            if let Some(state) = view.is_closed(now) {
                digest.closed.push((view.info.id, state));
            }
        }
        digest
    }

    fn remember(&mut self, explanation: Explanation) {
        if self.explained.len() >= self.config.explained_decisions {
            self.explained.pop_front();
        }
        self.explained.push_back(explanation);
    }
}

impl Machine for Scheduler {
    type Event = SchedulerEvent;
    type Command = SchedulerCommand;

    fn step(&mut self, event: SchedulerEvent, now: Duration, out: &mut Vec<SchedulerCommand>) {
        match event {
            SchedulerEvent::Arrival(arrival) => self.arrive(arrival, now, out),
            SchedulerEvent::FirstToken { request } => {
                self.first_token(request);
                self.serve(now, out);
            }
            SchedulerEvent::Generated { request, tokens } => self.generated(request, tokens),
            SchedulerEvent::MoveFailed { request, target } => self.stayed(request, target),
            SchedulerEvent::Finish {
                request,
                output_tokens,
                ..
            } => {
                self.finish(request, output_tokens);
                self.serve(now, out);
            }
            SchedulerEvent::Cancel { request } => {
                if !self.queue.remove(request) {
                    self.cancel(request);
                }
                self.serve(now, out);
            }
            SchedulerEvent::Report {
                target,
                report,
                age,
            } => {
                if let Some(view) = self.views.get_mut(&target) {
                    view.hear_report(report, age, now);
                }
            }
            SchedulerEvent::Unreachable { target } => {
                if let Some(view) = self.views.get_mut(&target) {
                    view.lose();
                }
            }
            SchedulerEvent::Cache { target, events } => {
                if let Some(view) = self.views.get_mut(&target) {
                    view.hear_cache(&events);
                }
            }
            SchedulerEvent::Peer { from, digest } => self.hear_peer(from, digest, now),
            SchedulerEvent::TargetState { target, state } => self.hear_state(target, state, now),
            SchedulerEvent::Targets { targets, peers } => self.set_targets(targets, peers, now),
            SchedulerEvent::Tick => self.tick(now, out),
        }
    }
}
