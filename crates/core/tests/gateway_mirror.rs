//! Replicas of the store on several vms, which are updated in any order by watches, listings and
//! other vms.

use std::collections::BTreeMap;

use jujubebeam_core::Revision;
use jujubebeam_core::gateway::{Mirror, MirrorDelta, MirrorItem};
use jujubebeam_core::store::Entry;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VMS: usize = 3;

/// A store with its history.
#[derive(Default)]
struct Store {
    /// Key and value of each change, or `None` for a removal. The revision is the index and 1.
    changes: Vec<(u8, Option<u8>)>,
    /// Changes up to this revision have been discarded from the history.
    discarded: u64,
}

impl Store {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Content at a revision: value and revision of the last change by key.
    fn content(&self, at: u64) -> BTreeMap<String, (u64, u8)> {
        let mut content = BTreeMap::new();
        for (index, (key, value)) in self.changes.iter().take(at as usize).enumerate() {
            match value {
                Some(value) => content.insert(name(*key), (index as u64 + 1, *value)),
                None => content.remove(&name(*key)),
            };
        }
        content
    }

    fn list(&self) -> Reply {
        let entries = self.content(self.revision()).into_iter();
        let entries = entries.map(|(key, (revision, value))| Entry {
            key,
            value: vec![value],
            created: Revision(revision),
            modified: Revision(revision),
        });
        Reply::Listing(entries.collect(), Revision(self.revision()))
    }

    /// Reports the changes since the revision of a replica, or lists if they were discarded.
    fn read(&self, mirror: &Mirror) -> Reply {
        let Some(after) = mirror.complete().filter(|after| after.0 >= self.discarded) else {
            return self.list();
        };
        let changes = self.changes.iter().enumerate().skip(after.0 as usize);
        let items = changes.map(|(index, (key, value))| MirrorItem {
            key: name(*key),
            revision: Revision(index as u64 + 1),
            value: value.map(|value| vec![value]),
        });
        Reply::Changes(items.collect(), Revision(self.revision()))
    }
}

/// Reply of the store or of another vm.
enum Reply {
    Listing(Vec<Entry>, Revision),
    Changes(Vec<MirrorItem>, Revision),
    Delta(MirrorDelta),
}

impl Reply {
    fn apply(self, mirror: &mut Mirror) {
        match self {
            Self::Listing(entries, at) => mirror.replace(entries, at),
            Self::Changes(items, at) => mirror.advance(items, at),
            Self::Delta(delta) => mirror.merge(delta),
        };
    }
}

fn name(key: u8) -> String {
    format!("servers/i-{key}")
}

fn content(mirror: &Mirror) -> BTreeMap<String, (u64, u8)> {
    mirror
        .items()
        .map(|(key, revision, value)| (key.to_owned(), (revision.0, value[0])))
        .collect()
}

#[derive(Clone, Debug)]
enum Action {
    Change(u8, Option<u8>),
    /// Discards the history up to the newest change.
    Discard,
    /// A vm reads the store.
    Read(usize),
    /// A vm queries another one.
    Query(usize, usize),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..4_u8, proptest::option::of(0..9_u8)).prop_map(|(k, v)| Action::Change(k, v)),
        1 => Just(Action::Discard),
        2 => (0..VMS).prop_map(Action::Read),
        3 => (0..VMS, 0..VMS).prop_map(|(from, to)| Action::Query(from, to)),
    ]
}

#[derive(Clone, Debug)]
enum DelayedAction {
    /// An action whose reply is delayed.
    Begin(Action),
    /// A vm receives one of its delayed replies.
    Receive(usize, usize),
}

fn delayed_action() -> impl Strategy<Value = DelayedAction> {
    prop_oneof![
        2 => action().prop_map(DelayedAction::Begin),
        1 => (0..VMS, 0..9_usize).prop_map(|(vm, reply)| DelayedAction::Receive(vm, reply)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a vm that keeps a removed target for good, because the vm that it queried had
    /// skipped the removal in a listing.
    #[test]
    fn a_replica_equals_the_store_at_its_revision(
        actions in proptest::collection::vec(action(), 1..60),
    ) {
        let mut store = Store::default();
        let mut mirrors: Vec<_> = (0..VMS).map(|_| Mirror::default()).collect();
        for action in actions {
            let changed = match action {
                Action::Change(key, value) => {
                    store.changes.push((key, value));
                    continue;
                }
                Action::Discard => {
                    store.discarded = store.revision();
                    continue;
                }
                Action::Read(vm) => {
                    store.read(&mirrors[vm]).apply(&mut mirrors[vm]);
                    vm
                }
                Action::Query(from, to) => {
                    if let Some(delta) = mirrors[to].delta(mirrors[from].complete()) {
                        mirrors[from].merge(delta);
                    }
                    from
                }
            };
            if let Some(complete) = mirrors[changed].complete() {
                prop_assert_eq!(content(&mirrors[changed]), store.content(complete.0));
            }
        }
    }

    /// Guards against a vm that uses a removed target again, because a reply that was made before
    /// the removal arrives after one that was made later.
    #[test]
    fn a_late_reply_restores_no_removed_key(
        actions in proptest::collection::vec(delayed_action(), 1..60),
    ) {
        let mut store = Store::default();
        let mut mirrors: Vec<_> = (0..VMS).map(|_| Mirror::default()).collect();
        let mut delayed: Vec<Vec<_>> = (0..VMS).map(|_| Vec::new()).collect();
        for action in actions {
            match action {
                DelayedAction::Begin(Action::Change(key, value)) => {
                    store.changes.push((key, value));
                }
                DelayedAction::Begin(Action::Discard) => store.discarded = store.revision(),
                DelayedAction::Begin(Action::Read(vm)) => delayed[vm].push(store.read(&mirrors[vm])),
                DelayedAction::Begin(Action::Query(from, to)) => {
                    let delta = mirrors[to].delta(mirrors[from].complete());
                    delayed[from].extend(delta.map(Reply::Delta));
                }
                DelayedAction::Receive(vm, reply) => {
                    let Some(index) = reply.checked_rem(delayed[vm].len()) else { continue };
                    delayed[vm].remove(index).apply(&mut mirrors[vm]);
                    if let Some(complete) = mirrors[vm].complete() {
                        prop_assert_eq!(content(&mirrors[vm]), store.content(complete.0));
                    }
                }
            }
        }
    }
}
