//! Writes to a restored store, as seen by the adapter that would send them.

use std::cell::RefCell;
use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::store::{Entry, Expected, StoreOp, StoreReply};
use jujubebeam_gateway::{StoreApi, WatchReply};
use ntex::client::Client;

const OLD: u64 = 1;
const NEW: u64 = 2;

fn at(era: u64, number: u64) -> Revision {
    Revision::in_era(era, number).expect("both are small")
}

/// An adapter that records what it sends and gives one reply to everything.
struct FakeStore {
    reply: StoreReply,
    sent: RefCell<Vec<StoreOp>>,
}

impl FakeStore {
    fn replying(reply: StoreReply) -> Self {
        Self {
            reply,
            sent: RefCell::default(),
        }
    }
}

impl StoreApi for FakeStore {
    fn new(_http: Client, _address: &str) -> Self {
        Self::replying(StoreReply::Unknown)
    }

    fn newest_era(&self) -> u64 {
        NEW
    }

    async fn send(&self, op: StoreOp) -> StoreReply {
        self.sent.borrow_mut().push(op);
        self.reply.clone()
    }

    async fn list_stale(&self, _prefix: &str) -> StoreReply {
        StoreReply::Unknown
    }

    async fn watch(&self, _prefix: &str, _after: Revision, _wait: Duration) -> WatchReply {
        WatchReply::Compacted
    }

    async fn changes_since(&self, _prefix: &str, _after: Revision) -> WatchReply {
        WatchReply::Compacted
    }
}

fn write(expected: Revision) -> StoreOp {
    StoreOp::Cas {
        key: "key".into(),
        expected: Expected::At(expected),
        value: b"new".to_vec(),
        lease: None,
        guard: None,
    }
}

fn read() -> StoreOp {
    StoreOp::Get { key: "key".into() }
}

/// Guards against a write that replaces another value after a restore, and against one that is refused
/// without the entry with which its writer can go on.
#[ntex::test]
async fn a_write_with_a_condition_from_before_a_restore_is_not_sent() {
    let current = Some(Entry {
        key: "key".into(),
        value: b"copied".to_vec(),
        created: at(NEW, 5),
        modified: at(NEW, 5),
    });
    let store = FakeStore::replying(StoreReply::Value {
        entry: current.clone(),
        store: at(NEW, 6),
    });
    let reply = store.perform(write(at(OLD, 5))).await;
    let conflict = StoreReply::Conflict {
        current,
        store: at(NEW, 6),
    };
    assert_eq!(reply, conflict);
    assert_eq!(store.sent.take(), [read()]);
}

/// Guards against a conflict that is reported although the current entry could not be read.
#[ntex::test]
async fn a_failed_read_in_place_of_an_outdated_write_is_no_conflict() {
    for failure in [StoreReply::Refused, StoreReply::Unknown] {
        let store = FakeStore::replying(failure.clone());
        assert_eq!(store.perform(write(at(OLD, 5))).await, failure);
        assert_eq!(store.sent.take(), [read()]);
    }
}

/// Guards against writes that are withheld, and reads that are taken for conflicts, after a restore.
#[ntex::test]
async fn operations_of_the_newest_era_are_sent_as_they_are() {
    let reply = StoreReply::Value {
        entry: None,
        store: at(NEW, 6),
    };
    for op in [write(at(NEW, 5)), read()] {
        let store = FakeStore::replying(reply.clone());
        assert_eq!(store.perform(op.clone()).await, reply);
        assert_eq!(store.sent.take(), [op]);
    }
}
