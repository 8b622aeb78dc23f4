//! Settings distribution and its store calls.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::settings::replica::{
    ChangeRequest, Command, Event, Message, Replica, ReplicaConfig,
};
use jujubebeam_core::store::{CallToken, Entry, Expected, StoreOp, StoreReply};
use jujubebeam_core::{Machine, Revision, VmId};

use super::exchange::Allowance;
use super::row::Row;
use super::world::{World, encoded_bytes, resident_bytes};

const WORKSPACES_PER_TEAM: usize = 40;
/// Size of one workspace in a team's document.
const WORKSPACE_BYTES: usize = 300;
const WARM_UP: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    calls: u64,
}

enum Delivery {
    /// An event, and whether what it causes can travel back in the same exchange.
    Event(Event, bool),
    Call(CallToken, StoreOp),
}

struct Fleet {
    world: World<Delivery>,
    replicas: Vec<Replica>,
    store: Store,
    watches: Vec<usize>,
    resident_bytes: u64,
    /// Vms that neither send nor receive while the others still take them for live.
    silent: Vec<bool>,
    store_down: bool,
    /// Most vms that refused keyed requests at the same time, silent ones not counted.
    refusing: usize,
}

/// Result of one run.
pub(crate) struct Measured {
    pub(crate) rows: Vec<Row>,
    /// Time from a change until the last vm has it in force.
    pub(crate) in_force: Duration,
    /// Most vms that refused at the same time while a tenth of the vms was silent.
    pub(crate) refusing_in_loss: usize,
    /// The same while the store was down.
    pub(crate) refusing_in_outage: usize,
}

/// Measures a fleet without changes, then one change.
pub(crate) fn measure(vms: usize, workspaces: usize, allowance: Allowance) -> Measured {
    let mut fleet = Fleet::new(vms, workspaces, allowance);
    fleet.run_until(WARM_UP, |_| false);
    fleet.world.reset();
    fleet.store.calls = 0;
    let start = fleet.world.now;
    fleet.run_until(start + MEASURED, |_| false);
    let rows = fleet.rows(workspaces);
    let in_force = fleet.change();
    let mut rows = rows;
    rows.push(fleet.change_row(workspaces));
    for vm in (0..vms).step_by(10) {
        fleet.silent[vm] = true;
    }
    let refusing_in_loss = fleet.disturb("settings, a tenth silent", &mut rows);
    fleet.silent.fill(false);
    let end = fleet.world.now + WARM_UP;
    fleet.run_until(end, |_| false);
    fleet.store_down = true;
    let refusing_in_outage = fleet.disturb("settings, store outage", &mut rows);
    Measured {
        rows,
        in_force,
        refusing_in_loss,
        refusing_in_outage,
    }
}

impl Fleet {
    fn new(vms: usize, workspaces: usize, allowance: Allowance) -> Self {
        let mut store = Store::default();
        for team in 0..workspaces.div_ceil(WORKSPACES_PER_TEAM) {
            let in_team = WORKSPACES_PER_TEAM.min(workspaces);
            store.put(&team_key(team), vec![b'x'; in_team * WORKSPACE_BYTES]);
        }
        let before = resident_bytes();
        let replicas = (0..vms).map(|vm| {
            Replica::new(ReplicaConfig {
                vm: VmId(vm as u32),
                seed: vm as u64,
                ..ReplicaConfig::default()
            })
        });
        Self {
            world: World::new(vms, allowance),
            replicas: replicas.collect(),
            store,
            watches: Vec::new(),
            resident_bytes: before,
            silent: vec![false; vms],
            store_down: false,
            refusing: 0,
        }
    }

    fn run_until(&mut self, end: Duration, done: impl Fn(&Self) -> bool) {
        if self.world.now.is_zero() {
            let all: Vec<_> = (0..self.replicas.len()).map(|vm| VmId(vm as u32)).collect();
            for vm in 0..self.replicas.len() {
                let (live, listed) = (all.clone(), all.clone());
                self.feed(vm, Event::Members { live, listed }, false);
            }
        }
        while self.world.now < end && !done(self) {
            for (vm, delivery) in self.world.advance() {
                if self.silent[vm] {
                    continue;
                }
                match delivery {
                    Delivery::Event(event, opens) => self.feed(vm, event, opens),
                    Delivery::Call(token, op) => self.call(vm, token, op),
                }
            }
            for vm in 0..self.replicas.len() {
                if self.world.ticks(vm) && !self.silent[vm] {
                    self.feed(vm, Event::Tick, false);
                }
            }
            self.count_refusing();
        }
    }

    /// Runs on with a fault and returns how many vms refused at the same time.
    fn disturb(&mut self, role: &str, rows: &mut Vec<Row>) -> usize {
        self.world.reset();
        self.refusing = 0;
        let end = self.world.now + MEASURED;
        self.run_until(end, |_| false);
        let seconds = MEASURED.as_secs_f64();
        let traffic = &self.world.vms;
        rows.push(Row::new(role, traffic.len(), traffic, seconds));
        self.refusing
    }

    fn count_refusing(&mut self) {
        let now = self.world.now;
        let replicas = self.replicas.iter().zip(&self.silent);
        let refusing = replicas.filter(|(r, silent)| !**silent && !r.permit(now).may_start(now));
        self.refusing = self.refusing.max(refusing.count());
    }

    fn feed(&mut self, vm: usize, event: Event, opens: bool) {
        let mut asked = match &event {
            Event::Peer { from, .. } if opens => Some(*from),
            _ => None,
        };
        let mut out = Vec::new();
        let now = self.world.now;
        let replica = &mut self.replicas[vm];
        self.world.busy(vm, || replica.step(event, now, &mut out));
        for command in out {
            let answers = matches!(&command, Command::Send { to, .. } if Some(*to) == asked);
            self.perform(vm, answers, command);
            // One message travels back, as in the daemon.
            asked = asked.filter(|_| !answers);
        }
    }

    fn perform(&mut self, vm: usize, answers: bool, command: Command) {
        match command {
            Command::Store(call) => {
                self.store.calls += 1;
                let delivery = Delivery::Call(call.token, call.op);
                self.world.later(10, vm, delivery);
            }
            Command::StartWatch { .. } => self.watches.push(vm),
            Command::StopWatch => self.watches.retain(|w| *w != vm),
            Command::Send { to, message } => self.send(vm, answers, to, message),
            Command::Apply(_) | Command::ChangeDone { .. } | Command::StatusDone { .. } => {}
        }
    }

    fn send(&mut self, vm: usize, answers: bool, to: VmId, message: Message) {
        let bytes = encoded_bytes(&PeerMessage::Settings(message.clone()));
        let receiver = to.0 as usize;
        if answers {
            self.world.count_answer(vm, receiver, bytes);
        } else {
            self.world.count_exchange(vm, receiver, bytes);
        }
        let from = VmId(vm as u32);
        let event = Event::Peer { from, message };
        self.world
            .later(15, receiver, Delivery::Event(event, !answers));
    }

    fn call(&mut self, vm: usize, token: CallToken, op: StoreOp) {
        if self.store_down {
            return;
        }
        let before = self.store.revision;
        let reply = self.store.perform(op);
        if self.store.revision > before {
            let key = team_key(0);
            let entry = self.store.keys[&key].clone();
            for watcher in self.watches.clone() {
                let entries = vec![(entry.clone(), false)];
                let event = Event::Watched { entries };
                self.world.later(10, watcher, Delivery::Event(event, false));
            }
        }
        let event = Event::Reply { token, reply };
        self.world.later(10, vm, Delivery::Event(event, false));
    }

    /// One operator change of one team, until it is in force everywhere.
    fn change(&mut self) -> Duration {
        let subtree = team_key(0);
        let entry = &self.store.keys[&subtree];
        let request = ChangeRequest {
            subtree: subtree.clone(),
            expected: Expected::At(entry.modified),
            text: Some("y".repeat(entry.value.len())),
        };
        let old = entry.modified;
        self.world.reset();
        let start = self.world.now;
        let vm = self.replicas.len() / 2;
        self.feed(vm, Event::Change { ticket: 1, request }, false);
        let in_force = |fleet: &Self| {
            let mut replicas = fleet.replicas.iter();
            replicas.all(|r| r.revision(&subtree) > Some(old))
        };
        self.run_until(start + Duration::from_secs(20), in_force);
        self.world.now - start
    }

    /// Ordinary vms and watchers apart, as a watcher answers more questions.
    fn rows(&self, workspaces: usize) -> Vec<Row> {
        let watchers = self.replicas[0].watchers();
        let is_watcher = |vm: usize| watchers.contains(&VmId(vm as u32));
        let seconds = MEASURED.as_secs_f64();
        let (inner, outer): (Vec<_>, Vec<_>) =
            (0..self.replicas.len()).partition(|vm| is_watcher(*vm));
        let resident = resident_bytes().saturating_sub(self.resident_bytes);
        let state = resident / self.replicas.len() as u64;
        let store_s = self.store.calls as f64 / seconds + watchers.len() as f64;
        let mut rows = Vec::new();
        for (role, vms) in [("settings, ordinary", outer), ("settings, watcher", inner)] {
            let traffic = vms.iter().map(|vm| self.world.vms[*vm]).collect::<Vec<_>>();
            let mut row = Row::new(role, self.replicas.len(), &traffic, seconds);
            row.scale = format!("{workspaces} workspaces");
            row.state_bytes = state;
            row.store_calls_s = store_s;
            rows.push(row);
        }
        rows
    }

    /// The change alone, averaged over a day with 1,700 changes.
    fn change_row(&self, workspaces: usize) -> Row {
        const CHANGES_A_DAY: f64 = 1700.0;
        let traffic = &self.world.vms;
        let seconds = 86_400.0 / CHANGES_A_DAY;
        let mut row = Row::new(
            "settings, 1,700 changes a day",
            traffic.len(),
            traffic,
            seconds,
        );
        row.scale = format!("{workspaces} workspaces");
        row
    }
}

fn team_key(team: usize) -> String {
    format!("config/teams/team-{team}")
}

impl Store {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = Revision(self.revision);
        let entry = Entry {
            key: key.into(),
            value,
            created: revision,
            modified: revision,
        };
        self.keys.insert(key.into(), entry);
    }

    fn perform(&mut self, op: StoreOp) -> StoreReply {
        let store = Revision(self.revision);
        match op {
            StoreOp::Get { key } => StoreReply::Value {
                entry: self.keys.get(&key).cloned(),
                store,
            },
            StoreOp::List { .. } => StoreReply::Values {
                entries: self.keys.values().cloned().collect(),
                store,
            },
            StoreOp::ListSince { after, .. } => {
                let entries = self.keys.values().filter(|e| e.modified > after);
                let entries = entries.cloned().collect();
                StoreReply::Values { entries, store }
            }
            StoreOp::Cas { key, value, .. } => {
                self.put(&key, value);
                let revision = Revision(self.revision);
                StoreReply::Written { revision }
            }
            _ => StoreReply::Refused,
        }
    }
}
