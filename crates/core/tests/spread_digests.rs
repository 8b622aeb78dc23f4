//! Guards against gossip traffic that grows with the fleet, against partial digests that clear
//! recorded work, and against slow notices of leaving targets.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::scheduler::SchedulerEvent as Event;
use jujubebeam_core::scheduler::{Digest, Scheduler, SchedulerCommand, SchedulerConfig};
use jujubebeam_core::spread::{GossipFanout, GossipFanoutConfig};
use jujubebeam_core::targets::{TargetInfo, TargetLoad, TargetState};
use jujubebeam_core::{Machine, RouteId, TargetId, VmId};

fn message(digest: Digest) -> PeerMessage {
    let route = RouteId(0);
    PeerMessage::Scheduler { route, digest }
}

fn vms(count: u32) -> Vec<VmId> {
    (1..=count).map(VmId).collect()
}

/// Guards against delayed or truncated digests in a small fleet, where each vm must receive each
/// digest completely.
#[test]
fn small_fleet_receives_all_digests() {
    let mut fanout = GossipFanout::new(GossipFanoutConfig::default());
    let loads = (0..50).map(|n| (TargetId(n), TargetLoad::default()));
    let digest = Digest {
        loads: loads.collect(),
        ..Digest::default()
    };
    for tick in 0..10 {
        let now = Duration::from_millis(100 * tick);
        let sent = fanout.envelopes(vec![message(digest.clone())], &vms(5), now);
        assert_eq!(sent.len(), 5);
        for (_, messages) in sent {
            assert_eq!(messages, vec![message(digest.clone())]);
        }
    }
}

/// Guards against traffic per vm that grows with the fleet.
#[test]
fn traffic_per_vm_is_bounded_in_large_fleets() {
    let mut counts = BTreeMap::new();
    for others in [50, 359, 2000] {
        let mut fanout = GossipFanout::new(GossipFanoutConfig::default());
        let mut sent = 0;
        for tick in 0..600 {
            let now = Duration::from_millis(100 * tick);
            let digests = vec![message(Digest::default())];
            sent += fanout.envelopes(digests, &vms(others), now).len();
        }
        counts.insert(others, sent);
    }
    assert!(
        counts.values().all(|sent| (50..=70).contains(sent)),
        "{counts:?}"
    );
}

/// Guards against a truncated digest that is not marked as partial, so that receivers clear the
/// work that it omits, and against dropping its largest loads.
#[test]
fn truncated_digest_is_partial_and_keeps_large_loads() {
    let mut fanout = GossipFanout::new(GossipFanoutConfig::default());
    let load = |streams| TargetLoad {
        streams,
        ..TargetLoad::default()
    };
    let loads = (0..50).map(|n| (TargetId(n), load(n as u32)));
    let digest = Digest {
        loads: loads.collect(),
        ..Digest::default()
    };
    let sent = fanout.envelopes(vec![message(digest)], &vms(359), Duration::ZERO);
    let PeerMessage::Scheduler { digest, .. } = &sent[0].1[0] else {
        panic!("not a digest: {sent:?}");
    };
    assert!(digest.partial && digest.loads.len() == GossipFanoutConfig::default().max_entries);
    assert!(digest.loads.iter().all(|(id, _)| id.0 >= 38), "{digest:?}");
}

/// Runs schedulers until all have received the notice of a leaving target, and returns the time
/// that it took.
fn time_to_notify_all_vms(urgent_fanout: usize) -> Duration {
    const VMS: u32 = 360;
    let target = TargetId(7);
    let mut fleet: Vec<_> = (0..VMS)
        .map(|vm| {
            let mut scheduler = Scheduler::new(SchedulerConfig {
                vm: VmId(vm),
                ..SchedulerConfig::default()
            });
            let targets = Event::Targets {
                targets: vec![TargetInfo {
                    id: target,
                    ..TargetInfo::default()
                }],
                peers: VMS - 1,
            };
            scheduler.step(targets, Duration::ZERO, &mut Vec::new());
            let fanout = GossipFanout::new(GossipFanoutConfig {
                seed: u64::from(vm),
                urgent_fanout,
                ..GossipFanoutConfig::default()
            });
            (scheduler, fanout)
        })
        .collect();
    let state = TargetState::Leaving;
    let leaving = Event::TargetState { target, state };
    fleet[0].0.step(leaving, Duration::ZERO, &mut Vec::new());
    for tick in 1..100 {
        let now = Duration::from_millis(100 * tick);
        let (mut sent, mut notified) = (Vec::new(), 0);
        for (vm, (scheduler, fanout)) in fleet.iter_mut().enumerate() {
            let mut out = Vec::new();
            scheduler.step(Event::Tick, now, &mut out);
            for command in out {
                let SchedulerCommand::Digest(digest) = command else {
                    continue;
                };
                notified += u32::from(!digest.closed.is_empty());
                let from = VmId(vm as u32);
                let others: Vec<_> = (0..VMS).map(VmId).filter(|o| *o != from).collect();
                let envelopes = fanout.envelopes(vec![message(digest)], &others, now);
                sent.extend(envelopes.into_iter().map(|(to, m)| (from, to, m)));
            }
        }
        if notified == VMS {
            return now;
        }
        for (from, to, messages) in sent {
            for message in messages {
                if let PeerMessage::Scheduler { digest, .. } = message {
                    let event = Event::Peer { from, digest };
                    fleet[to.0 as usize].0.step(event, now, &mut Vec::new());
                }
            }
        }
    }
    Duration::from_secs(10)
}

/// Guards against a leaving target that some of 360 vms still use more than 2 s after the first vm
/// received the notice.
#[test]
fn leaving_reaches_all_vms_within_two_seconds() {
    assert!(time_to_notify_all_vms(8) <= Duration::from_secs(2));
}

/// Checks that the test above can fail: it must take longer without forwarding notices at once.
#[test]
fn leaving_is_late_without_urgent_forwarding() {
    assert!(time_to_notify_all_vms(0) > Duration::from_secs(2));
}
