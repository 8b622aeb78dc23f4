//! Disables each mechanism of planned changes: the checks must then report violations.

mod support;

use jujubebeam_core::change::ChangeFaults;
use jujubebeam_core::invariant::{self, Invariant};
use support::change_history::violations;
use support::change_world::run;

fn expect_violation(faults: ChangeFaults, seeds: u64) {
    let seed = (0..seeds).find(|seed| !violations(&run(*seed, faults).history).is_empty());
    println!("{faults:?}: first violation at seed {seed:?}");
    assert!(seed.is_some(), "no seed shows a violation with {faults:?}");
}

/// Guards against a simulation in which orders without acknowledgements do no harm, and against a
/// check in the program that misses them.
#[test]
fn requests_are_cut_without_acknowledgements() {
    let before = invariant::count(Invariant::PlannedChangeCutsNothing);
    expect_violation(
        ChangeFaults {
            skip_acknowledgements: true,
            ..ChangeFaults::default()
        },
        100,
    );
    assert!(invariant::count(Invariant::PlannedChangeCutsNothing) > before);
}

/// Guards against a simulation in which no holder pauses between acknowledgement and order.
#[test]
fn requests_are_cut_if_ordered_marks_expire_by_time() {
    expect_violation(
        ChangeFaults {
            expire_ordered: true,
            ..ChangeFaults::default()
        },
        100,
    );
}

/// Guards against a simulation in which no vm restarts between acknowledgement and order.
#[test]
fn requests_are_cut_if_new_vms_do_not_query_marks() {
    expect_violation(
        ChangeFaults {
            skip_sync: true,
            ..ChangeFaults::default()
        },
        200,
    );
}
