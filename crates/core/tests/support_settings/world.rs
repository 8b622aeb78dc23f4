//! Six vms, their network and the store, driven by one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::settings::replica::{
    ChangeOutcome, ChangeRequest, Command, Event, Message, Omit, Replica, ReplicaConfig,
    ServePermit,
};
use jujubebeam_core::store::{CallToken, Entry, Expected, StoreCall, StoreReply};
use jujubebeam_core::{Machine, Revision, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::check::Checker;
use super::linear::{Operation, Recorder};
use super::ms;
use super::store::Store;

pub(crate) const VMS: u32 = 6;
const STEP: u64 = 10;
const CALL_TIMEOUT: u64 = 800;

pub(crate) struct Vm {
    pub(crate) replica: Replica,
    pub(crate) run: u64,
    pub(crate) paused: bool,
    pub(crate) permit: ServePermit,
    watch: Option<u64>,
}

enum Delivery {
    Event(u32, u64, Event),
    /// Reply to a call, dropped if the call was already answered.
    Reply(u32, u64, CallToken, StoreReply),
    Arrive(u32, u64, StoreCall),
    Watched(u32, u64, u64, (Entry, bool)),
}

/// Faults in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    /// Vms whose messages are all lost in both directions, although membership reports them as live.
    pub(crate) unresponsive: BTreeSet<u32>,
    pub(crate) cut_from_store: BTreeSet<u32>,
    pub(crate) cut_links: BTreeSet<(u32, u32)>,
    pub(crate) store_down: bool,
    pub(crate) store_slow: bool,
    pub(crate) lose_answers: bool,
    pub(crate) loss_percent: u32,
    pub(crate) slow_network: bool,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) rng: SmallRng,
    pub(crate) vms: Vec<Vm>,
    pub(crate) store: Store,
    pub(crate) faults: Faults,
    pub(crate) checker: Checker,
    pub(crate) recorder: Recorder,
    pub(crate) omit: Omit,
    seed: u64,
    queue: BTreeMap<(Duration, u64), Delivery>,
    answered: BTreeSet<(u32, u64, u64)>,
    watches: BTreeMap<u64, (u32, u64)>,
    serial: u64,
}

impl World {
    pub(crate) fn new(seed: u64, omit: Omit) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            vms: Vec::new(),
            store: Store::default(),
            faults: Faults::default(),
            checker: Checker::default(),
            recorder: Recorder::default(),
            omit,
            seed,
            queue: BTreeMap::new(),
            answered: BTreeSet::new(),
            watches: BTreeMap::new(),
            serial: 0,
        };
        for team in 0..3 {
            let key = format!("config/teams/t{team}");
            world.store.put(&key, b"first".to_vec(), Duration::ZERO);
        }
        world.vms = (0..VMS).map(|vm| world.new_vm(vm, 0)).collect();
        world
    }

    fn new_vm(&self, vm: u32, run: u64) -> Vm {
        let config = ReplicaConfig {
            vm: VmId(vm),
            seed: self.seed ^ (u64::from(vm) << 32) ^ (run << 48),
            omit: self.omit,
            // Small pages, so that every exchange of several subtrees needs more than one.
            page_bytes: 24,
            // With the tree, there is a chain of vms below each of two watchers.
            tree_children: 1,
            watchers: if self.omit.pairs { 2 } else { 3 },
            ..ReplicaConfig::default()
        };
        Vm {
            replica: Replica::new(config),
            run,
            paused: false,
            permit: ServePermit::default(),
            watch: None,
        }
    }

    /// Restarts a vm without its earlier state.
    pub(crate) fn restart(&mut self, vm: u32) {
        let run = self.vms[vm as usize].run + 1;
        self.vms[vm as usize] = self.new_vm(vm, run);
        self.checker.restarted(vm);
        self.feed_members(vm);
    }

    pub(crate) fn isolate(&mut self, vm: u32) {
        for other in (0..VMS).filter(|o| *o != vm) {
            self.faults.cut_links.insert(link(vm, other));
        }
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += ms(STEP);
        let ticks = self.now.as_millis() as u64 / STEP;
        let later = self.queue.split_off(&(self.now + ms(1), 0));
        let due = std::mem::replace(&mut self.queue, later);
        for (_, delivery) in due {
            self.deliver(delivery);
        }
        for vm in 0..VMS {
            if ticks % 10 == u64::from(vm) {
                self.feed(vm, Event::Tick);
            }
            if ticks % 100 == u64::from(vm) * 7 {
                self.feed_members(vm);
            }
        }
        if ticks.is_multiple_of(5) {
            self.checker.check_serving(self.now, &self.vms);
        }
    }

    fn feed_members(&mut self, vm: u32) {
        let faults = &self.faults;
        let reachable = (0..VMS).filter(|other| {
            !faults.cut_links.contains(&link(vm, *other)) && !self.vms[*other as usize].paused
        });
        let live = reachable.map(VmId).collect();
        let listed = (0..VMS).map(VmId).collect();
        self.feed(vm, Event::Members { live, listed });
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.serial += 1;
        let key = (self.now + ms(delay), self.serial);
        self.queue.insert(key, delivery);
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (vm, run) = match &delivery {
            Delivery::Arrive(vm, run, call) => {
                let call = call.clone();
                return self.arrive(*vm, *run, call);
            }
            Delivery::Event(vm, run, _)
            | Delivery::Reply(vm, run, ..)
            | Delivery::Watched(vm, run, ..) => (*vm, *run),
        };
        if self.vms[vm as usize].paused {
            // The kernel buffers data that arrives for a stopped process.
            return self.schedule(50, delivery);
        }
        // A peer message reaches the run that listens at the address at that time.
        match delivery {
            Delivery::Event(vm, _, event) => self.feed(vm, event),
            Delivery::Reply(vm, run, token, reply) => {
                if run == self.vms[vm as usize].run && self.answered.insert((vm, run, token.0)) {
                    self.feed(vm, Event::Reply { token, reply });
                }
            }
            Delivery::Watched(_, _, watch, entry) => {
                if run == self.vms[vm as usize].run && self.vms[vm as usize].watch == Some(watch) {
                    let entries = vec![entry];
                    self.feed(vm, Event::Watched { entries });
                }
            }
            Delivery::Arrive(..) => {}
        }
    }

    fn is_store_cut(&self, vm: u32) -> bool {
        self.faults.store_down || self.faults.cut_from_store.contains(&vm)
    }

    fn arrive(&mut self, vm: u32, run: u64, call: StoreCall) {
        if self.is_store_cut(vm) {
            return;
        }
        let before = self.store.log.len();
        let reply = self.store.perform(call.op, self.now);
        let written: Vec<_> = self.store.log[before..].to_vec();
        for write in written {
            let entry = self.store.keys[&write.key].clone();
            self.notify_watches(entry);
        }
        if self.faults.lose_answers && self.rng.random_bool(0.5) {
            return;
        }
        let delay = self.store_delay();
        self.schedule(delay, Delivery::Reply(vm, run, call.token, reply));
    }

    fn notify_watches(&mut self, entry: Entry) {
        for (watch, (vm, run)) in self.watches.clone() {
            if self.is_store_cut(vm) {
                // The connection breaks and the watch ends.
                self.watches.remove(&watch);
                let event = Event::WatchEnded { supported: true };
                self.schedule(1000, Delivery::Event(vm, run, event));
                continue;
            }
            let delay = self.store_delay();
            let changed = (entry.clone(), false);
            self.schedule(delay, Delivery::Watched(vm, run, watch, changed));
        }
    }

    fn store_delay(&mut self) -> u64 {
        let most = if self.faults.store_slow { 1500 } else { 15 };
        self.rng.random_range(1..=most)
    }

    /// Passes an event to a vm and performs the resulting commands.
    pub(crate) fn feed(&mut self, vm: u32, event: Event) {
        if self.vms[vm as usize].paused {
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        let state = &mut self.vms[vm as usize];
        state.replica.step(event, now, &mut out);
        state.permit = state.replica.permit(now);
        for command in out {
            self.perform(vm, command);
        }
    }

    fn perform(&mut self, vm: u32, command: Command) {
        let run = self.vms[vm as usize].run;
        match command {
            Command::Store(call) => {
                self.store.count(Some(&call.op), self.now);
                let unknown = Delivery::Reply(vm, run, call.token, StoreReply::Unknown);
                self.schedule(CALL_TIMEOUT, unknown);
                let delay = self.store_delay();
                self.schedule(delay, Delivery::Arrive(vm, run, call));
            }
            Command::StartWatch { from } => self.start_watch(vm, run, from),
            Command::StopWatch => self.vms[vm as usize].watch = None,
            Command::Send { to, message } => self.send(vm, to.0, message),
            Command::Apply(subtree) => self.checker.applied(vm, &subtree),
            Command::ChangeDone { ticket, outcome } => self.change_done(ticket, outcome),
            Command::StatusDone { revisions, .. } => self.checker.status = revisions,
        }
    }

    fn start_watch(&mut self, vm: u32, run: u64, from: Revision) {
        self.store.count(None, self.now);
        self.serial += 1;
        let watch = self.serial;
        self.vms[vm as usize].watch = Some(watch);
        if self.is_store_cut(vm) {
            let event = Event::WatchEnded { supported: true };
            return self.schedule(100, Delivery::Event(vm, run, event));
        }
        self.watches.insert(watch, (vm, run));
        let missed: Vec<_> = self.store.keys.values().cloned().collect();
        for entry in missed.into_iter().filter(|e| e.modified >= from) {
            let delay = self.store_delay();
            self.schedule(delay, Delivery::Watched(vm, run, watch, (entry, false)));
        }
    }

    fn send(&mut self, from: u32, to: u32, message: Message) {
        let lost = self.rng.random_range(0..100) < self.faults.loss_percent;
        if lost || self.faults.cut_links.contains(&link(from, to)) || self.is_unresponsive(from, to)
        {
            return;
        }
        let most = if self.faults.slow_network { 400 } else { 15 };
        let delay = self.rng.random_range(1..=most);
        let from = VmId(from);
        let event = Event::Peer { from, message };
        self.schedule(delay, Delivery::Event(to, 0, event));
    }

    fn is_unresponsive(&self, from: u32, to: u32) -> bool {
        self.faults.unresponsive.contains(&from) || self.faults.unresponsive.contains(&to)
    }

    /// An operator changes a team at a vm, with the revision that this vm has in force.
    pub(crate) fn change(&mut self, vm: u32, team: u32) -> u64 {
        let subtree = format!("config/teams/t{team}");
        let present = self.vms[vm as usize].replica.revision(&subtree);
        let expected = present.map_or(Expected::Absent, Expected::At);
        self.serial += 1;
        let ticket = self.serial;
        let request = ChangeRequest {
            subtree,
            expected,
            text: Some(format!("text {ticket}")),
        };
        self.recorder.call(ticket, &request, self.now);
        self.feed(vm, Event::Change { ticket, request });
        ticket
    }

    /// An operator reads a team from the store.
    pub(crate) fn read(&mut self, team: u32) {
        let key = format!("config/teams/t{team}");
        let revision = self.store.keys[&key].modified;
        self.recorder.read(&key, revision);
    }

    fn change_done(&mut self, ticket: u64, outcome: ChangeOutcome) {
        let Some(Operation { subtree, .. }) = self.recorder.done(ticket, outcome) else {
            return;
        };
        if let ChangeOutcome::Accepted { revision } = outcome {
            self.checker.accepted(self.now, subtree, revision);
        }
    }
}

pub(crate) fn link(a: u32, b: u32) -> (u32, u32) {
    (a.min(b), a.max(b))
}
