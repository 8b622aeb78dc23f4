//! Randomised fault tests of planned changes. `JUJUBEBEAM_SEEDS` sets the number of seeds.

mod support;

use std::time::Duration;

use jujubebeam_core::TargetId;
use jujubebeam_core::change::ChangeFaults;
use jujubebeam_core::invariant;
use support::change_history::{TargetEvent, violations};
use support::change_world::run;
use support::seeds;

/// Guards against requests that are cut by planned changes while messages are lost, delayed and
/// reordered, vms are killed or paused between acknowledgement and order, a holder is lost during a
/// change, and engines crash while they execute an order. Also guards against targets that stay out
/// of service afterwards.
#[test]
fn planned_changes_cut_nothing() {
    let before = invariant::total();
    let mut sums = [0; 6];
    for seed in 0..seeds::count(60) {
        let run = run(seed, ChangeFaults::default());
        let found = violations(&run.history);
        assert!(found.is_empty(), "seed {seed}: {found:?}");
        assert!(
            run.orders_after_faults > 0,
            "seed {seed}: no order after the faults"
        );
        for target in 0..3 {
            let requests = run.final_requests.get(&TargetId(target));
            assert!(
                requests.is_some(),
                "seed {seed}: target {target} gets no requests"
            );
        }
        let of_run = [
            run.orders,
            run.orders_after_faults,
            run.postponed,
            run.takeovers,
            run.delayed_sends,
            run.crashes_in_order,
        ];
        sums.iter_mut().zip(of_run).for_each(|(s, n)| *s += n);
    }
    println!("orders, after faults, postponed, taken over, delayed, crashed: {sums:?}");
    assert!(sums.iter().all(|s| *s > 0), "{sums:?}");
    assert_eq!(invariant::total(), before);
}

/// Guards against a check that misses a cut request or a request sent to a changing target.
#[test]
fn bad_histories_are_reported() {
    let at = |s| Duration::from_secs(s);
    let target = TargetId(1);
    let good = [
        (at(1), target, TargetEvent::RequestStarted(1)),
        (at(2), target, TargetEvent::RequestEnded(1)),
        (at(3), target, TargetEvent::OrderStarted),
        (at(5), target, TargetEvent::ServingAgain),
        (at(6), target, TargetEvent::RequestStarted(2)),
    ];
    assert!(violations(&good).is_empty());
    let cut = [good[0], good[2]];
    assert!(violations(&cut)[0].starts_with("cut by a change"));
    let sent_while_changing = [good[2], good[4], good[3]];
    assert!(violations(&sent_while_changing)[0].starts_with("sent to a changing target"));
}
