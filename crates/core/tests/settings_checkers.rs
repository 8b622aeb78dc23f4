//! Tests of the checkers with hand-written valid and invalid histories.

mod support_settings;

use jujubebeam_core::Revision;
use jujubebeam_core::settings::replica::{Omit, Subtree};
use support_settings::check::Checker;
use support_settings::linear::{Op, is_linearizable};
use support_settings::ms;
use support_settings::world::World;
use todc_utils::Action::{Call, Response};

fn sequence(ops: &[Op]) -> Vec<(usize, todc_utils::Action<Op>)> {
    let pairs = ops.iter().enumerate();
    pairs
        .flat_map(|(p, op)| [(p, Call(op.clone())), (p, Response(op.clone()))])
        .collect()
}

fn wrote(expected: u64, revision: u64) -> Op {
    Op::Wrote { expected, revision }
}

/// Guards against a history checker that reports a valid history.
#[test]
fn good_history_is_accepted() {
    let conflict = Op::Conflicted {
        expected: 1,
        present: 2,
    };
    let ops = [wrote(0, 1), wrote(1, 2), conflict, Op::Read(2)];
    assert!(is_linearizable(sequence(&ops)));
}

/// Guards against a history checker that accepts two writes based on the same revision.
#[test]
fn two_writes_of_one_revision_are_reported() {
    assert!(!is_linearizable(sequence(&[
        wrote(0, 1),
        wrote(1, 2),
        wrote(1, 3)
    ])));
}

/// Guards against a history checker that misses the loss of an accepted change.
#[test]
fn lost_change_is_reported() {
    assert!(!is_linearizable(sequence(&[
        wrote(0, 1),
        wrote(1, 2),
        Op::Read(1)
    ])));
}

/// Guards against a history checker that accepts a conflict with a wrong present revision.
#[test]
fn false_conflict_is_reported() {
    let conflict = Op::Conflicted {
        expected: 1,
        present: 3,
    };
    let ops = [wrote(0, 1), wrote(1, 2), conflict];
    assert!(!is_linearizable(sequence(&ops)));
}

/// Guards against a checker that misses a vm that reverts to an older revision.
#[test]
fn revert_is_reported() {
    let mut checker = Checker::default();
    for revision in [5, 4] {
        let subtree = Subtree {
            name: "config/fleet".into(),
            revision: Revision(revision),
            text: None,
        };
        checker.applied(0, &subtree);
    }
    assert_eq!(checker.violations.len(), 1);
}

/// Guards against a checker that misses a vm that serves without an accepted change.
#[test]
fn late_change_is_reported() {
    let mut world = World::new(1, Omit::default());
    world.run_for(ms(4000));
    let revision = Revision(1000);
    let name = "config/teams/t0".to_owned();
    world.checker.accepted(world.now, name, revision);
    world.run_for(ms(5000));
    assert!(!world.checker.violations.is_empty());
}
