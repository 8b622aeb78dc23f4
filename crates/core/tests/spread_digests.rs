//! Who gets digests, and what shortened digests must not do.

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

/// Guards against a small fleet that is slower than before: every vm gets every digest whole.
#[test]
fn small_fleet_gets_everything() {
    let mut spread = GossipFanout::new(GossipFanoutConfig::default());
    let loads = (0..50).map(|n| (TargetId(n), TargetLoad::default()));
    let digest = Digest {
        loads: loads.collect(),
        ..Digest::default()
    };
    for tick in 0..10 {
        let now = Duration::from_millis(100 * tick);
        let sent = spread.envelopes(vec![message(digest.clone())], &vms(5), now);
        assert_eq!(sent.len(), 5);
        for (_, messages) in sent {
            assert_eq!(messages, vec![message(digest.clone())]);
        }
    }
}

/// Guards against traffic of one vm that grows with the fleet.
#[test]
fn large_fleets_cost_the_same_at_any_size() {
    let mut counts = BTreeMap::new();
    for others in [50, 359, 2000] {
        let mut spread = GossipFanout::new(GossipFanoutConfig::default());
        let mut sent = 0;
        for tick in 0..600 {
            let now = Duration::from_millis(100 * tick);
            let digests = vec![message(Digest::default())];
            sent += spread.envelopes(digests, &vms(others), now).len();
        }
        counts.insert(others, sent);
    }
    assert!(
        counts.values().all(|sent| (50..=70).contains(sent)),
        "{counts:?}"
    );
}

/// Guards against a shortened digest that clears work which it does not name.
#[test]
fn shortened_digest_keeps_known_work() {
    let mut spread = GossipFanout::new(GossipFanoutConfig::default());
    let load = |streams| TargetLoad {
        streams,
        ..TargetLoad::default()
    };
    let loads = (0..50).map(|n| (TargetId(n), load(n as u32)));
    let digest = Digest {
        loads: loads.collect(),
        ..Digest::default()
    };
    let sent = spread.envelopes(vec![message(digest)], &vms(359), Duration::ZERO);
    let PeerMessage::Scheduler { digest, .. } = &sent[0].1[0] else {
        panic!("not a digest: {sent:?}");
    };
    assert!(digest.partial && digest.loads.len() == GossipFanoutConfig::default().max_entries);
    assert!(digest.loads.iter().all(|(id, _)| id.0 >= 38), "{digest:?}");
}

/// Runs schedulers until all know that a target leaves, and returns how long it took.
fn spread_of_leaving(urgent_fanout: usize) -> Duration {
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
            let spread = GossipFanout::new(GossipFanoutConfig {
                seed: u64::from(vm),
                urgent_fanout,
                ..GossipFanoutConfig::default()
            });
            (scheduler, spread)
        })
        .collect();
    let state = TargetState::Leaving;
    let leaving = Event::TargetState { target, state };
    fleet[0].0.step(leaving, Duration::ZERO, &mut Vec::new());
    for tick in 1..100 {
        let now = Duration::from_millis(100 * tick);
        let (mut sent, mut told) = (Vec::new(), 0);
        for (vm, (scheduler, spread)) in fleet.iter_mut().enumerate() {
            let mut out = Vec::new();
            scheduler.step(Event::Tick, now, &mut out);
            for command in out {
                let SchedulerCommand::Digest(digest) = command else {
                    continue;
                };
                told += u32::from(!digest.closed.is_empty());
                let from = VmId(vm as u32);
                let others: Vec<_> = (0..VMS).map(VmId).filter(|o| *o != from).collect();
                let envelopes = spread.envelopes(vec![message(digest)], &others, now);
                sent.extend(envelopes.into_iter().map(|(to, m)| (from, to, m)));
            }
        }
        if told == VMS {
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

/// Guards against a leaving target that some of 360 vms use for more than 2 s after one vm knows.
#[test]
fn leaving_reaches_all_vms_within_two_seconds() {
    assert!(spread_of_leaving(8) <= Duration::from_secs(2));
}

/// Guards against a measurement that would pass if leaving targets were not passed on at once.
#[test]
fn leaving_is_late_without_the_urgent_news() {
    assert!(spread_of_leaving(0) > Duration::from_secs(2));
}
