//! Waits for vms that are temporarily unresponsive: usage counts, and replicas after a start.

use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::{CollectStep, StartGate, UsageCollection};

const SECOND: Duration = Duration::from_secs(1);
const VMS: [VmId; 3] = [VmId(1), VmId(2), VmId(3)];

/// Guards against counts that are omitted because their vm is frozen or partitioned for some
/// seconds.
#[test]
fn an_unresponsive_vm_is_awaited_while_the_report_is_on_time() {
    let mut collection = UsageCollection::default();
    let mut queried = Vec::new();
    for tenth in 0..60 {
        let now = SECOND * tenth / 10;
        let time_left = (SECOND * 6).saturating_sub(now);
        match collection.next(7, &VMS, time_left, now) {
            CollectStep::Query(vms) => {
                for vm in &vms {
                    // Vm 3 answers again after 4 s.
                    if *vm != VmId(3) || now >= SECOND * 4 {
                        collection.mark_received(7, *vm);
                    }
                }
                queried.push(vms);
            }
            CollectStep::Wait => {}
            CollectStep::Close { missing } => {
                assert_eq!(missing, 0);
                assert!((SECOND * 4..SECOND * 5).contains(&now), "{now:?}");
                assert_eq!(queried[0], VMS);
                assert!(queried[1..].iter().all(|vms| *vms == [VmId(3)]));
                return;
            }
        }
    }
    panic!("the window was never closed");
}

/// Guards against a report that is late because a vm has failed permanently.
#[test]
fn a_failed_vm_does_not_delay_the_report() {
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
    // A holder that takes over late queries once.
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

/// Guards against a vm that serves right after its start from the outdated replica of another vm,
/// with keys and targets whose removal it had already received before its restart.
#[test]
fn a_started_vm_compares_copies_before_it_serves() {
    let mut gate = StartGate::default();
    gate.mark_crashes_queried();
    gate.mark_versions_queried();
    assert!(!gate.is_open(5, false, SECOND));
    gate.compared_with(VMS[0]);
    assert!(!gate.is_open(5, true, SECOND));
    gate.compared_with(VMS[0]);
    gate.compared_with(VMS[1]);
    assert!(!gate.is_open(5, true, SECOND * 3 / 2));
    gate.compared_with(VMS[2]);
    assert!(gate.is_open(5, true, SECOND * 3 / 2));
}

/// Guards against a vm that never serves: the store answers, few other vms exist, or they are
/// unresponsive.
#[test]
fn a_started_vm_does_not_wait_for_long() {
    let mut from_store = StartGate::default();
    from_store.mark_settings_read();
    assert!(from_store.is_waiting());
    from_store.mark_targets_read();
    from_store.mark_crashes_queried();
    from_store.mark_versions_queried();
    assert!(!from_store.is_open(90, false, SECOND));
    assert!(from_store.is_open(90, true, SECOND));
    let mut with_one_peer = StartGate::default();
    with_one_peer.compared_with(VMS[0]);
    with_one_peer.mark_crashes_queried();
    with_one_peer.mark_versions_queried();
    assert!(with_one_peer.is_open(1, true, SECOND));
    let mut unresponsive = StartGate::default();
    assert!(!unresponsive.is_open(5, true, SECOND));
    assert!(unresponsive.is_open(5, true, SECOND * 2));
}

/// Guards against a vm that sends a request to targets right after all vms have started, before it knows
/// that the request crashes them, or at which versions streams may begin.
#[test]
fn a_started_vm_queries_crash_counts_and_versions_before_it_serves() {
    let mut from_store = StartGate::default();
    from_store.mark_settings_read();
    from_store.mark_targets_read();
    assert!(!from_store.is_open(0, true, SECOND));
    from_store.mark_crashes_queried();
    assert!(!from_store.is_open(0, true, SECOND));
    from_store.mark_versions_queried();
    assert!(from_store.is_open(0, true, SECOND));
    let mut from_peer = StartGate::default();
    from_peer.compared_with(VMS[0]);
    assert!(!from_peer.is_open(1, true, SECOND));
    assert!(
        from_peer.is_open(1, true, SECOND * 2),
        "the store does not reply"
    );
}
