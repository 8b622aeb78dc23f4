//! Randomised runs of settings distribution in the tree that large fleets use.

mod support_settings;

use jujubebeam_core::settings::replica::Omit;
use support_settings::scenario;
use support_settings::seeds;
use support_settings::world::World;

const TREE: Omit = Omit {
    revision_order: false,
    stale_limit: false,
    outage_majority: false,
    confirmation: false,
    read_back: false,
    witness: false,
    anti_entropy: false,
    tree_fallback: false,
    tree_burst: false,
    pairs: true,
};

fn run_all(name: &str, number: u64, scenario: fn(u64, Omit) -> World) -> usize {
    let mut accepted = 0;
    for seed in seeds(number) {
        let world = scenario(seed, TREE);
        let violations = &world.checker.violations;
        assert!(violations.is_empty(), "{name} seed {seed}: {violations:#?}");
        accepted += world.checker.accepted.len();
    }
    accepted
}

/// Guards against changes that are lost, reverted or late in the tree.
#[test]
fn tree_runs_hold() {
    assert!(run_all("quiet", 50, scenario::quiet) >= 500);
    assert!(run_all("stormy", 200, scenario::stormy) > 200);
    assert!(run_all("cut_off", 100, scenario::cut_off) == 100);
    assert!(run_all("lost_with_store", 200, scenario::lost_with_store) > 20);
    assert!(run_all("forgotten_majority", 100, scenario::forgotten_majority) > 10);
}

/// Guards against descendants that turn stale when their parent is silent and still listed.
#[test]
fn silent_parent_makes_nobody_stale() {
    assert!(run_all("silent_parent", 100, scenario::silent_parent) > 50);
}

/// Guards against runs that would pass if vms asked nobody but their parent.
#[test]
fn without_tree_fallback() {
    let omit = Omit {
        tree_fallback: true,
        ..TREE
    };
    let failed = (0..20).find(|seed| {
        let world = scenario::silent_parent(*seed, omit);
        !world.checker.violations.is_empty()
    });
    assert!(failed.is_some(), "no seed fails without the fallback");
}
