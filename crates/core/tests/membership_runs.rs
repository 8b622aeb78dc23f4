//! Address answers, detection of unreachable vms and drain.

mod support_settings;

use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::invariant::{self, Invariant};
use jujubebeam_core::membership::{Event, VmState};
use support_settings::fleet::{Fleet, record};
use support_settings::{ms, seeds};

fn running_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(6, seed, |_| {});
    fleet.loss_percent = 10;
    fleet.run_for(ms(3000));
    fleet
}

/// Guards against answers that list another zone first, or that direct every caller to one vm.
#[test]
fn addresses_start_with_the_callers_zone_and_rotate() {
    let mut fleet = Fleet::new(6, 1, |_| {});
    fleet.run_for(ms(3000));
    let firsts: Vec<_> = (0..4).map(|h| fleet.addresses(0, "zone-1", h)).collect();
    for answer in &firsts {
        assert_eq!(answer.len(), 6);
        assert!(answer[..2].iter().all(|vm| vm % 3 == 1), "{answer:?}");
    }
    assert_ne!(firsts[0][0], firsts[1][0]);
    assert_ne!(firsts[0][2], firsts[1][2]);
}

/// Guards against address answers that continue to contain a leaving vm, here with 10 % message
/// loss.
#[test]
fn leaving_vm_is_omitted_from_all_answers() {
    for seed in seeds(100) {
        let mut fleet = running_fleet(seed);
        fleet.feed(2, Event::Leave { linger: true });
        assert!(!fleet.addresses(2, "zone-2", 0).contains(&2));
        fleet.run_for(ms(2000));
        for vm in 0..6 {
            assert!(
                !fleet.addresses(vm, "zone-2", 0).contains(&2),
                "seed {seed}"
            );
        }
    }
}

/// Guards against address answers that continue to contain an unreachable vm, and against a vm that
/// stays unreachable after the network has recovered.
#[test]
fn unreachable_vm_is_omitted_until_it_returns() {
    for seed in seeds(50) {
        let mut fleet = running_fleet(seed);
        fleet.isolated.insert(4);
        fleet.run_for(ms(8000));
        for vm in [0, 1, 2, 3, 5] {
            let live = fleet.members[vm].machine.live(fleet.now);
            assert!(!live.contains(&VmId(4)), "seed {seed} vm {vm}");
        }
        fleet.isolated.clear();
        fleet.loss_percent = 0;
        fleet.run_for(ms(9000));
        for vm in 0..6 {
            assert_eq!(
                fleet.members[vm].machine.live(fleet.now).len(),
                6,
                "seed {seed}"
            );
        }
    }
}

/// Guards against a shutdown that interrupts a caller that still uses an address answer, or a
/// request that runs longer than the linger time.
#[test]
fn shutdown_waits_for_answers_and_requests() {
    for seed in seeds(50) {
        let mut fleet = running_fleet(seed);
        fleet.feed(1, Event::Leave { linger: true });
        fleet.run_for(ms(13_800));
        assert_eq!(fleet.members[1].exited, None, "seed {seed}");
        fleet.members[1].running = 1;
        fleet.run_for(ms(20_000));
        assert_eq!(fleet.members[1].exited, None, "seed {seed}");
        fleet.members[1].running = 0;
        fleet.run_for(ms(500));
        assert!(fleet.members[1].exited.is_some(), "seed {seed}");
    }
    assert_eq!(invariant::count(Invariant::GracefulShutdownCutsNothing), 0);
}

/// Guards against a shutdown test that would also pass without the wait.
#[test]
fn without_linger_the_vm_ends_before_answers_expire() {
    let mut fleet = Fleet::new(6, 1, |config| config.omit_linger = true);
    fleet.run_for(ms(3000));
    fleet.feed(1, Event::Leave { linger: true });
    fleet.run_for(ms(500));
    let exited = fleet.members[1].exited.expect("the vm has ended");
    assert!(exited < ms(3000) + Duration::from_secs(10));
}

/// Guards against a SIGINT that waits although no request runs, or that interrupts a running
/// request.
#[test]
fn interrupt_waits_for_running_requests_only() {
    let mut fleet = running_fleet(5);
    fleet.feed(0, Event::Leave { linger: false });
    fleet.run_for(ms(300));
    assert!(fleet.members[0].exited.is_some());
    fleet.members[3].running = 2;
    fleet.feed(3, Event::Running(2));
    fleet.feed(3, Event::Leave { linger: false });
    fleet.run_for(ms(5000));
    assert_eq!(fleet.members[3].exited, None);
}

/// Guards against an outdated list that returns a leaving vm to service or hides a running one.
#[test]
fn records_of_vms_take_precedence_over_an_outdated_list() {
    let mut fleet = running_fleet(9);
    // The list still shows vm 2 as live, as `Fleet::list` does not change by itself.
    fleet.feed(2, Event::Leave { linger: true });
    fleet.run_for(ms(4000));
    let seen = fleet.members[0].machine.record(VmId(2)).map(|r| r.state);
    assert_eq!(seen, Some(VmState::Leaving));
    fleet.list.retain(|r| r.vm != VmId(5));
    fleet.run_for(ms(2000));
    assert!(fleet.addresses(0, "zone-0", 0).contains(&5));
    assert!(!fleet.members[0].machine.listed().contains(&VmId(5)));
}

/// Guards against address answers that contain a vm which the list marks as leaving.
#[test]
fn listed_leaving_vm_is_omitted() {
    let mut fleet = running_fleet(9);
    for listed in fleet.list.iter_mut().filter(|r| r.vm == VmId(3)) {
        *listed = record(3, 0);
        listed.state = VmState::Leaving;
    }
    fleet.run_for(ms(1500));
    assert!(!fleet.addresses(0, "zone-0", 0).contains(&3));
}
