//! Several `PlannedChanges` machines with targets, a lease, pauses, kills and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::authority::{Holder, Scope};
use jujubebeam_core::change::{
    ChangeCommand, ChangeConfig, ChangeEvent, ChangeFaults, ChangeMessage, PlannedChanges,
};
use jujubebeam_core::{Fence, Incarnation, Machine, TargetId, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::change_history::{Happened, History};
use super::network::{Link, Network};

const TICK: Duration = Duration::from_millis(100);
const LEASE: Duration = Duration::from_secs(6);
const MARGIN: Duration = Duration::from_secs(1);
const LIST_LAG: Duration = Duration::from_secs(3);
const AWAY: Duration = Duration::from_secs(2);
const TARGETS: u64 = 3;
const LINK: Link = Link {
    shortest: Duration::from_millis(1),
    longest: Duration::from_millis(1500),
    loss: 0.1,
};

/// What a run gave.
#[derive(Default)]
pub(crate) struct ChangeRun {
    pub(crate) history: History,
    pub(crate) orders: u64,
    pub(crate) calm_orders: u64,
    pub(crate) postponed: u64,
    pub(crate) takeovers: u64,
    pub(crate) late_sends: u64,
    pub(crate) crashes_in_order: u64,
    /// Requests that were sent in the last seconds, by target.
    pub(crate) last_work: BTreeMap<TargetId, u64>,
}

enum Item {
    Tick(VmId),
    Deliver(VmId, Holder, ChangeMessage),
    Event(Holder, ChangeEvent),
    Work,
    Over(u64),
    Record(Holder, TargetId, Fence),
    Arrive(Holder, TargetId, u64, Fence),
    Serves(TargetId, u64),
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
    known: BTreeSet<u64>,
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
    /// Time at which a vm came into the list, and at which it ended.
    listed: BTreeMap<VmId, (Duration, Option<Duration>)>,
    targets: BTreeMap<TargetId, Target>,
    requests: BTreeMap<u64, (Holder, TargetId)>,
    lease: Option<Lease>,
    intents: BTreeMap<TargetId, Intent>,
    next: u64,
    stormy: Duration,
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
            known: BTreeSet::new(),
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
            next: 0,
            stormy: Duration::from_secs(150),
            end: Duration::from_secs(240),
            run: ChangeRun::default(),
        };
        for vm in 1..=world.rng.random_range(3..=6) {
            world.start(VmId(vm));
        }
        for item in [Item::Work, Item::Begin, Item::Fault] {
            world.network.after(TICK, item);
        }
        world
    }

    fn now(&self) -> Duration {
        self.network.now()
    }

    fn is_calm(&self) -> bool {
        self.now() >= self.stormy
    }

    fn start(&mut self, vm: VmId) {
        self.next += 1;
        let me = Holder {
            vm,
            incarnation: Incarnation(self.next),
        };
        let config = ChangeConfig {
            faults: self.faults,
            ..ChangeConfig::default()
        };
        let fresh = Vm {
            me,
            changes: PlannedChanges::new(me, config),
            paused_until: Duration::ZERO,
        };
        self.vms.insert(vm, fresh);
        let now = self.now();
        self.listed.entry(vm).or_insert((now, None)).1 = None;
        self.network.after(TICK, Item::Tick(vm));
    }

    /// Vms as the lagging list shows them.
    fn list(&self, own: VmId) -> Vec<VmId> {
        let now = self.now();
        let shown = self.listed.iter().filter(|(vm, (from, until))| {
            let known = **vm == own || now < LIST_LAG || now >= *from + LIST_LAG;
            known && until.is_none_or(|u| now < u + LIST_LAG)
        });
        shown.map(|(vm, _)| *vm).collect()
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Tick(vm) => self.tick(vm),
            Item::Deliver(to, from, message) => self.deliver(to, from, message),
            Item::Event(to, event) => self.event(to, event),
            Item::Work => self.work(),
            Item::Over(request) => self.over(request),
            Item::Record(by, target, fence) => self.record(by, target, fence),
            Item::Arrive(from, target, id, fence) => self.arrive(from, target, id, fence),
            Item::Serves(target, id) => self.serves(target, id),
            Item::Begin => self.begin(),
            Item::Fault => self.fault(),
            Item::Start(vm) => self.start(vm),
        }
    }

    /// Time until a paused vm runs again.
    fn pause_left(&self, vm: VmId) -> Option<Duration> {
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
                    if let Some(delay) = LINK.delay(&mut self.rng) {
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
        if let Some(left) = self.pause_left(to) {
            return self.network.after(left, Item::Deliver(to, from, message));
        }
        self.step(to, ChangeEvent::VmIncarnation(from));
        self.step(to, ChangeEvent::Message { from, message });
    }

    fn event(&mut self, to: Holder, event: ChangeEvent) {
        if let Some(left) = self.pause_left(to.vm) {
            return self.network.after(left, Item::Event(to, event));
        }
        if self.vms.get(&to.vm).is_some_and(|vm| vm.me == to) {
            self.step(to.vm, event);
        }
    }

    fn tick(&mut self, vm: VmId) {
        if let Some(left) = self.pause_left(vm) {
            return self.network.after(left, Item::Tick(vm));
        }
        let Some(me) = self.vms.get(&vm).map(|v| v.me) else {
            return;
        };
        self.network.after(TICK, Item::Tick(vm));
        self.lead(me);
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

    /// Takes or renews the lease.
    fn lead(&mut self, me: Holder) {
        let now = self.now();
        if let Some(lease) = self.lease.as_mut().filter(|l| now < l.until) {
            if lease.holder == me {
                lease.until = now + LEASE;
            }
            return;
        }
        self.next += 1;
        self.run.takeovers += u64::from(!self.intents.is_empty());
        self.lease = Some(Lease {
            holder: me,
            fence: Fence(self.next),
            until: now + LEASE,
        });
    }

    /// Fence of a vm that believes to hold the lease.
    fn fence(&self, me: Holder) -> Option<Fence> {
        let lease = self.lease.as_ref()?;
        let holds = lease.holder == me && self.now() + MARGIN < lease.until;
        holds.then_some(lease.fence)
    }

    fn record(&mut self, by: Holder, target: TargetId, fence: Fence) {
        if let Some(left) = self.pause_left(by.vm) {
            return self.network.after(left, Item::Record(by, target, fence));
        }
        let guarded = self.fence(by) == Some(fence);
        if !guarded || self.intents.contains_key(&target) {
            return self.event(by, ChangeEvent::Ended(target));
        }
        self.next += 1;
        let intent = Intent {
            order_id: self.next,
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
            if self.network.now() < self.stormy && self.rng.random_bool(0.2) {
                // The process stops between the check and the send.
                delay = Duration::from_millis(self.rng.random_range(1000..25_000));
                vm.paused_until = self.network.now() + delay;
                self.run.late_sends += 1;
            }
            let item = Item::Arrive(me, target, order_id, fence);
            self.network.after(delay, item);
        }
    }

    fn arrive(&mut self, from: Holder, target: TargetId, order_id: u64, fence: Fence) {
        if self.vms.get(&from.vm).is_none_or(|vm| vm.me != from) {
            return;
        }
        if !self.is_calm() && self.rng.random_bool(0.1) {
            return self.answer(target, order_id, fence, None);
        }
        let now = self.now();
        let at = self.targets.get_mut(&target).expect("targets stay");
        if at.executing.is_some_and(|id| id != order_id) {
            return self.answer(target, order_id, fence, None);
        }
        if at.known.insert(order_id) {
            at.executing = Some(order_id);
            self.run.history.push((now, target, Happened::Ordered));
            self.run.orders += 1;
            self.run.calm_orders += u64::from(now >= self.stormy);
            self.network.after(AWAY, Item::Serves(target, order_id));
        }
        // An order is settled only when the target shows its effect.
        let serves = self.targets[&target].executing.is_none();
        let lost = !self.is_calm() && self.rng.random_bool(0.1);
        self.answer(target, order_id, fence, (serves && !lost).then_some(from));
    }

    /// Settles the intent, or lets it be sent again.
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

    fn serves(&mut self, target: TargetId, order_id: u64) {
        let now = self.now();
        let at = self.targets.get_mut(&target).expect("targets stay");
        if at.executing == Some(order_id) {
            at.executing = None;
            self.run.history.push((now, target, Happened::Serves));
        }
    }

    fn work(&mut self) {
        self.network.after(Duration::from_millis(50), Item::Work);
        let at = self.rng.random_range(0..self.vms.len().max(1));
        let target = TargetId(self.rng.random_range(0..TARGETS));
        let length = Duration::from_millis(self.rng.random_range(50..6000));
        let Some(vm) = self.vms.keys().nth(at).copied() else {
            return;
        };
        if self.pause_left(vm).is_some() {
            return;
        }
        let vm = self.vms.get_mut(&vm).expect("chosen above");
        if !vm.changes.begin_request(target) {
            return;
        }
        let now = self.network.now();
        self.next += 1;
        self.requests.insert(self.next, (vm.me, target));
        let started = Happened::Started(self.next);
        self.run.history.push((now, target, started));
        if now + Duration::from_secs(5) >= self.end {
            *self.run.last_work.entry(target).or_default() += 1;
        }
        self.network.after(length, Item::Over(self.next));
    }

    fn over(&mut self, request: u64) {
        let Some((vm, target)) = self.requests.get(&request).copied() else {
            return;
        };
        if let Some(left) = self.pause_left(vm.vm) {
            return self.network.after(left, Item::Over(request));
        }
        self.forget(request);
        if let Some(vm) = self.vms.get_mut(&vm.vm) {
            vm.changes.end_request(target);
        }
    }

    fn forget(&mut self, request: u64) {
        let now = self.now();
        if let Some((_, target)) = self.requests.remove(&request) {
            self.run
                .history
                .push((now, target, Happened::Over(request)));
        }
    }

    fn begin(&mut self) {
        // The last changes are over before the end, so that each target must get work there.
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
        if self.is_calm() {
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
            self.forget(request);
        }
        let now = self.now();
        if let Some(listed) = self.listed.get_mut(&vm) {
            listed.1 = Some(now);
        }
        // Some vms stay away, so that changes must go on without them.
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
            self.run.history.push((now, target, Happened::Serves));
            if pending == Some(id) {
                // The order has no effect yet and is sent again.
                at.known.remove(&id);
            }
        }
        let of = |(_, (_, t)): &(&u64, &(Holder, TargetId))| *t == target;
        let requests: Vec<u64> = self.requests.iter().filter(of).map(|r| *r.0).collect();
        for request in requests {
            self.run
                .history
                .push((now, target, Happened::Over(request)));
        }
    }
}
