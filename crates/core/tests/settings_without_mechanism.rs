//! Checks that the runs of `settings_runs.rs` fail when a mechanism is disabled.
//!
//! These tests have a file of their own, because the violation counters are shared by the process.

mod support_settings;

use jujubebeam_core::settings::replica::Omit;
use support_settings::scenario;
use support_settings::world::World;

fn assert_fails(name: &str, omit: Omit, scenario: fn(u64, Omit) -> World) {
    for seed in 0..300 {
        let world = scenario(seed, omit);
        if let Some(violation) = world.checker.violations.first() {
            println!("without {name}: seed {seed}: {violation}");
            return;
        }
    }
    panic!("no seed fails without {name}");
}

/// Guards against a checker that misses a reverted subtree.
#[test]
fn without_revision_order() {
    let omit = Omit {
        revision_order: true,
        ..Omit::default()
    };
    assert_fails("revision order", omit, scenario::with_random_faults);
}

/// Guards against partition runs that would also pass without a limit on staleness.
#[test]
fn without_stale_limit() {
    let omit = Omit {
        stale_limit: true,
        ..Omit::default()
    };
    assert_fails("stale limit", omit, scenario::partitioned_vm);
}

/// Guards against partition runs that would also pass if every vm could enter outage mode alone.
#[test]
fn without_outage_majority() {
    let omit = Omit {
        outage_majority: true,
        ..Omit::default()
    };
    assert_fails("outage majority", omit, scenario::partitioned_vm);
}

/// Guards against outage runs that would also pass if a change were accepted as soon as the store
/// has it.
#[test]
fn without_confirmation() {
    let omit = Omit {
        confirmation: true,
        ..Omit::default()
    };
    assert_fails("confirmation", omit, scenario::writer_lost_with_store);
}

/// Guards against outage runs that would also pass if restarted vms without their earlier state
/// counted towards a majority.
#[test]
fn without_witness_rule() {
    let omit = Omit {
        witness: true,
        ..Omit::default()
    };
    assert_fails("witness rule", omit, scenario::restarted_majority);
}

/// Guards against histories that would also pass if a lost answer were treated as a failed write.
#[test]
fn without_read_back() {
    let omit = Omit {
        read_back: true,
        ..Omit::default()
    };
    assert_fails("read-back", omit, scenario::with_random_faults);
}

/// Guards against runs without faults that would also pass if only watchers received changes.
#[test]
fn without_anti_entropy() {
    let omit = Omit {
        anti_entropy: true,
        ..Omit::default()
    };
    assert_fails("anti-entropy", omit, scenario::without_faults);
}
