//! Guards against unfair queueing, late refusals and wrong target choices of one scheduler.

use std::time::Duration;

use jujubebeam_core::invariant;
use jujubebeam_core::scheduler::{
    Arrival, Digest, Reason, RefusalKind, Scheduler, SchedulerCommand, SchedulerConfig,
    SchedulerEvent,
};
use jujubebeam_core::settings::document::{Priority, TargetKind};
use jujubebeam_core::targets::{CacheEvent, LoadReport, Role, TargetInfo, TargetState};
use jujubebeam_core::{Machine, RequestId, TargetId, VmId, WorkspaceId, ZoneId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

struct Vm {
    scheduler: Scheduler,
    now: Duration,
}

impl Vm {
    fn new(roles: &[Role]) -> Self {
        let mut vm = Self {
            scheduler: Scheduler::new(SchedulerConfig::default()),
            now: Duration::ZERO,
        };
        vm.set_targets(roles.len(), None);
        for (id, role) in roles.iter().enumerate() {
            vm.report(id as u64, *role, TargetState::Serving);
        }
        vm
    }

    fn set_targets(&mut self, count: usize, leaving: Option<u64>) {
        let targets = (0..count as u64).map(|id| TargetInfo {
            id: TargetId(id),
            zone: ZoneId((id % 3) as u16),
            reclaimable: false,
            leaving: leaving == Some(id),
        });
        let targets = targets.collect();
        self.step(SchedulerEvent::Targets { targets, peers: 0 });
    }

    fn report(&mut self, id: u64, role: Role, state: TargetState) {
        let report = LoadReport {
            role,
            state,
            ..LoadReport::default()
        };
        self.step(SchedulerEvent::Report {
            target: TargetId(id),
            report,
            age: Duration::ZERO,
        });
    }

    fn step(&mut self, event: SchedulerEvent) -> Vec<SchedulerCommand> {
        let mut out = Vec::new();
        self.scheduler.step(event, self.now, &mut out);
        out
    }

    fn arrive(&mut self, arrival: Arrival) -> Vec<SchedulerCommand> {
        self.step(SchedulerEvent::Arrival(arrival))
    }
}

fn arrival(request: u128, workspace: u64) -> Arrival {
    Arrival {
        request: RequestId(request),
        workspace: WorkspaceId(workspace),
        priority: Priority::Normal,
        weight: 1,
        prompt_tokens: 1000,
        known_output_tokens: Some(200),
        repeatable: true,
        deadline: Duration::from_secs(30),
        ..Arrival::default()
    }
}

fn dispatched(commands: &[SchedulerCommand]) -> Vec<(u128, TargetId, Option<TargetId>)> {
    let pick = |c: &SchedulerCommand| match c {
        SchedulerCommand::Dispatch {
            request,
            target,
            decode,
        } => Some((request.0, *target, *decode)),
        _ => None,
    };
    commands.iter().filter_map(pick).collect()
}

/// A vm whose only engine is full, so that further requests are queued.
fn full_vm() -> Vm {
    let mut vm = Vm::new(&[Role::Mixed]);
    for request in 0..20 {
        vm.arrive(arrival(request, 99));
    }
    vm
}

/// Starts and finishes requests one by one, and returns the order in which queued ones run.
fn drain(vm: &mut Vm) -> Vec<u128> {
    let mut order = Vec::new();
    let mut running: Vec<u128> = (0..20).collect();
    while let Some(request) = running.pop() {
        let request = RequestId(request);
        let mut out = vm.step(SchedulerEvent::FirstToken { request });
        out.extend(vm.step(SchedulerEvent::Finish {
            request,
            prompt_tokens: 1000,
            output_tokens: 200,
        }));
        for (id, _, _) in dispatched(&out) {
            order.push(id);
            running.insert(0, id);
        }
    }
    order
}

/// Guards against a workspace that delays others by sending more requests.
#[test]
fn workspaces_alternate_regardless_of_queue_length() {
    let mut vm = full_vm();
    for request in 0..40 {
        vm.arrive(arrival(1000 + request, 1));
    }
    for request in 0..5 {
        vm.arrive(arrival(2000 + request, 2));
    }
    let order = drain(&mut vm);
    let queued: Vec<u128> = order.into_iter().filter(|id| *id >= 1000).collect();
    let last_of_two = queued
        .iter()
        .rposition(|id| *id >= 2000)
        .expect("workspace 2 runs");
    assert!(last_of_two < 14, "{queued:?}");
}

/// Guards against low priorities that run before higher ones, and against starvation of the low
/// ones.
#[test]
fn low_priorities_get_only_their_guaranteed_share() {
    let mut vm = full_vm();
    for request in 0..60 {
        let batch = Arrival {
            priority: Priority::Batch,
            ..arrival(1000 + request, 1)
        };
        let urgent = Arrival {
            priority: Priority::Interactive,
            ..arrival(2000 + request, 2)
        };
        vm.arrive(batch);
        vm.arrive(urgent);
    }
    let order = drain(&mut vm);
    let first: Vec<u128> = order
        .into_iter()
        .filter(|id| *id >= 1000)
        .take(40)
        .collect();
    let batch = first.iter().filter(|id| **id < 2000).count();
    assert!((1..=4).contains(&batch), "{batch} of 40 are batch work");
}

/// Guards against requests that are refused only after their deadline, although the queue shows
/// on arrival that they cannot meet it.
#[test]
fn unreachable_deadline_is_refused_at_once() {
    let mut vm = full_vm();
    for request in 0..100 {
        vm.arrive(arrival(1000 + request, 1));
    }
    let tight = Arrival {
        deadline: Duration::from_secs(1),
        ..arrival(5000, 1)
    };
    let out = vm.arrive(tight);
    let refused = out.iter().any(|c| {
        matches!(c, SchedulerCommand::Refuse {
        kind: RefusalKind::DeadlineUnreachable,
        retry_after,
        ..
    } if *retry_after >= Duration::from_secs(1))
    });
    assert!(refused, "{out:?}");
    let record = vm
        .scheduler
        .explain(RequestId(5000))
        .expect("the decision is recorded");
    assert_eq!(
        record.reason,
        Reason::Refused(RefusalKind::DeadlineUnreachable)
    );
}

/// Guards against a leaving target that gets work again after it reported that it is serving.
#[test]
fn leaving_target_gets_no_work_although_reports_say_serving() {
    let mut vm = Vm::new(&[Role::Mixed, Role::Mixed]);
    vm.set_targets(2, Some(1));
    for request in 0..10 {
        vm.now += Duration::from_secs(1);
        for id in 0..2 {
            vm.report(id, Role::Mixed, TargetState::Serving);
        }
        let out = vm.arrive(arrival(request, 1));
        assert!(
            dispatched(&out).iter().all(|d| d.1 == TargetId(0)),
            "{out:?}"
        );
    }
    assert_eq!(invariant::total(), 0);
}

/// Guards against a draining target that gets work because an older report arrives later.
#[test]
fn stale_report_does_not_end_draining() {
    let mut vm = Vm::new(&[Role::Mixed, Role::Mixed]);
    let target = TargetId(1);
    vm.step(SchedulerEvent::TargetState {
        target,
        state: TargetState::Draining,
    });
    vm.report(1, Role::Mixed, TargetState::Serving);
    for request in 0..10 {
        let out = vm.arrive(arrival(request, 1));
        assert!(
            dispatched(&out).iter().all(|d| d.1 == TargetId(0)),
            "{out:?}"
        );
    }
    vm.step(SchedulerEvent::TargetState {
        target,
        state: TargetState::Serving,
    });
    let out: Vec<_> = (10..20).flat_map(|r| vm.arrive(arrival(r, 1))).collect();
    assert!(dispatched(&out).iter().any(|d| d.1 == target), "{out:?}");
}

/// Guards against placing two requests that may crash targets on the same target.
#[test]
fn suspects_do_not_share_a_target() {
    let mut vm = Vm::new(&[Role::Mixed, Role::Mixed]);
    let mut targets = Vec::new();
    for request in 0..3 {
        let out = vm.arrive(Arrival {
            suspect: true,
            ..arrival(request, 1)
        });
        targets.extend(dispatched(&out).into_iter().map(|d| d.1));
    }
    targets.sort();
    assert_eq!(targets, [TargetId(0), TargetId(1)]);
}

/// Guards against a thundering herd: all vms choose the same idle target between two reports.
#[test]
fn vms_with_equal_reports_do_not_herd() {
    let mut counts = [0; 8];
    for seed in 0..64 {
        let mut vm = Vm::new(&[Role::Mixed; 8]);
        vm.scheduler = Scheduler::new(SchedulerConfig {
            seed,
            vm: VmId(seed as u32),
            zone: ZoneId((seed % 3) as u16),
            ..SchedulerConfig::default()
        });
        vm.set_targets(8, None);
        for id in 0..8 {
            vm.report(id, Role::Mixed, TargetState::Serving);
        }
        let out = vm.arrive(arrival(1, 1));
        counts[dispatched(&out)[0].1.0 as usize] += 1;
    }
    assert!(counts.iter().all(|c| *c <= 20), "{counts:?}");
}

/// Guards against prompts that are placed on an engine without their prefix while another has it
/// in its cache.
#[test]
fn prompt_is_placed_where_its_prefix_is_cached() {
    let mut vm = Vm::new(&[Role::Mixed; 4]);
    let prefix: Vec<u64> = (100..112).collect();
    let events = prefix.iter().enumerate().map(|(i, hash)| CacheEvent {
        seq: i as u64 + 1,
        prefix_hash: *hash,
        stored: true,
    });
    let target = TargetId(2);
    vm.step(SchedulerEvent::Cache {
        target,
        events: events.collect(),
    });
    let long = Arrival {
        prompt_tokens: 3500,
        prefix: prefix.into_iter().collect(),
        ..arrival(1, 1)
    };
    let out = vm.arrive(long);
    assert_eq!(dispatched(&out)[0].1, target);
}

/// Guards against answers that decode on prefill engines, and prompts that run on decode engines.
#[test]
fn prompt_and_answer_are_split_by_role() {
    let mut vm = Vm::new(&[Role::Prefill, Role::Decode]);
    let out = vm.arrive(arrival(1, 1));
    assert_eq!(dispatched(&out), [(1, TargetId(0), Some(TargetId(1)))]);
}

/// Guards against work of peers that is ignored until the target's next report.
#[test]
fn work_of_peers_is_counted_from_their_digests() {
    let mut vm = Vm::new(&[Role::Mixed, Role::Mixed]);
    let mut peer = Vm::new(&[Role::Mixed]);
    for request in 0..10 {
        peer.arrive(arrival(request, 1));
    }
    let digest = peer
        .step(SchedulerEvent::Tick)
        .into_iter()
        .find_map(|c| match c {
            SchedulerCommand::Digest(digest) => Some(digest),
            _ => None,
        });
    let digest: Digest = digest.expect("a tick sends a digest");
    vm.step(SchedulerEvent::Peer {
        from: VmId(9),
        digest,
    });
    let out: Vec<_> = (0..4)
        .flat_map(|r| vm.arrive(arrival(100 + r, 1)))
        .collect();
    assert!(
        dispatched(&out).iter().all(|d| d.1 == TargetId(1)),
        "{out:?}"
    );
}

/// Guards against plain services that get more requests than they can run concurrently while
/// others are idle.
#[test]
fn plain_services_share_requests_up_to_their_concurrency() {
    let mut vm = Vm::new(&[Role::Mixed; 3]);
    vm.scheduler = Scheduler::new(SchedulerConfig {
        kind: TargetKind::Service,
        service_concurrency: 2,
        ..SchedulerConfig::default()
    });
    vm.set_targets(3, None);
    for id in 0..3 {
        vm.report(id, Role::Mixed, TargetState::Serving);
    }
    let out: Vec<_> = (0..8).flat_map(|r| vm.arrive(arrival(r, 1))).collect();
    let mut targets: Vec<u64> = dispatched(&out).iter().map(|d| d.1.0).collect();
    targets.sort();
    assert_eq!(targets, [0, 0, 1, 1, 2, 2]);
    let out = vm.step(SchedulerEvent::Cancel {
        request: RequestId(0),
    });
    assert_eq!(dispatched(&out).len(), 1, "{out:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are dispatched twice, or dispatched and refused.
    #[test]
    fn each_request_is_decided_at_most_once(
        steps in prop::collection::vec((0u8..6, 0u64..4, 1u64..9000), 1..200)
    ) {
        let mut vm = Vm::new(&[Role::Mixed, Role::Prefill, Role::Decode]);
        let mut decisions = std::collections::BTreeMap::new();
        for (position, (kind, workspace, tokens)) in steps.into_iter().enumerate() {
            let request = RequestId(position as u128 / 2);
            let out = match kind {
                0..=2 => vm.arrive(Arrival {
                    prompt_tokens: tokens,
                    deadline: Duration::from_millis(1200),
                    ..arrival(position as u128, workspace)
                }),
                3 => vm.step(SchedulerEvent::FirstToken { request }),
                4 => vm.step(SchedulerEvent::Finish { request, prompt_tokens: 1, output_tokens: 9 }),
                _ => {
                    vm.now += Duration::from_millis(100);
                    vm.step(SchedulerEvent::Tick)
                }
            };
            for command in out {
                let id = match command {
                    SchedulerCommand::Dispatch { request, .. }
                    | SchedulerCommand::Refuse { request, .. } => request,
                    _ => continue,
                };
                *decisions.entry(id).or_insert(0) += 1;
            }
        }
        prop_assert!(decisions.values().all(|count| *count == 1), "{decisions:?}");
    }
}
