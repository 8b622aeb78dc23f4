//! A fleet of membership machines on a lossy network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::membership::{
    Command, Event, Membership, MembershipConfig, Message, Record, VmState,
};
use jujubebeam_core::{Incarnation, Machine, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ms;

const STEP: u64 = 20;

pub(crate) struct Member {
    pub(crate) machine: Membership,
    pub(crate) up: bool,
    pub(crate) running: usize,
    pub(crate) exited: Option<Duration>,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_messages: usize,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) rng: SmallRng,
    pub(crate) members: Vec<Member>,
    pub(crate) loss_percent: u32,
    /// The platform's list. It changes only when a test changes it.
    pub(crate) list: Vec<Record>,
    pub(crate) isolated: BTreeSet<u32>,
    /// Number of steps between two readings of the list.
    pub(crate) list_steps: u64,
    /// Returns the encoded size of a message.
    pub(crate) measure: fn(&Message) -> usize,
    queue: BTreeMap<(Duration, u64), (u32, u32, Message)>,
    serial: u64,
}

pub(crate) fn record(vm: u32, run: u64) -> Record {
    Record {
        vm: VmId(vm),
        zone: format!("zone-{}", vm % 3),
        caller_address: format!("10.120.{}.{}:8080", vm / 250, vm % 250),
        peer_address: format!("10.120.{}.{}:8081", vm / 250, vm % 250),
        incarnation: Incarnation(1_790_000_000_000_000 + run),
        state: VmState::Live,
        heartbeat: 0,
        capacity_millicores: 1_000,
    }
}

impl Fleet {
    pub(crate) fn new(size: u32, seed: u64, adjust: fn(&mut MembershipConfig)) -> Self {
        let members = (0..size).map(|vm| {
            let mut config = MembershipConfig::new(record(vm, 0));
            config.seed = seed ^ (u64::from(vm) << 32);
            adjust(&mut config);
            Member {
                machine: Membership::new(config),
                up: true,
                running: 0,
                exited: None,
                sent_bytes: 0,
                sent_messages: 0,
            }
        });
        Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            members: members.collect(),
            loss_percent: 0,
            list: (0..size).map(|vm| record(vm, 0)).collect(),
            isolated: BTreeSet::new(),
            list_steps: 50,
            measure: |_| 0,
            queue: BTreeMap::new(),
            serial: 0,
        }
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ms(STEP);
            let later = self.queue.split_off(&(self.now + ms(1), 0));
            for (_, (from, to, message)) in std::mem::replace(&mut self.queue, later) {
                let from = VmId(from);
                self.feed(to, Event::Peer { from, message });
            }
            let ticks = self.now.as_millis() as u64 / STEP;
            for vm in 0..self.members.len() as u32 {
                if ticks % 5 == u64::from(vm % 5) {
                    self.feed(vm, Event::Running(self.members[vm as usize].running));
                    self.feed(vm, Event::Tick);
                }
                if ticks % self.list_steps == u64::from(vm % 50) {
                    self.feed(vm, Event::Listed(self.list.clone()));
                }
            }
        }
    }

    pub(crate) fn feed(&mut self, vm: u32, event: Event) {
        let member = &mut self.members[vm as usize];
        if !member.up {
            return;
        }
        let mut out = Vec::new();
        member.machine.step(event, self.now, &mut out);
        for command in out {
            match command {
                Command::Send { to, message } => self.send(vm, to.0, message),
                Command::HandOver => self.feed(vm, Event::HandedOver),
                Command::Exit => {
                    let member = &mut self.members[vm as usize];
                    member.exited = Some(self.now);
                    member.up = false;
                }
                Command::ViewChanged => {}
            }
        }
    }

    fn send(&mut self, from: u32, to: u32, message: Message) {
        let member = &mut self.members[from as usize];
        member.sent_bytes += (self.measure)(&message);
        member.sent_messages += 1;
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        let answered = self.members[to as usize].up && !lost && !isolated;
        if answered {
            self.serial += 1;
            let delay = ms(self.rng.random_range(1..50));
            let key = (self.now + delay, self.serial);
            self.queue.insert(key, (from, to, message));
        }
        let with = VmId(to);
        self.feed(from, Event::Exchanged { with, answered });
    }

    /// Vms in an address answer of `vm`.
    pub(crate) fn addresses(&self, vm: u32, zone: &str, hash: u64) -> Vec<u32> {
        let machine = &self.members[vm as usize].machine;
        let records = machine.addresses(zone, hash, self.now);
        records.iter().map(|r| r.vm.0).collect()
    }
}
