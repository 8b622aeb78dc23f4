//! Simulation of several vms with `Authority`, `UsageMeter` and `WindowCloser` machines, a store,
//! and a platform that receives usage reports.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::authority::{
    Authority, AuthorityConfig, Command, Event, Holder, Scope, SendResult,
};
use jujubebeam_core::store::{CallToken, StoreOp, StoreReply};
use jujubebeam_core::usage::{
    CloserCommand, CloserEvent, Counts, FrozenWindow, MeterCommand, MeterEvent, UsageConfig,
    UsageFaults, UsageMeter, UsagePeer, WindowCloser,
};
use jujubebeam_core::{Incarnation, Machine, VmId, WorkspaceId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::network::{Link, Network};
use super::store_model::{StoreLink, StoreModel};

type UsageCommand = Command<FrozenWindow>;

const TICK: Duration = Duration::from_millis(100);
const LIST_LAG: Duration = Duration::from_secs(3);
/// Time between two rounds of faults. In each round, one vm is killed, or vms are paused or
/// partitioned for at most 20 s. So a second vm is lost only after the copies of the records of the
/// first one were restored.
const FAULT_ROUND: Duration = Duration::from_secs(30);
const WORKSPACES: u64 = 4;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct UsageWorldConfig {
    pub(crate) seed: u64,
    pub(crate) faults: UsageFaults,
    pub(crate) kills: bool,
    pub(crate) fault_period: Duration,
    pub(crate) recovery_period: Duration,
}

impl UsageWorldConfig {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            faults: UsageFaults::default(),
            kills: seed.is_multiple_of(2),
            fault_period: Duration::from_secs(180),
            recovery_period: Duration::from_secs(140),
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageRun {
    /// Usage of all served requests.
    pub(crate) served: BTreeMap<String, Counts>,
    /// Usage that was acknowledged.
    pub(crate) acknowledged: BTreeMap<String, Counts>,
    /// All reports in the order of their arrival.
    pub(crate) reports: Vec<FrozenWindow>,
    pub(crate) kills: u64,
    pub(crate) acquisitions: u64,
    /// Number of frozen windows in the store at the end.
    pub(crate) kept_windows: usize,
}

enum Item {
    Tick(VmId),
    Call(Holder, CallToken, StoreOp, Option<Duration>, bool),
    Authority(Holder, Event<FrozenWindow>),
    Closer(Holder, CloserEvent),
    Meter(Holder, MeterEvent),
    Arrive(Holder, UsageCommand, Option<Duration>),
    Wake(Holder),
    Serve,
    List,
    FaultRound,
    Join,
}

struct Instance {
    me: Holder,
    zone: String,
    authority: Authority<FrozenWindow>,
    meter: UsageMeter,
    closer: WindowCloser,
    paused_until: Duration,
    partitioned_until: Duration,
    inbox: Vec<Item>,
    tickets: BTreeMap<u64, (String, Counts)>,
}

/// The simulated fleet, its store and the platform.
pub(crate) struct UsageWorld {
    config: UsageWorldConfig,
    usage: UsageConfig,
    rng: SmallRng,
    network: Network<Item>,
    store: StoreModel,
    store_link: StoreLink,
    link: Link,
    instances: BTreeMap<VmId, Instance>,
    listed: BTreeMap<VmId, String>,
    next_vm_id: u32,
    last_ticket_id: u64,
    run: UsageRun,
}

/// Runs one seed.
pub(crate) fn run(config: UsageWorldConfig) -> UsageRun {
    let end = config.fault_period + config.recovery_period;
    let mut world = UsageWorld::new(config);
    while let Some(item) = world.network.next_before(end) {
        world.handle(item);
    }
    world.run.kept_windows = world.store.list("usage/").len();
    world.run
}

fn name(workspace: u64) -> String {
    format!("team/w{workspace}")
}

impl UsageWorld {
    fn new(config: UsageWorldConfig) -> Self {
        let usage = UsageConfig {
            window: Duration::from_secs(20),
            faults: config.faults,
            keep_windows: 3,
            ..UsageConfig::default()
        };
        let outage = Duration::from_secs(40);
        let mut world = Self {
            rng: SmallRng::seed_from_u64(config.seed),
            usage,
            network: Network::default(),
            store: StoreModel::default(),
            store_link: StoreLink {
                longest: Duration::from_millis(600),
                timeout: Duration::from_millis(800),
                lost_before: 0.03,
                lost_after: 0.05,
                late_effect: 0.02,
                outages: vec![(outage, outage + Duration::from_secs(config.seed % 12))],
            },
            link: Link {
                shortest: Duration::from_millis(1),
                longest: Duration::from_millis(600),
                loss: 0.1,
            },
            instances: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_vm_id: 1,
            last_ticket_id: 0,
            run: UsageRun::default(),
            config,
        };
        for _ in 0..world.rng.random_range(4..=6) {
            world.join();
        }
        for item in [Item::Serve, Item::List] {
            world.network.after(TICK, item);
        }
        world.network.after(FAULT_ROUND / 3, Item::FaultRound);
        world
    }

    fn faults_are_over(&self) -> bool {
        self.network.now() >= self.config.fault_period
    }

    fn join(&mut self) {
        let vm = VmId(self.next_vm_id);
        let zone = format!("z{}", self.next_vm_id % 3);
        self.next_vm_id += 1;
        let me = Holder {
            vm,
            incarnation: Incarnation(1),
        };
        let config = AuthorityConfig {
            seed: self.rng.random(),
            ..AuthorityConfig::default()
        };
        let mut authority = Authority::new(me, config);
        let acquire = Event::Acquire {
            scope: Scope::Usage,
            checks_fencing: false,
        };
        authority.step(acquire, Duration::ZERO, &mut Vec::new());
        let mut closer = WindowCloser::new(vm, self.usage);
        let names = (0..WORKSPACES).map(|w| (WorkspaceId(w), name(w)));
        let names = CloserEvent::Names(names.collect());
        closer.step(names, Duration::ZERO, &mut Vec::new());
        let instance = Instance {
            me,
            zone: zone.clone(),
            authority,
            meter: UsageMeter::new(me, zone.clone(), self.usage),
            closer,
            paused_until: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            inbox: Vec::new(),
            tickets: BTreeMap::new(),
        };
        self.instances.insert(vm, instance);
        self.listed.insert(vm, zone);
        self.network.after(TICK, Item::Tick(vm));
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Tick(vm) => {
                let Some(me) = self.instances.get(&vm).map(|i| i.me) else {
                    return;
                };
                self.network.after(TICK, Item::Tick(vm));
                self.wake(me);
            }
            Item::Call(from, token, op, answer, closer) => {
                let reply = self.store.perform(op, self.network.now());
                if let Some(delay) = answer {
                    self.network
                        .after(delay, store_reply(from, token, reply, closer));
                }
            }
            Item::Arrive(from, command, answer) => self.arrive(from, command, answer),
            Item::Serve => self.serve(),
            Item::List => self.list(),
            Item::FaultRound => self.fault_round(),
            Item::Join => self.join(),
            Item::Wake(to) => self.wake(to),
            item => self.deliver(item),
        }
    }

    /// Passes an event to its machine, or queues it while the vm is paused.
    fn deliver(&mut self, item: Item) {
        let now = self.network.now();
        let to = match &item {
            Item::Authority(to, _) | Item::Closer(to, _) | Item::Meter(to, _) => *to,
            _ => return,
        };
        let Some(instance) = self.instances.get_mut(&to.vm) else {
            return;
        };
        if now < instance.paused_until {
            instance.inbox.push(item);
            return;
        }
        match item {
            Item::Authority(_, event) => {
                let mut out = Vec::new();
                instance.authority.step(event, now, &mut out);
                out.into_iter().for_each(|c| self.perform(to, c));
            }
            Item::Closer(_, event) => {
                let mut out = Vec::new();
                instance.closer.step(event, now, &mut out);
                out.into_iter().for_each(|c| self.perform_closer(to, c));
            }
            Item::Meter(_, event) => {
                let mut out = Vec::new();
                instance.meter.step(event, now, &mut out);
                out.into_iter().for_each(|c| self.perform_meter(to, c));
            }
            _ => {}
        }
    }

    fn wake(&mut self, to: Holder) {
        let now = self.network.now();
        let Some(instance) = self.instances.get_mut(&to.vm) else {
            return;
        };
        if now < instance.paused_until {
            return;
        }
        for item in std::mem::take(&mut instance.inbox) {
            self.deliver(item);
        }
        let unix = Duration::from_secs(1_000_000) + now + TICK * to.vm.0;
        self.deliver(Item::Authority(to, Event::Tick));
        self.deliver(Item::Meter(to, MeterEvent::Tick { unix }));
        self.deliver(Item::Closer(to, CloserEvent::Tick { unix }));
    }

    fn call(&mut self, from: Holder, token: CallToken, op: StoreOp, closer: bool) {
        let mut delays = self.store_link.delays(self.network.now(), &mut self.rng);
        if self.faults_are_over() {
            delays.effect = Some(TICK / 10);
            delays.answer = Some(TICK / 10);
        }
        if delays.effect.is_none() || delays.answer.is_none() {
            let unknown = store_reply(from, token, StoreReply::Unknown, closer);
            self.network.after(self.store_link.timeout, unknown);
        }
        if let Some(delay) = delays.effect {
            let call = Item::Call(from, token, op, delays.answer, closer);
            self.network.after(delay, call);
        }
    }

    fn perform(&mut self, me: Holder, command: UsageCommand) {
        match command {
            Command::Store(call) => self.call(me, call.token, call.op, false),
            Command::Acquired(_, fence) => {
                self.run.acquisitions += 1;
                self.deliver(Item::Closer(me, CloserEvent::Held(Some(fence))));
            }
            Command::Lost(_) => self.deliver(Item::Closer(me, CloserEvent::Held(None))),
            Command::Refused { order, .. } => {
                let event = CloserEvent::NotReported(order.window);
                self.deliver(Item::Closer(me, event));
            }
            Command::Finished { order, .. } => {
                self.deliver(Item::Closer(me, CloserEvent::Reported(order.window)));
            }
            Command::Send { .. } => self.send(me, command),
        }
    }

    fn send(&mut self, me: Holder, command: UsageCommand) {
        let mut pause = Duration::ZERO;
        if !self.faults_are_over() && self.rng.random_bool(0.05) {
            pause = Duration::from_millis(self.rng.random_range(500..12_000));
            let until = self.network.now() + pause;
            if let Some(instance) = self.instances.get_mut(&me.vm) {
                instance.paused_until = instance.paused_until.max(until);
            }
        }
        let request_delay = self.link.delay(&mut self.rng);
        let answer_delay = self.link.delay(&mut self.rng);
        let timeout = Duration::from_millis(800);
        let answer_arrives =
            matches!((request_delay, answer_delay), (Some(a), Some(b)) if a + b < timeout);
        if !answer_arrives {
            let event = sent(&command, SendResult::Unknown);
            self.network
                .after(pause + timeout, Item::Authority(me, event));
        }
        if let Some(delay) = request_delay {
            let answer_delay = answer_delay.filter(|_| answer_arrives);
            self.network
                .after(pause + delay, Item::Arrive(me, command, answer_delay));
        }
    }

    fn arrive(&mut self, from: Holder, command: UsageCommand, answer: Option<Duration>) {
        let Command::Send { order, .. } = &command else {
            return;
        };
        self.run.reports.push(order.clone());
        if let Some(delay) = answer {
            let event = sent(&command, SendResult::Accepted);
            self.network.after(delay, Item::Authority(from, event));
        }
    }

    fn perform_closer(&mut self, me: Holder, command: CloserCommand) {
        match command {
            CloserCommand::Store(call) => self.call(me, call.token, call.op, true),
            CloserCommand::Send(to, message) => {
                let event = MeterEvent::Message(me.vm, message);
                self.message(me.vm, to, |holder| Item::Meter(holder, event));
            }
            CloserCommand::Report(order) => {
                let request = Event::Request {
                    scope: Scope::Usage,
                    target: "platform".into(),
                    target_incarnation: Incarnation(0),
                    order,
                };
                self.deliver(Item::Authority(me, request));
            }
        }
    }

    fn perform_meter(&mut self, me: Holder, command: MeterCommand) {
        match command {
            MeterCommand::Send(to, message) => {
                let closer = CloserEvent::Message(me.vm, message.clone());
                self.message(me.vm, to, |holder| Item::Closer(holder, closer));
                let meter = MeterEvent::Message(me.vm, message);
                self.message(me.vm, to, |holder| Item::Meter(holder, meter));
            }
            MeterCommand::Acknowledged(ticket) => {
                let instance = self.instances.get_mut(&me.vm);
                if let Some((name, counts)) = instance.and_then(|i| i.tickets.remove(&ticket)) {
                    self.run.acknowledged.entry(name).or_default().add(counts);
                }
            }
            MeterCommand::WakeAfter(delay) => self.network.after(delay, Item::Wake(me)),
        }
    }

    fn message(&mut self, from: VmId, to: VmId, item: impl FnOnce(Holder) -> Item) {
        let now = self.network.now();
        let is_partitioned = |vm| {
            let instance = self.instances.get(&vm);
            instance.is_none_or(|i: &Instance| now < i.partitioned_until)
        };
        if from != to && (is_partitioned(from) || is_partitioned(to)) {
            return;
        }
        let Some(holder) = self.instances.get(&to).map(|i| i.me) else {
            return;
        };
        if let Some(delay) = self.link.delay(&mut self.rng) {
            self.network.after(delay, item(holder));
        }
    }

    fn serve(&mut self) {
        if self.faults_are_over() {
            return;
        }
        self.network.after(TICK, Item::Serve);
        let now = self.network.now();
        let index = self.rng.random_range(0..self.instances.len());
        let Some(instance) = self.instances.values_mut().nth(index) else {
            return;
        };
        if now < instance.paused_until {
            return;
        }
        let workspace = self.rng.random_range(0..WORKSPACES);
        let counts = Counts {
            requests: 1,
            prompt_tokens: self.rng.random_range(1..1000),
            output_tokens: self.rng.random_range(1..100),
        };
        self.last_ticket_id += 1;
        let ticket = self.last_ticket_id;
        instance.tickets.insert(ticket, (name(workspace), counts));
        let me = instance.me;
        self.run
            .served
            .entry(name(workspace))
            .or_default()
            .add(counts);
        let event = MeterEvent::Record {
            ticket,
            workspace: WorkspaceId(workspace),
            counts,
        };
        self.deliver(Item::Meter(me, event));
    }

    fn list(&mut self) {
        self.network.after(TICK * 10, Item::List);
        let holders: Vec<Holder> = self.instances.values().map(|i| i.me).collect();
        let peers = self.listed.iter().map(|(vm, zone)| UsagePeer {
            vm: *vm,
            zone: zone.clone(),
        });
        let peers: Vec<UsagePeer> = peers.collect();
        let vms: Vec<VmId> = self.listed.keys().copied().collect();
        for to in holders {
            self.deliver(Item::Meter(to, MeterEvent::Peers(peers.clone())));
            self.deliver(Item::Closer(to, CloserEvent::Vms(vms.clone())));
            self.deliver(Item::Authority(to, Event::Vms(vms.clone())));
        }
        // A killed vm is removed from the list with a delay.
        let removed: Vec<VmId> = vms
            .into_iter()
            .filter(|v| !self.instances.contains_key(v))
            .collect();
        if removed.iter().any(|_| {
            self.rng
                .random_bool(TICK.as_secs_f64() * 10.0 / LIST_LAG.as_secs_f64())
        }) {
            removed.iter().for_each(|vm| {
                self.listed.remove(vm);
            });
        }
    }

    fn fault_round(&mut self) {
        if self.network.now() + FAULT_ROUND >= self.config.fault_period {
            return;
        }
        self.network.after(FAULT_ROUND, Item::FaultRound);
        let vms: Vec<VmId> = self.instances.keys().copied().collect();
        let vm = vms[self.rng.random_range(0..vms.len())];
        if self.config.kills && self.rng.random_bool(0.6) {
            self.instances.remove(&vm);
            self.run.kills += 1;
            self.network.after(LIST_LAG * 2, Item::Join);
            return;
        }
        let now = self.network.now();
        for vm in vms {
            let length = Duration::from_millis(self.rng.random_range(100..20_000));
            let Some(instance) = self.instances.get_mut(&vm) else {
                continue;
            };
            match self.rng.random_range(0..4) {
                0 => instance.paused_until = now + length,
                1 => instance.partitioned_until = now + length,
                _ => {}
            }
        }
    }
}

fn store_reply(to: Holder, token: CallToken, reply: StoreReply, closer: bool) -> Item {
    match closer {
        true => Item::Closer(to, CloserEvent::Store(token, reply)),
        false => Item::Authority(to, Event::Store(token, reply)),
    }
}

fn sent(command: &UsageCommand, result: SendResult) -> Event<FrozenWindow> {
    match command {
        Command::Send {
            scope,
            target,
            order_id,
            ..
        } => Event::Sent {
            scope: scope.clone(),
            target: target.clone(),
            order_id: *order_id,
            result,
        },
        _ => Event::Tick,
    }
}

/// Returns the violations in the reports of a run.
pub(crate) fn violations(run: &UsageRun) -> Vec<String> {
    let mut found = Vec::new();
    let mut windows: BTreeMap<u64, &FrozenWindow> = BTreeMap::new();
    for report in &run.reports {
        let first = windows.entry(report.window).or_insert(report);
        if first.workspaces != report.workspaces {
            found.push(format!("window {} has two figures", report.window));
        }
    }
    let mut billed: BTreeMap<String, Counts> = BTreeMap::new();
    for (name, counts) in windows.values().flat_map(|w| &w.workspaces) {
        billed.entry(name.clone()).or_default().add(*counts);
    }
    for (name, served) in &run.served {
        let billed = billed.get(name).copied().unwrap_or_default();
        let acknowledged = run.acknowledged.get(name).copied().unwrap_or_default();
        if exceeds(&billed, served) {
            found.push(format!("{name} is billed {billed:?} for {served:?}"));
        }
        if exceeds(&acknowledged, &billed) {
            found.push(format!("{name} lost: {billed:?} of {acknowledged:?}"));
        }
        if run.kills == 0 && billed != *served {
            found.push(format!("{name} differs: {billed:?} for {served:?}"));
        }
    }
    found
}

fn exceeds(a: &Counts, b: &Counts) -> bool {
    a.requests > b.requests
        || a.prompt_tokens > b.prompt_tokens
        || a.output_tokens > b.output_tokens
}
