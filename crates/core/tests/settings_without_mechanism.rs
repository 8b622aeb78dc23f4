//! Shows that the runs of `settings_runs.rs` fail when a mechanism is left out.
//!
//! These are in a test file of their own, as the counters of violations belong to the process.

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

/// Guards against a checker that does not see a reverted subtree.
#[test]
fn without_revision_order() {
    let omit = Omit {
        revision_order: true,
        ..Omit::default()
    };
    assert_fails("revision order", omit, scenario::stormy);
}

/// Guards against a cut-off run that would pass without any limit on staleness.
#[test]
fn without_stale_limit() {
    let omit = Omit {
        stale_limit: true,
        ..Omit::default()
    };
    assert_fails("stale limit", omit, scenario::cut_off);
}

/// Guards against a cut-off run that would pass if every vm could enter outage mode alone.
#[test]
fn without_outage_majority() {
    let omit = Omit {
        outage_majority: true,
        ..Omit::default()
    };
    assert_fails("outage majority", omit, scenario::cut_off);
}

/// Guards against outage runs that would pass if a change were accepted on the store's word only.
#[test]
fn without_confirmation() {
    let omit = Omit {
        confirmation: true,
        ..Omit::default()
    };
    assert_fails("confirmation", omit, scenario::lost_with_store);
}

/// Guards against outage runs that would pass if vms that lost their memory counted.
#[test]
fn without_witness_rule() {
    let omit = Omit {
        witness: true,
        ..Omit::default()
    };
    assert_fails("witness rule", omit, scenario::forgotten_majority);
}

/// Guards against histories that would pass if a lost answer were taken for a failed write.
#[test]
fn without_read_back() {
    let omit = Omit {
        read_back: true,
        ..Omit::default()
    };
    assert_fails("read-back", omit, scenario::stormy);
}

/// Guards against quiet runs that would pass if only watchers learned of changes.
#[test]
fn without_anti_entropy() {
    let omit = Omit {
        anti_entropy: true,
        ..Omit::default()
    };
    assert_fails("anti-entropy", omit, scenario::quiet);
}
