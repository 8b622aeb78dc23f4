//! Waits for vms that are silent for a while: counts of usage, and copies after a start.

use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{CollectStep, StartGate, UsageCollection};

const SECOND: Duration = Duration::from_secs(1);
const VMS: [VmId; 3] = [VmId(1), VmId(2), VmId(3)];

/// Guards against counts that are given up because their vm is frozen or cut off for some seconds.
#[test]
fn a_silent_vm_is_waited_for_while_the_report_is_on_time() {
    let mut collection = UsageCollection::default();
    let mut asked = Vec::new();
    for tenth in 0..60 {
        let now = SECOND * tenth / 10;
        let patience = (SECOND * 6).saturating_sub(now);
        match collection.next(7, &VMS, patience, now) {
            CollectStep::Query(vms) => {
                for vm in &vms {
                    // Vm 3 answers again after 4 s.
                    if *vm != VmId(3) || now >= SECOND * 4 {
                        collection.mark_received(7, *vm);
                    }
                }
                asked.push(vms);
            }
            CollectStep::Wait => {}
            CollectStep::Close { missing } => {
                assert_eq!(missing, 0);
                assert!((SECOND * 4..SECOND * 5).contains(&now), "{now:?}");
                assert_eq!(asked[0], VMS);
                assert!(asked[1..].iter().all(|vms| *vms == [VmId(3)]));
                return;
            }
        }
    }
    panic!("the window was never closed");
}

/// Guards against a report that is late because a vm is gone for good.
#[test]
fn a_lost_vm_costs_its_counts_and_no_report() {
    let mut collection = UsageCollection::default();
    assert!(matches!(
        collection.next(7, &VMS, SECOND, SECOND),
        CollectStep::Query(_)
    ));
    collection.mark_received(7, VmId(1));
    assert_eq!(
        collection.next(7, &VMS, Duration::ZERO, SECOND * 2),
        CollectStep::Close { missing: 2 }
    );
    // A holder that takes over late asks once.
    let mut late = UsageCollection::default();
    assert!(matches!(
        late.next(7, &VMS, Duration::ZERO, SECOND),
        CollectStep::Query(_)
    ));
    assert_eq!(
        late.next(7, &VMS, Duration::ZERO, SECOND),
        CollectStep::Close { missing: 3 }
    );
}

/// Guards against a vm that serves right after its start from the copy of a vm that is behind, with
/// keys and targets that the vm itself knew to be gone.
#[test]
fn a_started_vm_compares_copies_before_it_serves() {
    let mut gate = StartGate::default();
    assert!(!gate.is_open(5, false, SECOND));
    gate.compared_with(VMS[0]);
    assert!(!gate.is_open(5, true, SECOND));
    gate.compared_with(VMS[0]);
    gate.compared_with(VMS[1]);
    assert!(!gate.is_open(5, true, SECOND * 3 / 2));
    gate.compared_with(VMS[2]);
    assert!(gate.is_open(5, true, SECOND * 3 / 2));
}

/// Guards against a vm that never serves: the store answers, few others exist, or they are silent.
#[test]
fn a_started_vm_does_not_wait_for_long() {
    let mut from_store = StartGate::default();
    from_store.mark_settings_read();
    assert!(from_store.is_waiting());
    from_store.mark_targets_read();
    assert!(!from_store.is_open(90, false, SECOND));
    assert!(from_store.is_open(90, true, SECOND));
    let mut of_two = StartGate::default();
    of_two.compared_with(VMS[0]);
    assert!(of_two.is_open(1, true, SECOND));
    let mut silent = StartGate::default();
    assert!(!silent.is_open(5, true, SECOND));
    assert!(silent.is_open(5, true, SECOND * 2));
}
