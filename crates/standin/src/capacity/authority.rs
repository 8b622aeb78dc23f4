//! Store calls of leases: the real machines against a store that grants and keeps leases.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::authority::{Authority, AuthorityConfig, Command, Event, Holder, Scope};
use jujubebeam_core::store::{CallToken, Entry, Expected, LeaseId, StoreOp, StoreReply};
use jujubebeam_core::{Incarnation, Machine, Revision, VmId};

use super::Size;
use super::exchange::Allowance;
use super::row::Row;
use super::world::{World, resident_bytes};

const GROUPS: usize = 3;
const WARM_UP: Duration = Duration::from_secs(30);
const MEASURED: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, Entry>,
}

struct Delivery(CallToken, StoreOp);

struct Fleet {
    world: World<Delivery>,
    machines: Vec<Authority<u8>>,
    store: Store,
}

/// Measures a fleet without orders.
pub(crate) fn measure(size: Size, allowance: Allowance) -> Row {
    let before = resident_bytes();
    let machines = (0..size.vms).map(|vm| {
        let holder = Holder {
            vm: VmId(vm as u32),
            incarnation: Incarnation(1_790_000_000_000_000),
        };
        let config = AuthorityConfig {
            seed: vm as u64,
            ..AuthorityConfig::default()
        };
        Authority::new(holder, config)
    });
    let mut fleet = Fleet {
        machines: machines.collect(),
        world: World::new(size.vms, allowance),
        store: Store::default(),
    };
    fleet.start(size);
    fleet.run_for(size, WARM_UP);
    fleet.world.reset();
    fleet.run_for(size, MEASURED);
    let traffic = &fleet.world.vms;
    let mut row = Row::new("leases", size.vms, traffic, MEASURED.as_secs_f64());
    let calls: u64 = traffic.iter().map(|t| t.store_calls).sum();
    row.store_calls_s = calls as f64 / MEASURED.as_secs_f64();
    row.state_bytes = resident_bytes().saturating_sub(before) / size.vms as u64;
    row.scale = format!("{} scopes", GROUPS * size.zones + 2);
    row
}

impl Fleet {
    fn start(&mut self, size: Size) {
        let all: Vec<_> = (0..size.vms).map(|vm| VmId(vm as u32)).collect();
        for vm in 0..size.vms {
            self.feed(vm, Event::Vms(all.clone()));
            for (scope, checks_fencing) in scopes(size) {
                let want = Event::Acquire {
                    scope,
                    checks_fencing,
                };
                self.feed(vm, want);
            }
        }
    }

    fn run_for(&mut self, size: Size, time: Duration) {
        let all: Vec<_> = (0..size.vms).map(|vm| VmId(vm as u32)).collect();
        let end = self.world.now + time;
        while self.world.now < end {
            for (vm, Delivery(token, op)) in self.world.advance() {
                let reply = self.store.perform(op);
                self.feed(vm, Event::Store(token, reply));
            }
            let step = (self.world.now.as_millis() / 20) as usize;
            for vm in 0..size.vms {
                if step % 50 == vm % 50 {
                    self.feed(vm, Event::Vms(all.clone()));
                }
                if self.world.ticks(vm) {
                    self.feed(vm, Event::Tick);
                }
            }
        }
    }

    fn feed(&mut self, vm: usize, event: Event<u8>) {
        let mut out = Vec::new();
        let now = self.world.now;
        let machine = &mut self.machines[vm];
        self.world.busy(vm, || machine.step(event, now, &mut out));
        for command in out {
            if let Command::Store(call) = command {
                self.world.vms[vm].store_calls += 1;
                self.world.later(10, vm, Delivery(call.token, call.op));
            }
        }
    }
}

fn scopes(size: Size) -> Vec<(Scope, bool)> {
    let mut scopes = vec![(Scope::Ordering, false), (Scope::Usage, false)];
    for group in 0..GROUPS {
        for zone in 0..size.zones {
            let scope = Scope::Engines {
                group: format!("group-{group}"),
                zone: format!("zone-{zone}"),
            };
            scopes.push((scope, true));
        }
    }
    scopes
}

impl Store {
    fn perform(&mut self, op: StoreOp) -> StoreReply {
        self.revision += 1;
        let store = Revision(self.revision);
        match op {
            StoreOp::Get { key } => {
                let entry = self.keys.get(&key).cloned();
                StoreReply::Value { entry, store }
            }
            StoreOp::List { prefix } | StoreOp::ListSince { prefix, .. } => {
                let entries = self.keys.values().filter(|e| e.key.starts_with(&prefix));
                let entries = entries.cloned().collect();
                StoreReply::Values { entries, store }
            }
            StoreOp::Cas {
                key,
                expected,
                value,
                ..
            } => self.cas(key, expected, value),
            StoreOp::GrantLease { ttl } => StoreReply::Granted {
                lease: LeaseId(self.revision as i64),
                ttl,
            },
            StoreOp::KeepAlive { .. } => {
                let ttl = Duration::from_secs(6);
                StoreReply::Alive { ttl }
            }
            StoreOp::Revoke { .. } => StoreReply::Revoked,
            _ => StoreReply::Refused,
        }
    }

    fn cas(&mut self, key: String, expected: Expected, value: Vec<u8>) -> StoreReply {
        let store = Revision(self.revision);
        let current = self.keys.get(&key).cloned();
        let holds = match (expected, &current) {
            (Expected::Absent, None) => true,
            (Expected::At(revision), Some(entry)) => entry.modified == revision,
            _ => false,
        };
        if !holds {
            return StoreReply::Conflict { current, store };
        }
        let entry = Entry {
            key: key.clone(),
            value,
            created: current.map_or(store, |e| e.created),
            modified: store,
        };
        self.keys.insert(key, entry);
        StoreReply::Written { revision: store }
    }
}
