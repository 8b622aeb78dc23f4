//! Randomised runs of settings distribution.

mod support_settings;

use jujubebeam_core::invariant;
use jujubebeam_core::settings::replica::Omit;
use support_settings::scenario;
use support_settings::seeds;
use support_settings::world::World;

fn run_all(name: &str, number: u64, scenario: fn(u64, Omit) -> World) -> Vec<World> {
    let mut worlds = Vec::new();
    for seed in seeds(number) {
        let world = scenario(seed, Omit::default());
        let violations = &world.checker.violations;
        assert!(violations.is_empty(), "{name} seed {seed}: {violations:#?}");
        worlds.push(world);
    }
    assert_eq!(invariant::total(), 0);
    worlds
}

/// Guards against a change that needs more than 4 s without any fault, and against store calls
/// that exceed one read a second for each of the three watchers.
#[test]
fn changes_without_faults_are_in_force_within_the_target() {
    for world in run_all("without faults", 100, scenario::without_faults) {
        assert!(world.checker.accepted.len() >= 10);
        // The first second contains the full reads after the start.
        let most = world.store.reads.values().max();
        assert!(most <= Some(&3), "{:?}", world.store.reads);
    }
}

/// Guards against lost, reverted or late changes under single and combined faults.
#[test]
fn runs_with_random_faults_recover_within_the_target() {
    let worlds = run_all("with random faults", 300, scenario::with_random_faults);
    let accepted: usize = worlds.iter().map(|w| w.checker.accepted.len()).sum();
    assert!(accepted > worlds.len(), "only {accepted} changes accepted");
    for world in &worlds {
        // In the worst case every vm considers itself a watcher, with one more read after a restart.
        let most = world.store.reads.values().max();
        assert!(most <= Some(&12), "{:?}", world.store.reads);
    }
}

/// Guards against a partitioned vm that continues to accept a withdrawn key.
#[test]
fn partitioned_vm_stops_within_the_target() {
    for world in run_all("partitioned vm", 200, scenario::partitioned_vm) {
        assert_eq!(world.checker.accepted.len(), 1);
    }
}

/// Guards against a majority in outage mode that lacks a change accepted just before the outage.
#[test]
fn change_accepted_before_an_outage_survives_it() {
    let worlds = run_all(
        "writer lost with store",
        300,
        scenario::writer_lost_with_store,
    );
    let accepted = worlds.iter().filter(|w| !w.checker.accepted.is_empty());
    assert!(accepted.count() > 20);
}

/// Guards against a majority that counts vms that have lost the change in a restart.
#[test]
fn restarted_holders_do_not_form_a_majority() {
    let worlds = run_all("restarted majority", 200, scenario::restarted_majority);
    let accepted = worlds.iter().filter(|w| !w.checker.accepted.is_empty());
    assert!(accepted.count() > 20);
}
