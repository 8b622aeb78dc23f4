//! Simulation of several vms with a `PlannedChanges` machine each, targets and a lease, with pauses,
//! kills and restarts of vms and crashes of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::authority::{Holder, Scope};
use jujubebeam_core::change::{
    ChangeCommand, ChangeConfig, ChangeEvent, ChangeFaults, ChangeMessage, PlannedChanges,
};
use jujubebeam_core::{Fence, Incarnation, Machine, TargetId, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::change_history::{History, TargetEvent};
use super::network::{Link, Network};

const TICK: Duration = Duration::from_millis(100);
const LEASE_TTL: Duration = Duration::from_secs(6);
const MARGIN: Duration = Duration::from_secs(1);
const LIST_LAG: Duration = Duration::from_secs(3);
const ORDER_DURATION: Duration = Duration::from_secs(2);
const TARGETS: u64 = 3;
const PEER_LINK: Link = Link {
    shortest: Duration::from_millis(1),
    longest: Duration::from_millis(1500),
    loss: 0.1,
};

/// Result of a run.
#[derive(Default)]
pub(crate) struct ChangeRun {
    pub(crate) history: History,
    pub(crate) orders: u64,
    pub(crate) orders_after_faults: u64,
    pub(crate) postponed: u64,
    pub(crate) takeovers: u64,
    pub(crate) delayed_sends: u64,
    pub(crate) crashes_in_order: u64,
    /// Number of requests that were sent in the last five seconds, by target.
    pub(crate) final_requests: BTreeMap<TargetId, u64>,
}

enum Item {
    Tick(VmId),
    Deliver(VmId, Holder, ChangeMessage),
    Event(Holder, ChangeEvent),
    SendRequest,
    RequestEnded(u64),
    Record(Holder, TargetId, Fence),
    Arrive(Holder, TargetId, u64, Fence),
    ServingAgain(TargetId, u64),
    Begin,
    Fault,
    Start(VmId),
}

struct Vm {
    me: Holder,
    changes: PlannedChanges,
    paused_until: Duration,
}

struct Target {
    executing: Option<u64>,
    received_orders: BTreeSet<u64>,
}

struct Intent {
    order_id: u64,
    sending: Option<Fence>,
}

struct Lease {
    holder: Holder,
    fence: Fence,
    until: Duration,
}

struct World {
    rng: SmallRng,
    faults: ChangeFaults,
    network: Network<Item>,
    vms: BTreeMap<VmId, Vm>,
    /// Time at which a vm joined, and time at which it ended, if it has.
    listed: BTreeMap<VmId, (Duration, Option<Duration>)>,
    targets: BTreeMap<TargetId, Target>,
    requests: BTreeMap<u64, (Holder, TargetId)>,
    lease: Option<Lease>,
    intents: BTreeMap<TargetId, Intent>,
    last_id: u64,
    fault_period: Duration,
    end: Duration,
    run: ChangeRun,
}

/// Runs one seed.
pub(crate) fn run(seed: u64, faults: ChangeFaults) -> ChangeRun {
    let mut world = World::new(seed, faults);
    while let Some(item) = world.network.next_before(world.end) {
        world.handle(item);
    }
    world.run
}

fn scope() -> Scope {
    Scope::Engines {
        group: "g".into(),
        zone: "a".into(),
    }
}

impl World {
    fn new(seed: u64, faults: ChangeFaults) -> Self {
        let target = || Target {
            executing: None,
            received_orders: BTreeSet::new(),
        };
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            faults,
            network: Network::default(),
            vms: BTreeMap::new(),
            listed: BTreeMap::new(),
            targets: (0..TARGETS).map(|t| (TargetId(t), target())).collect(),
            requests: BTreeMap::new(),
            lease: None,
            intents: BTreeMap::new(),
            last_id: 0,
            fault_period: Duration::from_secs(150),
            end: Duration::from_secs(240),
            run: ChangeRun::default(),
        };
        for vm in 1..=world.rng.random_range(3..=6) {
            world.start(VmId(vm));
        }
        for item in [Item::SendRequest, Item::Begin, Item::Fault] {
            world.network.after(TICK, item);
        }
        world
    }

    fn now(&self) -> Duration {
        self.network.now()
    }

    fn faults_are_over(&self) -> bool {
        self.now() >= self.fault_period
    }

    fn start(&mut self, vm: VmId) {
        self.last_id += 1;
        let me = Holder {
            vm,
            incarnation: Incarnation(self.last_id),
        };
        let config = ChangeConfig {
            faults: self.faults,
            ..ChangeConfig::default()
        };
        let instance = Vm {
            me,
            changes: PlannedChanges::new(me, config),
            paused_until: Duration::ZERO,
        };
        self.vms.insert(vm, instance);
        let now = self.now();
        self.listed.entry(vm).or_insert((now, None)).1 = None;
        self.network.after(TICK, Item::Tick(vm));
    }

    /// The vm list, which lags by `LIST_LAG`, except for the reading vm itself.
    fn list(&self, own: VmId) -> Vec<VmId> {
        let now = self.now();
        let shown = self.listed.iter().filter(|(vm, (from, until))| {
            let joined = **vm == own || now < LIST_LAG || now >= *from + LIST_LAG;
            joined && until.is_none_or(|u| now < u + LIST_LAG)
        });
        shown.map(|(vm, _)| *vm).collect()
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Tick(vm) => self.tick(vm),
            Item::Deliver(to, from, message) => self.deliver(to, from, message),
            Item::Event(to, event) => self.event(to, event),
            Item::SendRequest => self.send_request(),
            Item::RequestEnded(request) => self.request_ended(request),
            Item::Record(by, target, fence) => self.record(by, target, fence),
            Item::Arrive(from, target, id, fence) => self.arrive(from, target, id, fence),
            Item::ServingAgain(target, id) => self.serve_again(target, id),
            Item::Begin => self.begin(),
            Item::Fault => self.fault(),
            Item::Start(vm) => self.start(vm),
        }
    }

    /// Remaining pause of a vm, or `None` if it is not paused.
    fn remaining_pause(&self, vm: VmId) -> Option<Duration> {
        let left = self.vms.get(&vm)?.paused_until.checked_sub(self.now())?;
        (!left.is_zero()).then_some(left)
    }

    fn step(&mut self, vm: VmId, event: ChangeEvent) {
        let now = self.now();
        let Some(instance) = self.vms.get_mut(&vm) else {
            return;
        };
        let mut out = Vec::new();
        instance.changes.step(event, now, &mut out);
        let me = instance.me;
        for command in out {
            self.perform(me, command);
        }
    }

    fn perform(&mut self, me: Holder, command: ChangeCommand) {
        match command {
            ChangeCommand::Send { to, message } => {
                let all = self.list(me.vm).into_iter().filter(|v| *v != me.vm);
                let receivers: Vec<VmId> = to.map_or_else(|| all.collect(), |vm| vec![vm]);
                for to in receivers {
                    if let Some(delay) = PEER_LINK.delay(&mut self.rng) {
                        let item = Item::Deliver(to, me, message.clone());
                        self.network.after(delay, item);
                    }
                }
            }
            ChangeCommand::Ready { target, .. } => {
                let fence = self.lease.as_ref().map_or(Fence(0), |l| l.fence);
                let delay = Duration::from_millis(self.rng.random_range(1..400));
                self.network.after(delay, Item::Record(me, target, fence));
            }
            ChangeCommand::Postponed { .. } => self.run.postponed += 1,
            ChangeCommand::Done(_) => {}
        }
    }

    fn deliver(&mut self, to: VmId, from: Holder, message: ChangeMessage) {
        if let Some(left) = self.remaining_pause(to) {
            return self.network.after(left, Item::Deliver(to, from, message));
        }
        self.step(to, ChangeEvent::VmIncarnation(from));
        self.step(to, ChangeEvent::Message { from, message });
    }

    fn event(&mut self, to: Holder, event: ChangeEvent) {
        if let Some(left) = self.remaining_pause(to.vm) {
            return self.network.after(left, Item::Event(to, event));
        }
        if self.vms.get(&to.vm).is_some_and(|vm| vm.me == to) {
            self.step(to.vm, event);
        }
    }

    fn tick(&mut self, vm: VmId) {
        if let Some(left) = self.remaining_pause(vm) {
            return self.network.after(left, Item::Tick(vm));
        }
        let Some(me) = self.vms.get(&vm).map(|v| v.me) else {
            return;
        };
        self.network.after(TICK, Item::Tick(vm));
        self.acquire_or_renew(me);
        let fence = self.fence(me);
        let intents = self.intents.iter().filter(|_| fence.is_some());
        let pending = intents.map(|(target, _)| *target);
        let held = ChangeEvent::Held {
            scope: scope(),
            fence,
            pending: pending.collect(),
        };
        self.step(vm, ChangeEvent::Vms(self.list(vm)));
        self.step(vm, ChangeEvent::Scopes(vec![scope()]));
        self.step(vm, held);
        self.step(vm, ChangeEvent::Tick);
        if let Some(fence) = fence {
            self.send_orders(me, fence);
        }
    }

    /// Acquires the lease if it is free, or renews it if this vm holds it.
    fn acquire_or_renew(&mut self, me: Holder) {
        let now = self.now();
        if let Some(lease) = self.lease.as_mut().filter(|l| now < l.until) {
            if lease.holder == me {
                lease.until = now + LEASE_TTL;
            }
            return;
        }
        self.last_id += 1;
        self.run.takeovers += u64::from(!self.intents.is_empty());
        self.lease = Some(Lease {
            holder: me,
            fence: Fence(self.last_id),
            until: now + LEASE_TTL,
        });
    }

    /// Fence of the lease if the vm holds it, considering the validity margin.
    fn fence(&self, me: Holder) -> Option<Fence> {
        let lease = self.lease.as_ref()?;
        let holds = lease.holder == me && self.now() + MARGIN < lease.until;
        holds.then_some(lease.fence)
    }

    fn record(&mut self, by: Holder, target: TargetId, fence: Fence) {
        if let Some(left) = self.remaining_pause(by.vm) {
            return self.network.after(left, Item::Record(by, target, fence));
        }
        let guarded = self.fence(by) == Some(fence);
        if !guarded || self.intents.contains_key(&target) {
            return self.event(by, ChangeEvent::Ended(target));
        }
        self.last_id += 1;
        let intent = Intent {
            order_id: self.last_id,
            sending: None,
        };
        self.intents.insert(target, intent);
    }

    fn send_orders(&mut self, me: Holder, fence: Fence) {
        let ids: Vec<TargetId> = self.intents.keys().copied().collect();
        for target in ids {
            let Some(vm) = self.vms.get_mut(&me.vm) else {
                return;
            };
            let intent = self.intents.get_mut(&target).expect("listed above");
            if intent.sending == Some(fence) || !vm.changes.may_send(target) {
                continue;
            }
            intent.sending = Some(fence);
            let order_id = intent.order_id;
            let mut delay = Duration::from_millis(self.rng.random_range(1..300));
            if self.network.now() < self.fault_period && self.rng.random_bool(0.2) {
                // The process pauses between the check and the send.
                delay = Duration::from_millis(self.rng.random_range(1000..25_000));
                vm.paused_until = self.network.now() + delay;
                self.run.delayed_sends += 1;
            }
            let item = Item::Arrive(me, target, order_id, fence);
            self.network.after(delay, item);
        }
    }

    fn arrive(&mut self, from: Holder, target: TargetId, order_id: u64, fence: Fence) {
        if self.vms.get(&from.vm).is_none_or(|vm| vm.me != from) {
            return;
        }
        if !self.faults_are_over() && self.rng.random_bool(0.1) {
            return self.answer(target, order_id, fence, None);
        }
        let now = self.now();
        let at = self.targets.get_mut(&target).expect("targets stay");
        if at.executing.is_some_and(|id| id != order_id) {
            return self.answer(target, order_id, fence, None);
        }
        if at.received_orders.insert(order_id) {
            at.executing = Some(order_id);
            self.run
                .history
                .push((now, target, TargetEvent::OrderStarted));
            self.run.orders += 1;
            self.run.orders_after_faults += u64::from(now >= self.fault_period);
            self.network
                .after(ORDER_DURATION, Item::ServingAgain(target, order_id));
        }
        // An order is settled only once the target reports its effect.
        let is_serving = self.targets[&target].executing.is_none();
        let answer_lost = !self.faults_are_over() && self.rng.random_bool(0.1);
        self.answer(
            target,
            order_id,
            fence,
            (is_serving && !answer_lost).then_some(from),
        );
    }

    /// Settles the intent if `to` got an answer; otherwise the intent is sent again.
    fn answer(&mut self, target: TargetId, order_id: u64, fence: Fence, to: Option<Holder>) {
        let current = self.lease.as_ref().is_some_and(|l| l.fence == fence);
        let intent = self.intents.get_mut(&target);
        let Some(intent) = intent.filter(|i| current && i.order_id == order_id) else {
            return;
        };
        intent.sending = None;
        if let Some(to) = to {
            self.intents.remove(&target);
            self.event(to, ChangeEvent::Ended(target));
        }
    }

    fn serve_again(&mut self, target: TargetId, order_id: u64) {
        let now = self.now();
        let at = self.targets.get_mut(&target).expect("targets stay");
        if at.executing == Some(order_id) {
            at.executing = None;
            self.run
                .history
                .push((now, target, TargetEvent::ServingAgain));
        }
    }

    fn send_request(&mut self) {
        self.network
            .after(Duration::from_millis(50), Item::SendRequest);
        let at = self.rng.random_range(0..self.vms.len().max(1));
        let target = TargetId(self.rng.random_range(0..TARGETS));
        let length = Duration::from_millis(self.rng.random_range(50..6000));
        let Some(vm) = self.vms.keys().nth(at).copied() else {
            return;
        };
        if self.remaining_pause(vm).is_some() {
            return;
        }
        let vm = self.vms.get_mut(&vm).expect("chosen above");
        if !vm.changes.begin_request(target) {
            return;
        }
        let now = self.network.now();
        self.last_id += 1;
        self.requests.insert(self.last_id, (vm.me, target));
        let started = TargetEvent::RequestStarted(self.last_id);
        self.run.history.push((now, target, started));
        if now + Duration::from_secs(5) >= self.end {
            *self.run.final_requests.entry(target).or_default() += 1;
        }
        self.network.after(length, Item::RequestEnded(self.last_id));
    }

    fn request_ended(&mut self, request: u64) {
        let Some((vm, target)) = self.requests.get(&request).copied() else {
            return;
        };
        if let Some(left) = self.remaining_pause(vm.vm) {
            return self.network.after(left, Item::RequestEnded(request));
        }
        self.remove_request(request);
        if let Some(vm) = self.vms.get_mut(&vm.vm) {
            vm.changes.end_request(target);
        }
    }

    fn remove_request(&mut self, request: u64) {
        let now = self.now();
        if let Some((_, target)) = self.requests.remove(&request) {
            self.run
                .history
                .push((now, target, TargetEvent::RequestEnded(request)));
        }
    }

    fn begin(&mut self) {
        // The last changes end before the run does, so that each target must get requests again.
        if self.now() + Duration::from_secs(40) >= self.end {
            return;
        }
        self.network.after(Duration::from_secs(2), Item::Begin);
        let target = TargetId(self.rng.random_range(0..TARGETS));
        let Some(holder) = self.lease.as_ref().map(|l| l.holder) else {
            return;
        };
        let event = ChangeEvent::Begin {
            scope: scope(),
            target,
            longest_wait: Duration::from_secs(20),
        };
        self.event(holder, event);
    }

    fn fault(&mut self) {
        if self.faults_are_over() {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(500..6000));
        self.network.after(delay, Item::Fault);
        let at = self.rng.random_range(0..self.vms.len().max(1));
        let vm = self.vms.keys().nth(at).copied();
        match (self.rng.random_range(0..5), vm) {
            (0 | 1, Some(vm)) => self.kill(vm),
            (2, Some(vm)) => {
                let length = Duration::from_millis(self.rng.random_range(200..15_000));
                let now = self.now();
                let vm = self.vms.get_mut(&vm).expect("chosen above");
                vm.paused_until = vm.paused_until.max(now + length);
            }
            (3, _) if self.listed.len() < 9 => self.start(VmId(self.listed.len() as u32 + 1)),
            _ => self.crash_target(),
        }
    }

    fn kill(&mut self, vm: VmId) {
        let Some(killed) = self.vms.remove(&vm) else {
            return;
        };
        let of = |(_, (by, _)): &(&u64, &(Holder, TargetId))| *by == killed.me;
        let requests: Vec<u64> = self.requests.iter().filter(of).map(|r| *r.0).collect();
        for request in requests {
            self.remove_request(request);
        }
        let now = self.now();
        if let Some(listed) = self.listed.get_mut(&vm) {
            listed.1 = Some(now);
        }
        // Some vms do not restart, so that changes must proceed without them.
        if self.vms.len() > 2 && self.rng.random_bool(0.2) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(100..8000));
        self.network.after(delay, Item::Start(vm));
    }

    fn crash_target(&mut self) {
        let target = TargetId(self.rng.random_range(0..TARGETS));
        let now = self.now();
        let pending = self.intents.get(&target).map(|i| i.order_id);
        let at = self.targets.get_mut(&target).expect("targets stay");
        if let Some(id) = at.executing.take() {
            self.run.crashes_in_order += 1;
            self.run
                .history
                .push((now, target, TargetEvent::ServingAgain));
            if pending == Some(id) {
                // The order has had no effect yet and is sent again.
                at.received_orders.remove(&id);
            }
        }
        let of = |(_, (_, t)): &(&u64, &(Holder, TargetId))| *t == target;
        let requests: Vec<u64> = self.requests.iter().filter(of).map(|r| *r.0).collect();
        for request in requests {
            self.run
                .history
                .push((now, target, TargetEvent::RequestEnded(request)));
        }
    }
}
