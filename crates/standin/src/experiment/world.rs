//! One run: vms with their own decision machines, engines and a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use jujubebeam_core::fleet::{ClassSpec, FleetTarget, Planner, PlannerConfig, PlannerEvent};
use jujubebeam_core::scheduler::{Scheduler, SchedulerConfig, SchedulerEvent};
use jujubebeam_core::targets::{Role, TargetInfo, TargetState};
use jujubebeam_core::{TargetId, VmId, ZoneId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::baseline::Baseline;
use super::engine::Engine;
use super::figures::Figures;
use super::scenario::{Policy, Scenario};
use super::workload::{self, Spec};

/// Progress of one request.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) spec: Spec,
    pub(crate) sent_at: Duration,
    pub(crate) first_token_at: Option<Duration>,
    pub(crate) done_at: Option<Duration>,
    pub(crate) delivered: u64,
    pub(crate) engine: Option<usize>,
    pub(crate) decode: Option<usize>,
    pub(crate) tries: u32,
    pub(crate) attempts: u32,
    /// Number of KV cache transfers; a transfer that another one replaced has no effect.
    pub(crate) transfers: u32,
    /// Whether the caller waits for an answer or for the rest of one.
    pub(crate) is_open: bool,
}

/// Something that happens at a time.
#[derive(Debug)]
pub(crate) enum Happening {
    Arrive(usize),
    GiveUp(usize),
    StepEnd(usize, u64),
    ToVm(usize, Box<SchedulerEvent>),
    ToPlanner(Box<PlannerEvent>),
    VmTick(usize),
    PlannerTick,
    Reports,
    Import(usize, usize, u32),
    RoleDone(usize, Role),
    Started(ZoneId, &'static str),
    ZoneLost(ZoneId),
}

/// Price class of targets that can vanish.
pub(crate) const CHEAP: &str = "cheap";
/// Price class of targets that stay.
pub(crate) const FIRM: &str = "firm";
/// Prices per hour.
pub(crate) const PRICES: [(&str, u64); 2] = [(CHEAP, 100), (FIRM, 300)];
/// Share of the work whose workspaces allow cheap targets.
pub(crate) const RECLAIMABLE_SHARE: f64 = 0.6;
const TICK: Duration = Duration::from_millis(100);

/// State of a run.
pub(crate) struct World<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) policy: Policy,
    pub(crate) figures: Figures,
    pub(crate) now: Duration,
    pub(crate) engines: Vec<Engine>,
    pub(crate) requests: Vec<Progress>,
    pub(crate) schedulers: Vec<Scheduler>,
    pub(crate) baselines: Vec<Baseline>,
    pub(crate) planner: Option<Planner>,
    pub(crate) rng: SmallRng,
    pub(crate) role_changes: u32,
    pub(crate) cut: u32,
    pub(crate) refused: u32,
    pub(crate) given_up: u32,
    pub(crate) spent_cents: f64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut figures = Figures {
            engines: scenario.engines,
            ..Figures::default()
        };
        if let Some(lag) = scenario.report_lag {
            figures.report_lag = lag;
        }
        if policy == Policy::Clairvoyant {
            figures.report_lag = Duration::ZERO;
            figures.report_interval = TICK;
            figures.gossip_delay = Duration::ZERO;
            figures.lost_events = 0.0;
            figures.vms = 1;
        }
        let specs = workload::generate(scenario, Figures::default().vms, seed);
        let mut world = Self {
            scenario,
            policy,
            now: Duration::ZERO,
            engines: Vec::new(),
            requests: specs.into_iter().map(Progress::new).collect(),
            schedulers: Vec::new(),
            baselines: Vec::new(),
            planner: None,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            role_changes: 0,
            cut: 0,
            refused: 0,
            given_up: 0,
            spent_cents: 0.0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            figures,
        };
        world.build(seed);
        world
    }

    fn build(&mut self, seed: u64) {
        for position in 0..self.figures.engines {
            let role = initial_role(self.policy, position);
            let zone = ZoneId(position as u16 % self.figures.zones);
            let speed = self.random_speed();
            let mut engine = Engine::new(position as u64, zone, role, speed);
            let cheap = self.scenario.zone_loss_at_s.is_some() && position >= 6;
            engine.class = if cheap { CHEAP } else { "" };
            self.engines.push(engine);
        }
        for vm in 0..self.figures.vms {
            let seed = seed.wrapping_mul(1000).wrapping_add(vm as u64);
            let config = SchedulerConfig {
                vm: VmId(vm as u32),
                zone: ZoneId(vm as u16 % self.figures.zones),
                seed,
                rates: self.figures.rates,
                token_interval: self.figures.token_interval,
                ..SchedulerConfig::default()
            };
            self.schedulers.push(Scheduler::new(config));
            self.baselines
                .push(Baseline::new(self.policy, SmallRng::seed_from_u64(seed)));
            let offset = Duration::from_millis(100 * vm as u64 / self.figures.vms as u64);
            self.at(offset, Happening::VmTick(vm));
        }
        if self.policy.decides() {
            self.planner = Some(Planner::new(PlannerConfig {
                rates: self.figures.rates,
                token_interval: self.figures.token_interval,
                ..PlannerConfig::default()
            }));
            self.at(Duration::ZERO, Happening::PlannerTick);
        }
        self.announce_targets();
        self.deliver_reports_now();
        self.start_planner();
        self.at(Duration::ZERO, Happening::Reports);
        for request in 0..self.requests.len() {
            let at = Duration::from_secs_f64(self.requests[request].spec.at_s);
            self.at(at, Happening::Arrive(request));
        }
        if let Some(at_s) = self.scenario.zone_loss_at_s {
            self.at(
                Duration::from_secs_f64(at_s),
                Happening::ZoneLost(ZoneId(0)),
            );
        }
    }

    fn start_planner(&mut self) {
        let vms = (0..self.figures.vms as u32).map(VmId).collect();
        self.tell_planner(PlannerEvent::Vms(vms));
        self.tell_planner(PlannerEvent::Lead(true));
        if !self.scenario.buys {
            return;
        }
        let classes = PRICES.iter().map(|(name, price)| ClassSpec {
            name: (*name).into(),
            price_cents_per_hour: *price,
            reclaimable: *name == CHEAP,
        });
        self.tell_planner(PlannerEvent::Market {
            classes: classes.collect(),
            zones: (0..self.figures.zones).map(ZoneId).collect(),
        });
        self.tell_planner(PlannerEvent::Rules {
            cents_per_hour: 10_000,
            reclaimable_share: RECLAIMABLE_SHARE,
        });
    }

    fn random_speed(&mut self) -> f64 {
        let spread = self.figures.speed_spread;
        1.0 + self.rng.random_range(-spread..=spread)
    }

    /// Adds an engine that was ordered.
    pub(crate) fn add_engine(&mut self, zone: ZoneId, class: &'static str) {
        let speed = self.random_speed();
        let id = self.engines.len() as u64;
        let mut engine = Engine::new(id, zone, Role::Mixed, speed);
        engine.class = class;
        self.engines.push(engine);
        self.tell_planner(PlannerEvent::OrderSettled {
            class: class.into(),
        });
        self.announce_targets();
        self.deliver_reports_now();
    }

    /// Tells all machines which targets there are.
    pub(crate) fn announce_targets(&mut self) {
        let alive = || self.engines.iter().filter(|e| e.alive);
        let infos: Vec<TargetInfo> = alive()
            .map(|e| TargetInfo {
                id: e.id,
                zone: e.zone,
                reclaimable: e.class == CHEAP,
                leaving: false,
            })
            .collect();
        let fleet = alive().map(|e| FleetTarget {
            id: e.id,
            zone: e.zone,
            class: e.class.into(),
            leaving: false,
        });
        let fleet = fleet.collect();
        self.tell_planner(PlannerEvent::Targets(fleet));
        for vm in 0..self.schedulers.len() {
            let event = SchedulerEvent::Targets {
                targets: infos.clone(),
                peers: self.figures.vms as u32 - 1,
            };
            self.tell_scheduler(vm, event);
        }
    }

    fn deliver_reports_now(&mut self) {
        for position in 0..self.engines.len() {
            self.deliver_report(position, Duration::ZERO);
        }
    }

    /// Sends the load report and new cache events of an engine to all vms.
    pub(crate) fn deliver_report(&mut self, position: usize, lag: Duration) {
        if !self.engines[position].alive {
            return;
        }
        let engine = &mut self.engines[position];
        let (target, report) = (engine.id, engine.report());
        let events = std::mem::take(&mut engine.fresh_events);
        let at = self.now + lag;
        for vm in 0..self.figures.vms {
            let event = SchedulerEvent::Report {
                target,
                report: report.clone(),
                age: lag,
            };
            self.at(at, Happening::ToVm(vm, Box::new(event)));
            let lost = self.figures.lost_events;
            let rng = &mut self.rng;
            let events = events
                .iter()
                .copied()
                .filter(|_| rng.random::<f64>() >= lost)
                .collect();
            let event = SchedulerEvent::Cache { target, events };
            self.at(at, Happening::ToVm(vm, Box::new(event)));
        }
        if self.planner.is_some() {
            let report = Box::new(report);
            let event = PlannerEvent::Report { target, report };
            self.at(at, Happening::ToPlanner(Box::new(event)));
        }
    }

    /// Runs to the end of the scenario, and lets running answers finish.
    pub(crate) fn run(&mut self) {
        let end = Duration::from_secs_f64(self.scenario.duration_s + 20.0);
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.pay(at - self.now);
            self.now = at;
            if let Some(happening) = self.happenings.remove(&id) {
                self.happen(happening);
            }
        }
    }

    fn pay(&mut self, elapsed: Duration) {
        if !self.scenario.buys {
            return;
        }
        for engine in self.engines.iter().filter(|e| e.alive) {
            let price = PRICES
                .iter()
                .find(|(name, _)| *name == engine.class)
                .map_or(0, |p| p.1);
            self.spent_cents += price as f64 * elapsed.as_secs_f64() / 3600.0;
        }
    }

    pub(crate) fn at(&mut self, at: Duration, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::GiveUp(request) => self.give_up(request),
            Happening::StepEnd(engine, incarnation) => self.step_ended(engine, incarnation),
            Happening::ToVm(vm, event) => self.deliver_to_vm(vm, *event),
            Happening::ToPlanner(event) => self.tell_planner(*event),
            Happening::VmTick(vm) => {
                if self.policy.decides() {
                    self.tell_scheduler(vm, SchedulerEvent::Tick);
                    self.at(self.now + TICK, Happening::VmTick(vm));
                }
            }
            Happening::PlannerTick => self.planner_tick(),
            Happening::Reports => {
                for position in 0..self.engines.len() {
                    self.deliver_report(position, self.figures.report_lag);
                }
                self.at(self.now + self.figures.report_interval, Happening::Reports);
            }
            Happening::Import(engine, request, transfer) => self.import(engine, request, transfer),
            Happening::RoleDone(engine, role) => self.role_done(engine, role),
            Happening::Started(zone, class) => self.add_engine(zone, class),
            Happening::ZoneLost(zone) => self.lose_zone(zone),
        }
    }

    fn planner_tick(&mut self) {
        let seconds = self.now.as_secs_f64();
        let down = self
            .scenario
            .store_outage_s
            .is_some_and(|(a, b)| seconds >= a && seconds < b);
        // Without the store the lease lapses and nobody plans.
        self.tell_planner(PlannerEvent::Lead(!down));
        self.tell_planner(PlannerEvent::Tick);
        self.at(self.now + TICK, Happening::PlannerTick);
    }

    fn role_done(&mut self, position: usize, role: Role) {
        let engine = &mut self.engines[position];
        engine.role = role;
        engine.state = TargetState::Serving;
        engine.incarnation += 1;
    }

    /// Position of an engine that is there.
    pub(crate) fn position(&self, target: TargetId) -> Option<usize> {
        let position = target.0 as usize;
        self.engines.get(position).filter(|e| e.alive)?;
        Some(position)
    }

    /// True while the engine answers nothing.
    pub(crate) fn is_paused(&self, position: usize) -> Option<Duration> {
        let (from, to) = self.scenario.engine_pause_s?;
        let seconds = self.now.as_secs_f64();
        let paused = position.is_multiple_of(2) && seconds >= from && seconds < to;
        paused.then(|| Duration::from_secs_f64(to))
    }
}

impl Progress {
    fn new(spec: Spec) -> Self {
        Self {
            sent_at: Duration::from_secs_f64(spec.at_s),
            spec,
            first_token_at: None,
            done_at: None,
            delivered: 0,
            engine: None,
            decode: None,
            tries: 0,
            attempts: 0,
            transfers: 0,
            is_open: false,
        }
    }
}

/// The decision crate starts with roles for the usual mix, as an operator would set them.
fn initial_role(policy: Policy, position: usize) -> Role {
    match policy {
        Policy::RoundRobin | Policy::LeastLoad => Role::Mixed,
        Policy::FixedRoles if position < 4 => Role::Prefill,
        Policy::FixedRoles => Role::Decode,
        _ if position < 4 => Role::Prefill,
        _ if position < 8 => Role::Decode,
        _ => Role::Mixed,
    }
}
