//! Operator changes: lost answers, conflicts, refusals and status.

mod support_settings;

use jujubebeam_core::settings::replica::{ChangeOutcome, Event, Omit};
use support_settings::ms;
use support_settings::seeds;
use support_settings::world::{VMS, World};

const SUBTREE: &str = "config/teams/t0";

fn running_world(seed: u64) -> World {
    let mut world = World::new(seed, Omit::default());
    world.run_for(ms(4000));
    world
}

fn outcome(world: &World, ticket: u64) -> Option<ChangeOutcome> {
    world.recorder.operations[&ticket].outcome
}

/// Guards against a change that is reported as failed, or made twice, when its answer is lost
/// after it took effect.
#[test]
fn lost_answer_is_read_back() {
    for seed in seeds(200) {
        let mut world = running_world(seed);
        let writes = world.store.log.len();
        world.faults.lose_answers = true;
        let ticket = world.change((seed % u64::from(VMS)) as u32, 0);
        world.run_for(ms(12_000));
        let outcome = outcome(&world, ticket);
        let written = world.store.log.len() - writes;
        match outcome {
            Some(ChangeOutcome::Accepted { revision }) => {
                assert_eq!(revision, world.store.keys[SUBTREE].modified, "seed {seed}");
                assert_eq!(written, 1, "seed {seed}");
            }
            Some(ChangeOutcome::NotReachable) => assert_eq!(written, 0, "seed {seed}"),
            Some(ChangeOutcome::Unknown) => {}
            other => panic!("seed {seed}: {other:?}"),
        }
    }
}

/// Guards against a conflict that does not name the present revision.
#[test]
fn conflict_names_the_present_revision() {
    for seed in seeds(100) {
        let mut world = running_world(seed);
        let first = world.change(0, 0);
        let second = world.change(1, 0);
        world.run_for(ms(4000));
        let present = world.store.keys[SUBTREE].modified;
        let outcomes = [outcome(&world, first), outcome(&world, second)];
        let accepted = Some(ChangeOutcome::Accepted { revision: present });
        let conflict = Some(ChangeOutcome::Conflict {
            present: Some(present),
        });
        assert!(outcomes.contains(&accepted), "seed {seed}: {outcomes:?}");
        assert!(outcomes.contains(&conflict), "seed {seed}: {outcomes:?}");
    }
}

/// Guards against a change that is written by a vm that reaches the store but not a majority, or
/// that is not refused by a vm that reaches a majority but not the store.
#[test]
fn change_needs_store_and_majority() {
    for seed in seeds(100) {
        let mut world = running_world(seed);
        let writes = world.store.log.len();
        world.isolate(0);
        world.faults.cut_from_store.insert(1);
        let tickets = [world.change(0, 0), world.change(1, 1)];
        world.run_for(ms(12_000));
        for ticket in tickets {
            let outcome = outcome(&world, ticket);
            assert_eq!(outcome, Some(ChangeOutcome::NotReachable), "seed {seed}");
        }
        assert_eq!(world.store.log.len(), writes, "seed {seed}");
    }
}

/// Guards against a status that reports a change as in force on a vm that does not have it.
#[test]
fn status_shows_the_revision_of_every_live_vm() {
    let mut world = running_world(3);
    world.isolate(5);
    world.faults.cut_from_store.insert(5);
    world.change(0, 0);
    world.run_for(ms(4000));
    let subtree = SUBTREE.to_owned();
    world.feed(0, Event::Status { ticket: 1, subtree });
    world.run_for(ms(2500));
    let present = world.store.keys[SUBTREE].modified;
    let status = world.checker.status.clone();
    assert_eq!(status.len(), 5);
    assert!(
        status.iter().all(|(_, r)| *r == Some(present)),
        "{status:?}"
    );
}
