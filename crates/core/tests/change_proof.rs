//! Randomised runs of planned changes.

mod support;

use std::time::Duration;

use jujubebeam_core::TargetId;
use jujubebeam_core::change::ChangeFaults;
use jujubebeam_core::invariant;
use support::change_history::{Happened, violations};
use support::change_world::run;
use support::seeds;

/// Guards against requests cut by planned changes while messages are lost, late and reordered, vms
/// die or pause between acknowledgement and order, holders are lost midway, and engines crash in
/// an order; and against targets that stay out of service afterwards.
#[test]
fn planned_changes_cut_nothing() {
    let before = invariant::total();
    let mut sums = [0; 6];
    for seed in 0..seeds::count(60) {
        let run = run(seed, ChangeFaults::default());
        let found = violations(&run.history);
        assert!(found.is_empty(), "seed {seed}: {found:?}");
        assert!(run.calm_orders > 0, "seed {seed}: no order in calm time");
        for target in 0..3 {
            let work = run.last_work.get(&TargetId(target));
            assert!(work.is_some(), "seed {seed}: target {target} gets no work");
        }
        let of_run = [
            run.orders,
            run.calm_orders,
            run.postponed,
            run.takeovers,
            run.late_sends,
            run.crashes_in_order,
        ];
        sums.iter_mut().zip(of_run).for_each(|(s, n)| *s += n);
    }
    println!("orders, in calm time, postponed, taken over, late, crashed: {sums:?}");
    assert!(sums.iter().all(|s| *s > 0), "{sums:?}");
    assert_eq!(invariant::total(), before);
}

/// Guards against a check that misses a cut request or work sent to a changing target.
#[test]
fn bad_histories_are_reported() {
    let at = |s| Duration::from_secs(s);
    let target = TargetId(1);
    let good = [
        (at(1), target, Happened::Started(1)),
        (at(2), target, Happened::Over(1)),
        (at(3), target, Happened::Ordered),
        (at(5), target, Happened::Serves),
        (at(6), target, Happened::Started(2)),
    ];
    assert!(violations(&good).is_empty());
    let cut = [good[0], good[2]];
    assert!(violations(&cut)[0].starts_with("cut by a change"));
    let met = [good[2], good[4], good[3]];
    assert!(violations(&met)[0].starts_with("sent to a changing target"));
}
