//! Conditions of writes to a store that was restored from an older copy and gives the numbers of
//! revisions out again.

use jujubebeam_core::Revision;
use jujubebeam_core::store::{Expected, Guard, LeaseId, StoreOp};

const OLD: u64 = 1;
const NEW: u64 = 2;

fn at(era: u64, number: u64) -> Revision {
    Revision::in_era(era, number).expect("both are small")
}

fn cas(expected: Expected, guard: Option<Revision>) -> StoreOp {
    StoreOp::Cas {
        key: "written".into(),
        expected,
        value: Vec::new(),
        lease: None,
        guard: guard.map(|created| Guard {
            key: "guard".into(),
            created,
        }),
    }
}

/// Guards against a write whose condition holds only because a restored store has given the same
/// number to another value.
#[test]
fn a_condition_from_before_a_restore_is_outdated() {
    let outdated = [
        cas(Expected::At(at(OLD, 900)), None),
        cas(Expected::At(at(OLD, 900)), Some(at(NEW, 3))),
        cas(Expected::At(at(NEW, 3)), Some(at(OLD, 900))),
        cas(Expected::Absent, Some(at(OLD, 900))),
        StoreOp::Delete {
            key: "written".into(),
            expected: at(OLD, 900),
        },
    ];
    for op in outdated {
        assert_eq!(op.outdated_key(NEW), Some("written"), "{op:?}");
        assert_eq!(op.outdated_key(OLD), None, "{op:?}");
    }
}

/// Guards against operations that are withheld from a restored store although no condition of theirs
/// is from before the restore.
#[test]
fn an_operation_without_a_condition_from_before_a_restore_is_not_outdated() {
    let key = || "read".to_owned();
    let lease = LeaseId(7);
    let usable = [
        cas(Expected::Absent, None),
        cas(Expected::At(at(NEW, 3)), None),
        cas(Expected::At(at(NEW, 3)), Some(at(NEW, 2))),
        // The store itself decides on conditions of an era that this vm has not seen yet.
        cas(Expected::At(at(NEW + 1, 1)), None),
        StoreOp::Delete {
            key: key(),
            expected: at(NEW, 3),
        },
        StoreOp::CreateAll {
            entries: vec![(key(), Vec::new())],
            lease: Some(lease),
        },
        StoreOp::Get { key: key() },
        StoreOp::List { prefix: key() },
        StoreOp::ListSince {
            prefix: key(),
            after: at(OLD, 900),
        },
        StoreOp::KeepAlive { lease },
        StoreOp::Revoke { lease },
    ];
    for op in usable {
        assert_eq!(op.outdated_key(NEW), None, "{op:?}");
    }
}
