//! Randomised runs of settings distribution in the tree used by large fleets.

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
    assert!(run_all("without faults", 50, scenario::without_faults) >= 500);
    assert!(run_all("with random faults", 200, scenario::with_random_faults) > 200);
    assert!(run_all("partitioned vm", 100, scenario::partitioned_vm) == 100);
    assert!(
        run_all(
            "writer lost with store",
            200,
            scenario::writer_lost_with_store
        ) > 20
    );
    assert!(run_all("restarted majority", 100, scenario::restarted_majority) > 10);
}

/// Guards against vms that become stale because their parent is unresponsive and still listed.
#[test]
fn unresponsive_parent_makes_no_vm_stale() {
    assert!(run_all("unresponsive parent", 100, scenario::unresponsive_parent) > 50);
}

/// Guards against runs that would also pass if vms sent requests to their parent only.
#[test]
fn without_tree_fallback() {
    let omit = Omit {
        tree_fallback: true,
        ..TREE
    };
    let failed = (0..20).find(|seed| {
        let world = scenario::unresponsive_parent(*seed, omit);
        !world.checker.violations.is_empty()
    });
    assert!(failed.is_some(), "no seed fails without the fallback");
}
