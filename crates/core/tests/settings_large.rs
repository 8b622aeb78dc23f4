//! Store outage in a large fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::settings::replica::{Command, Event, Omit, Replica, ReplicaConfig};
use jujubebeam_core::store::{StoreOp, StoreReply};
use jujubebeam_core::{Machine, Revision, VmId};

const VMS: u32 = 360;

type Queue = BTreeMap<(Duration, u64), (u32, Event)>;

fn feed(
    replica: &mut Replica,
    vm: u32,
    event: Event,
    at: Duration,
    queue: &mut Queue,
    store: bool,
) {
    let mut out = Vec::new();
    replica.step(event, at, &mut out);
    for command in out {
        let later = at + Duration::from_millis(10);
        let key = (later, queue.last_key_value().map_or(0, |(k, _)| k.1) + 1);
        match command {
            Command::Send { to, message } => {
                let from = VmId(vm);
                queue.insert(key, (to.0, Event::Peer { from, message }));
            }
            Command::Store(call) if store && !matches!(call.op, StoreOp::Get { .. }) => {
                let reply = StoreReply::Values {
                    entries: Vec::new(),
                    store: Revision(1),
                };
                let token = call.token;
                queue.insert(key, (vm, Event::Reply { token, reply }));
            }
            _ => {}
        }
    }
}

/// Runs a fleet for 8 s with the store and for 8 s without, and returns the largest number of vms
/// that refused at the same time without it.
fn max_refusing_vms(omit: Omit) -> usize {
    let mut fleet: Vec<_> = (0..VMS)
        .map(|vm| {
            Replica::new(ReplicaConfig {
                vm: VmId(vm),
                seed: u64::from(vm),
                omit,
                ..ReplicaConfig::default()
            })
        })
        .collect();
    let mut queue = Queue::new();
    let mut most = 0;
    for step in 0..1600 {
        let now = Duration::from_millis(10 * step);
        let store = step < 800;
        for vm in 0..VMS {
            if step == 0 {
                let all: Vec<_> = (0..VMS).map(VmId).collect();
                let (live, listed) = (all.clone(), all);
                let members = Event::Members { live, listed };
                feed(&mut fleet[vm as usize], vm, members, now, &mut queue, store);
            }
            if step % 10 == u64::from(vm) % 10 {
                let replica = &mut fleet[vm as usize];
                feed(replica, vm, Event::Tick, now, &mut queue, store);
            }
        }
        let later = queue.split_off(&(now + Duration::from_nanos(1), 0));
        for (_, (vm, event)) in std::mem::replace(&mut queue, later) {
            let replica = &mut fleet[vm as usize];
            feed(replica, vm, event, now, &mut queue, store);
        }
        if !store {
            let refusing = fleet.iter().filter(|r| !r.permit(now).may_start(now));
            most = most.max(refusing.count());
        }
    }
    most
}

/// Guards against vms of a large fleet that refuse for a moment at the start of a store outage,
/// because their freshness proof expires before they have proofs of a majority.
#[test]
fn store_outage_stops_no_vm() {
    assert_eq!(max_refusing_vms(Omit::default()), 0);
}

/// Guards against a run that would also pass without the faster collection of proofs of a majority.
#[test]
fn without_burst_some_refuse() {
    let omit = Omit {
        tree_burst: true,
        ..Omit::default()
    };
    assert!(max_refusing_vms(omit) > 0);
}
