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
fn quiet_runs_are_in_force_within_the_aim() {
    for world in run_all("quiet", 100, scenario::quiet) {
        assert!(world.checker.accepted.len() >= 10);
        // The first second has the full reads of the start.
        let most = world.store.reads.values().max();
        assert!(most <= Some(&3), "{:?}", world.store.reads);
    }
}

/// Guards against lost, reverted or late changes under faults, alone and together.
#[test]
fn stormy_runs_hold_and_recover_within_the_aim() {
    let worlds = run_all("stormy", 300, scenario::stormy);
    let accepted: usize = worlds.iter().map(|w| w.checker.accepted.len()).sum();
    assert!(accepted > worlds.len(), "only {accepted} changes accepted");
    for world in &worlds {
        // At most every vm takes itself for a watcher, with one more read after a restart.
        let most = world.store.reads.values().max();
        assert!(most <= Some(&12), "{:?}", world.store.reads);
    }
}

/// Guards against a withdrawn key that a cut-off vm goes on to accept.
#[test]
fn cut_off_vm_stops_before_the_aim() {
    for world in run_all("cut_off", 200, scenario::cut_off) {
        assert_eq!(world.checker.accepted.len(), 1);
    }
}

/// Guards against an outage majority without a change that was accepted just before the outage.
#[test]
fn change_accepted_before_an_outage_survives_it() {
    let worlds = run_all("lost_with_store", 300, scenario::lost_with_store);
    let accepted = worlds.iter().filter(|w| !w.checker.accepted.is_empty());
    assert!(accepted.count() > 20);
}

/// Guards against a majority that counts vms which have lost the change by restarting.
#[test]
fn restarted_holders_do_not_form_a_majority() {
    let worlds = run_all("forgotten_majority", 200, scenario::forgotten_majority);
    let accepted = worlds.iter().filter(|w| !w.checker.accepted.is_empty());
    assert!(accepted.count() > 20);
}
