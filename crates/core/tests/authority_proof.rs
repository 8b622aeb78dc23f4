//! Randomised fault tests of `no_conflicting_orders`, `stale_holder_has_no_effect` and
//! `one_platform_orderer`. `JUJUBEBEAM_SEEDS` sets the number of seeds.

mod support;

use std::time::Duration;

use jujubebeam_core::invariant;
use support::order_world::{OrderWorldConfig, run};
use support::receivers::violations;
use support::seeds;

/// Guards against effective orders of a holder that lost its lease while it was paused, killed, cut
/// off from the store or without answers, and against scopes that stay blocked after the faults.
#[test]
fn orders_stay_consistent_under_faults() {
    let (mut delayed, mut acquisitions, mut arrivals, mut shutdowns) = (0, 0, 0, 0);
    for seed in 0..seeds::count(300) {
        let run = run(OrderWorldConfig::new(seed));
        let found = violations(&run.history);
        assert!(found.is_empty(), "seed {seed}: {found:#?}");
        assert_eq!(invariant::total(), 0, "seed {seed}");
        assert_eq!(
            run.finished_after_faults.len(),
            4,
            "seed {seed}: {:?}",
            run.finished_after_faults
        );
        delayed += run.delayed_sends;
        acquisitions += run.acquisitions;
        shutdowns += run.shutdowns;
        arrivals += run.history.len();
    }
    println!(
        "delayed sends {delayed}, leases {acquisitions}, arrivals {arrivals}, shutdowns {shutdowns}"
    );
    assert!(
        delayed > 0 && acquisitions > 0 && shutdowns > 0,
        "the faults did not occur"
    );
}

fn calls_per_second(vms: u32) -> f64 {
    let mut config = OrderWorldConfig::new(1);
    config.vms = Some(vms);
    config.requests = false;
    config.fault_period = Duration::ZERO;
    config.recovery_period = Duration::from_secs(600);
    run(config).store_calls as f64 / 600.0
}

/// Guards against a number of store calls that grows with the number of vms.
#[test]
fn store_calls_do_not_grow_with_the_fleet() {
    let (few, many) = (calls_per_second(6), calls_per_second(120));
    println!("store calls per second for 4 scopes: {few:.1} by 6 vms, {many:.1} by 120 vms");
    assert!(many < few * 1.5, "{few} by 6 vms, {many} by 120 vms");
}
