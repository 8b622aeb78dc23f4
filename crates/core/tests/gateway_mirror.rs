//! Replicas of the store on several vms, which are updated in any order by watches, listings and
//! other vms.

use std::collections::BTreeMap;

use jujubebeam_core::Revision;
use jujubebeam_core::gateway::{Mirror, MirrorItem};
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

    fn list(&self, mirror: &mut Mirror) {
        let entries = self.content(self.revision()).into_iter();
        let entries = entries.map(|(key, (revision, value))| Entry {
            key,
            value: vec![value],
            created: Revision(revision),
            modified: Revision(revision),
        });
        mirror.replace(entries.collect(), Revision(self.revision()));
    }

    /// Reports the changes since the revision of a replica, or lists if they were discarded.
    fn update(&self, mirror: &mut Mirror) {
        let Some(after) = mirror.complete().filter(|after| after.0 >= self.discarded) else {
            return self.list(mirror);
        };
        let changes = self.changes.iter().enumerate().skip(after.0 as usize);
        let items = changes.map(|(index, (key, value))| MirrorItem {
            key: name(*key),
            revision: Revision(index as u64 + 1),
            value: value.map(|value| vec![value]),
        });
        mirror.advance(items.collect(), Revision(self.revision()));
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
                    store.update(&mut mirrors[vm]);
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
}
