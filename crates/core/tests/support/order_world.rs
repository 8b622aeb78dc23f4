//! Simulation of several vms with an `Authority` machine each, a store and order receivers, with
//! pauses, kills, restarts and planned shutdowns of vms.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::authority::{
    Authority, AuthorityConfig, AuthorityFaults, Command, Event, Holder, Scope, SendResult,
};
use jujubebeam_core::store::{CallToken, StoreOp, StoreReply};
use jujubebeam_core::{Incarnation, Machine, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::network::{Link, Network};
use super::receivers::{Arrival, Receiver, TestOrder};
use super::store_model::{StoreLink, StoreModel};

type OrderCommand = Command<TestOrder>;
type OrderEvent = Event<TestOrder>;

const TICK: Duration = Duration::from_millis(100);
/// Time after which a vm that ended is missing in the vm list. Longer than an order can be in
/// flight, as the design requires of the vm list.
const LIST_LAG: Duration = Duration::from_secs(3);
const TARGETS: u64 = 3;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct OrderWorldConfig {
    pub(crate) seed: u64,
    pub(crate) faults: AuthorityFaults,
    pub(crate) trust_target_incarnation: bool,
    /// Number of vms; derived from the seed if not set.
    pub(crate) vms: Option<u32>,
    /// Whether orders are requested.
    pub(crate) requests: bool,
    /// Time in which faults are injected.
    pub(crate) fault_period: Duration,
    /// Time without faults afterwards, in which each scope must finish orders again.
    pub(crate) recovery_period: Duration,
}

impl OrderWorldConfig {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            faults: AuthorityFaults::default(),
            trust_target_incarnation: false,
            vms: None,
            requests: true,
            fault_period: Duration::from_secs(150),
            recovery_period: Duration::from_secs(90),
        }
    }
}

/// Result of a run.
#[derive(Default)]
pub(crate) struct OrderRun {
    pub(crate) history: Vec<Arrival>,
    /// Number of orders that finished after the fault period, by scope.
    pub(crate) finished_after_faults: BTreeMap<String, u64>,
    pub(crate) acquisitions: u64,
    pub(crate) delayed_sends: u64,
    pub(crate) shutdowns: u64,
    pub(crate) store_calls: u64,
}

enum Item {
    Tick(VmId),
    Call(Holder, CallToken, StoreOp, Option<Duration>),
    Event(Holder, OrderEvent),
    Arrive(Holder, OrderCommand, Option<Duration>),
    /// A send that was delayed between its validity check and the network.
    DelayedSend(Holder, OrderCommand),
    Request,
    ListVms,
    Fault,
    Join(VmId),
    Unlist(VmId),
    RestartTarget,
}

struct Instance {
    me: Holder,
    authority: Authority<TestOrder>,
    paused_until: Duration,
    clock_offset: Duration,
    inbox: Vec<OrderEvent>,
    shutting_down: bool,
}

/// The simulated fleet, its store and its receivers.
pub(crate) struct OrderWorld {
    config: OrderWorldConfig,
    rng: SmallRng,
    network: Network<Item>,
    store: StoreModel,
    store_link: StoreLink,
    order_link: Link,
    instances: BTreeMap<VmId, Instance>,
    listed: Vec<VmId>,
    receivers: BTreeMap<(Scope, String), Receiver>,
    scopes: Vec<(Scope, bool)>,
    next_vm_id: u32,
    last_order_number: u64,
    run: OrderRun,
}

/// Runs one seed.
pub(crate) fn run(config: OrderWorldConfig) -> OrderRun {
    let end = config.fault_period + config.recovery_period;
    let mut world = OrderWorld::new(config);
    while let Some(item) = world.network.next_before(end) {
        world.handle(item);
    }
    world.run.store_calls = world.store.calls;
    world.run
}

fn engines(group: &str) -> Scope {
    Scope::Engines {
        group: group.into(),
        zone: "a".into(),
    }
}

impl OrderWorld {
    fn new(config: OrderWorldConfig) -> Self {
        let mut rng = SmallRng::seed_from_u64(config.seed);
        let store_link = StoreLink {
            longest: Duration::from_millis(700),
            timeout: Duration::from_millis(800),
            lost_before: 0.03,
            lost_after: 0.05,
            late_effect: 0.02,
            outages: outages(&mut rng, config.fault_period),
        };
        let mut world = Self {
            network: Network::default(),
            store: StoreModel::default(),
            store_link,
            order_link: Link {
                shortest: Duration::from_millis(1),
                longest: Duration::from_millis(700),
                loss: 0.1,
            },
            instances: BTreeMap::new(),
            listed: Vec::new(),
            receivers: BTreeMap::new(),
            scopes: vec![
                (engines("fenced"), true),
                (engines("unfenced"), false),
                (Scope::Ordering, false),
                (Scope::Usage, false),
            ],
            next_vm_id: 1,
            last_order_number: 0,
            run: OrderRun::default(),
            rng,
            config,
        };
        let chosen = world.rng.random_range(3..=6);
        for _ in 0..world.config.vms.unwrap_or(chosen) {
            world.join_new();
        }
        for item in [
            Item::Request,
            Item::ListVms,
            Item::Fault,
            Item::RestartTarget,
        ] {
            world.network.after(TICK, item);
        }
        world
    }

    fn faults_are_over(&self) -> bool {
        self.network.now() >= self.config.fault_period
    }

    fn join_new(&mut self) {
        let vm = VmId(self.next_vm_id);
        self.next_vm_id += 1;
        self.start(vm, Incarnation(1));
        self.listed.push(vm);
        self.network.after(TICK, Item::Tick(vm));
    }

    fn start(&mut self, vm: VmId, incarnation: Incarnation) {
        let me = Holder { vm, incarnation };
        let config = AuthorityConfig {
            seed: self.rng.random(),
            faults: self.config.faults,
            trust_target_incarnation: self.config.trust_target_incarnation,
            ..AuthorityConfig::default()
        };
        let mut authority = Authority::new(me, config);
        for (scope, checks_fencing) in self.scopes.clone() {
            let acquire = Event::Acquire {
                scope,
                checks_fencing,
            };
            authority.step(acquire, Duration::ZERO, &mut Vec::new());
        }
        let instance = Instance {
            me,
            authority,
            paused_until: Duration::ZERO,
            clock_offset: Duration::from_secs(self.rng.random_range(0..10_000)),
            inbox: Vec::new(),
            shutting_down: false,
        };
        self.instances.insert(vm, instance);
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Tick(vm) => {
                let Some(instance) = self.instances.get(&vm) else {
                    return;
                };
                if instance.shutting_down && instance.authority.is_idle() {
                    self.run.shutdowns += 1;
                    self.instances.remove(&vm);
                    self.network.after(LIST_LAG, Item::Unlist(vm));
                    return;
                }
                self.network.after(TICK, Item::Tick(vm));
                self.feed(instance.me, Event::Tick);
            }
            Item::Call(from, token, op, answer) => {
                let reply = self.store.perform(op, self.network.now());
                if let Some(delay) = answer {
                    self.network
                        .after(delay, Item::Event(from, Event::Store(token, reply)));
                }
            }
            Item::Event(to, event) => self.feed(to, event),
            Item::Arrive(from, command, answer) => self.arrive(from, command, answer),
            Item::DelayedSend(from, command) => {
                // A killed process sends nothing.
                if self.instances.get(&from.vm).is_some_and(|i| i.me == from) {
                    self.transmit(from, command);
                }
            }
            Item::Request => self.request(),
            Item::ListVms => self.list_vms(),
            Item::Fault => self.fault(),
            Item::Join(vm) => {
                if let Some(old) = self.instances.get(&vm) {
                    let next = Incarnation(old.me.incarnation.0 + 1);
                    self.start(vm, next);
                }
            }
            Item::Unlist(vm) => {
                self.listed.retain(|v| *v != vm);
                self.join_new();
            }
            Item::RestartTarget => self.restart_target(),
        }
    }

    fn feed(&mut self, to: Holder, event: OrderEvent) {
        let now = self.network.now();
        let Some(instance) = self.instances.get_mut(&to.vm) else {
            return;
        };
        if instance.me != to {
            return;
        }
        if now < instance.paused_until {
            if event != Event::Tick {
                instance.inbox.push(event);
            }
            return;
        }
        let mut events = std::mem::take(&mut instance.inbox);
        events.push(event);
        let local = now + instance.clock_offset;
        let mut out = Vec::new();
        for event in events {
            instance.authority.step(event, local, &mut out);
        }
        for command in out {
            self.perform(to, command);
        }
    }

    fn perform(&mut self, from: Holder, command: OrderCommand) {
        match command {
            Command::Store(call) => {
                let reliable = self.faults_are_over();
                let delays = self.store_link.delays(self.network.now(), &mut self.rng);
                let effect = if reliable {
                    Some(TICK / 10)
                } else {
                    delays.effect
                };
                let answer = if reliable {
                    Some(TICK / 10)
                } else {
                    delays.answer
                };
                if answer.is_none() || effect.is_none() {
                    let unknown = Event::Store(call.token, StoreReply::Unknown);
                    self.network
                        .after(self.store_link.timeout, Item::Event(from, unknown));
                }
                if let Some(delay) = effect {
                    self.network
                        .after(delay, Item::Call(from, call.token, call.op, answer));
                }
            }
            Command::Send { .. } => self.send(from, command),
            Command::Acquired(..) => self.run.acquisitions += 1,
            Command::Finished { scope, .. } if self.faults_are_over() => {
                *self
                    .run
                    .finished_after_faults
                    .entry(scope.to_string())
                    .or_default() += 1;
            }
            _ => {}
        }
    }

    /// Sends immediately or, if the vm pauses directly after the validity check, much later.
    fn send(&mut self, from: Holder, command: OrderCommand) {
        if self.faults_are_over() || !self.rng.random_bool(0.08) {
            return self.transmit(from, command);
        }
        let pause = Duration::from_millis(self.rng.random_range(500..40_000));
        let until = self.network.now() + pause;
        if let Some(instance) = self.instances.get_mut(&from.vm) {
            instance.paused_until = instance.paused_until.max(until);
        }
        self.run.delayed_sends += 1;
        self.network.after(pause, Item::DelayedSend(from, command));
    }

    fn transmit(&mut self, from: Holder, command: OrderCommand) {
        let request_delay = self.order_link.delay(&mut self.rng);
        let answer_delay = self.order_link.delay(&mut self.rng);
        let timeout = Duration::from_millis(800);
        let answer_arrives =
            matches!((request_delay, answer_delay), (Some(a), Some(b)) if a + b < timeout);
        if !answer_arrives && let Some(event) = sent(&command, SendResult::Unknown) {
            self.network.after(timeout, Item::Event(from, event));
        }
        if let Some(delay) = request_delay {
            let answer_delay = answer_delay.filter(|_| answer_arrives);
            self.network
                .after(delay, Item::Arrive(from, command, answer_delay));
        }
    }

    fn arrive(&mut self, from: Holder, command: OrderCommand, answer: Option<Duration>) {
        let Command::Send {
            scope,
            target,
            order_id,
            fence,
            order,
            ..
        } = &command
        else {
            return;
        };
        let now = self.network.now();
        let execution = Duration::from_millis(self.rng.random_range(0..2000));
        let checks = self.scopes.iter().any(|(s, checks)| s == scope && *checks);
        let key = (scope.clone(), target.clone());
        let receiver = self.receivers.entry(key).or_default();
        receiver.checks_fencing = checks;
        let repeated = receiver.was_received(*order_id);
        let result = receiver.receive(*order_id, fence.0, now, execution);
        self.run.history.push(Arrival {
            at: now,
            scope: scope.clone(),
            target: target.clone(),
            from,
            fence: fence.0,
            order_id: *order_id,
            order: order.clone(),
            executed: !repeated && result == SendResult::Accepted,
        });
        if let (Some(delay), Some(event)) = (answer, sent(&command, result)) {
            self.network.after(delay, Item::Event(from, event));
        }
    }

    fn request(&mut self) {
        if !self.config.requests {
            return;
        }
        self.network.after(TICK, Item::Request);
        let index = self.rng.random_range(0..self.scopes.len());
        let scope = self.scopes[index].0.clone();
        let number = self.rng.random_range(0..TARGETS);
        let target = match scope.is_exclusive() {
            true => "platform".to_owned(),
            false => format!("t{number}"),
        };
        let now = self.network.now();
        let holders: Vec<(Holder, u64)> = self
            .instances
            .values()
            .filter(|i| now >= i.paused_until)
            .filter_map(|i| {
                let fence = i.authority.fence(&scope, now + i.clock_offset)?;
                Some((i.me, fence.0))
            })
            .collect();
        let key = (scope.clone(), target.clone());
        let restarts = self.receivers.get(&key).map_or(0, |r| r.restarts);
        for (me, decision_fence) in holders {
            self.last_order_number += 1;
            let order = TestOrder {
                number: self.last_order_number,
                decision_fence,
            };
            let request = Event::Request {
                scope: scope.clone(),
                target: target.clone(),
                target_incarnation: Incarnation(1 + restarts),
                order,
            };
            self.feed(me, request);
        }
    }

    fn list_vms(&mut self) {
        self.network.after(TICK * 10, Item::ListVms);
        let present: Vec<Holder> = self.instances.values().map(|i| i.me).collect();
        for to in &present {
            self.feed(*to, Event::Vms(self.listed.clone()));
            for other in &present {
                if self.rng.random_bool(0.5) {
                    self.feed(*to, Event::VmIncarnation(*other));
                }
            }
        }
    }

    /// Pauses, kills, shuts down or restarts a vm.
    fn fault(&mut self) {
        if self.faults_are_over() {
            return;
        }
        let gap = Duration::from_millis(self.rng.random_range(500..12_000));
        self.network.after(gap, Item::Fault);
        let vms: Vec<VmId> = self.instances.keys().copied().collect();
        let vm = vms[self.rng.random_range(0..vms.len())];
        let now = self.network.now();
        match self.rng.random_range(0..5) {
            0 | 1 => {
                let pause = Duration::from_millis(self.rng.random_range(100..25_000));
                if let Some(instance) = self.instances.get_mut(&vm) {
                    instance.paused_until = instance.paused_until.max(now + pause);
                }
            }
            2 if vms.len() > 2 => {
                self.instances.remove(&vm);
                self.network.after(LIST_LAG, Item::Unlist(vm));
            }
            3 if vms.len() > 2 => {
                if let Some(instance) = self.instances.get_mut(&vm) {
                    instance.shutting_down = true;
                    let me = instance.me;
                    self.feed(me, Event::Shutdown);
                }
            }
            _ => {
                // The old process has ended, and the new one starts later.
                if let Some(instance) = self.instances.get_mut(&vm) {
                    instance.paused_until = Duration::MAX;
                    instance.me.incarnation.0 += 1;
                }
                self.network.after(TICK * 20, Item::Join(vm));
            }
        }
    }

    fn restart_target(&mut self) {
        if self.faults_are_over() {
            return;
        }
        let gap = Duration::from_millis(self.rng.random_range(3000..20_000));
        self.network.after(gap, Item::RestartTarget);
        let target = format!("t{}", self.rng.random_range(0..TARGETS));
        let key = (engines("unfenced"), target);
        let Some(receiver) = self.receivers.get_mut(&key) else {
            return;
        };
        receiver.restart();
        let event = Event::TargetIncarnation {
            scope: key.0,
            target: key.1,
            incarnation: Incarnation(1 + receiver.restarts),
        };
        let all: Vec<Holder> = self.instances.values().map(|i| i.me).collect();
        for to in all {
            self.feed(to, event.clone());
        }
    }
}

fn sent(command: &OrderCommand, result: SendResult) -> Option<OrderEvent> {
    let Command::Send {
        scope,
        target,
        order_id,
        ..
    } = command
    else {
        return None;
    };
    Some(Event::Sent {
        scope: scope.clone(),
        target: target.clone(),
        order_id: *order_id,
        result,
    })
}

/// Outages of the store, some of them longer than the time to live of a lease.
fn outages(rng: &mut SmallRng, fault_period: Duration) -> Vec<(Duration, Duration)> {
    let count = rng.random_range(0..4);
    let outage = |_| {
        let from = fault_period.mul_f64(rng.random::<f64>());
        (
            from,
            from + Duration::from_millis(rng.random_range(300..15_000)),
        )
    };
    (0..count).map(outage).collect()
}
