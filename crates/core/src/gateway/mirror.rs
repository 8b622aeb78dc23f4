//! Replica of one key prefix of the store, updated from the store and from other vms.
//!
//! A vm that the store refuses to serve receives changes from its peers. Each vm therefore records
//! the revision up to which its replica is complete. Replicas never go back to an older revision.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use super::packed::PackedValue;
use crate::Revision;
use crate::store::Entry;

/// Maximum number of recorded removals, which are sent to peers instead of a complete replica.
const MAX_REMOVALS: usize = 512;

/// Largest revision that every JSON writer represents exactly. A replica that took over a larger
/// one by mistake would never apply another change.
pub const MAX_REVISION: Revision = Revision((1 << 53) - 1);

/// A key as reported by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MirrorItem {
    /// The key.
    pub key: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// The value, or `None` after a removal.
    pub value: Option<Vec<u8>>,
}

/// A key as sent between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedItem {
    /// The key.
    pub key: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// The value, or `None` after a removal.
    pub value: Option<PackedValue>,
}

/// Update that a vm sends to another one whose replica is outdated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorDelta {
    /// Revision up to which the sender's replica is complete.
    pub complete: Revision,
    /// Whether the items are the complete replica instead of the changes since the requested
    /// revision.
    pub is_whole: bool,
    /// The requested revision, unless the items are the complete replica. Earlier versions send
    /// none.
    #[serde(default)]
    pub after: Option<Revision>,
    /// The changed keys, or all keys of a complete replica.
    pub items: Vec<PackedItem>,
    /// Revisions that the sender skipped. Earlier versions send none.
    #[serde(default)]
    pub skipped: Option<SkippedRevisions>,
}

/// Revisions that a replica skipped, because a listing replaced it. Keys that were written and
/// removed between the two, both exclusive, are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SkippedRevisions {
    from: Revision,
    to: Revision,
}

impl SkippedRevisions {
    fn contains(&self, revision: Revision) -> bool {
        self.from < revision && revision < self.to
    }

    /// The part after one revision and before another.
    fn within(&self, from: Revision, to: Revision) -> Option<Self> {
        let (from, to) = (self.from.max(from), self.to.min(to));
        (from < to).then_some(Self { from, to })
    }

    /// The shortest range that contains both.
    fn hull(&self, other: Self) -> Self {
        Self {
            from: self.from.min(other.from),
            to: self.to.max(other.to),
        }
    }
}

/// A value, and its packed form once a peer has requested or sent it.
#[derive(Clone, Debug)]
struct MirrorValue {
    revision: Revision,
    value: Vec<u8>,
    packed: OnceLock<PackedValue>,
}

impl MirrorValue {
    fn packed(&self) -> PackedValue {
        self.packed
            .get_or_init(|| PackedValue::pack(&self.value))
            .clone()
    }
}

/// Replica of the keys with one prefix.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    complete: Option<Revision>,
    items: BTreeMap<String, MirrorValue>,
    removals: BTreeMap<String, Revision>,
    /// Removals at or before this revision may have been evicted.
    horizon: Revision,
    skipped: Option<SkippedRevisions>,
}

impl Mirror {
    /// Revision up to which the replica is complete, or `None` before the first complete listing.
    pub fn complete(&self) -> Option<Revision> {
        self.complete
    }

    /// Keys with their revisions and values.
    pub fn items(&self) -> impl Iterator<Item = (&str, Revision, &[u8])> {
        self.items
            .iter()
            .map(|(key, entry)| (key.as_str(), entry.revision, entry.value.as_slice()))
    }

    /// Applies a complete listing of the store at revision `at`. Returns whether anything changed.
    pub fn replace(&mut self, entries: Vec<Entry>, at: Revision) -> bool {
        let items = entries.into_iter().map(|entry| MirrorItem {
            key: entry.key,
            revision: entry.modified,
            value: Some(entry.value),
        });
        self.replace_items(items.collect(), at)
    }

    fn replace_items(&mut self, items: Vec<MirrorItem>, at: Revision) -> bool {
        if self.complete.is_some_and(|complete| at < complete) {
            return false;
        }
        let present: std::collections::HashSet<_> = items.iter().map(|i| i.key.clone()).collect();
        let removed_keys: Vec<_> = self
            .items
            .iter()
            .filter(|(key, entry)| entry.revision <= at && !present.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in removed_keys {
            changed |= self.apply(MirrorItem {
                key,
                revision: at,
                value: None,
            });
        }
        for item in items {
            changed |= self.apply(item);
        }
        match self.complete {
            Some(complete) => self.skip(SkippedRevisions {
                from: complete,
                to: at,
            }),
            None => self.horizon = self.horizon.max(at),
        }
        self.complete = Some(at);
        changed
    }

    fn skip(&mut self, skipped: SkippedRevisions) {
        let all = self.skipped.map_or(skipped, |known| known.hull(skipped));
        self.skipped = Some(all);
    }

    /// Whether all removals since a revision are recorded.
    fn knows_removals_since(&self, revision: Revision) -> bool {
        let is_skipped = self
            .skipped
            .is_some_and(|skipped| skipped.contains(revision));
        revision >= self.horizon && !is_skipped
    }

    /// Applies changes that the store reported in order, up to revision `at`. Returns whether
    /// anything changed.
    pub fn advance(&mut self, items: Vec<MirrorItem>, at: Revision) -> bool {
        // The reply may have been made before one that has been applied. The replica may have
        // skipped the removal of a key that this reply still contains.
        let complete = self.complete;
        let is_newer = |item: &MirrorItem| complete.is_none_or(|known| item.revision > known);
        let mut changed = false;
        for item in items.into_iter().filter(is_newer) {
            changed |= self.apply(item);
        }
        if self.complete.is_some_and(|complete| complete < at) {
            self.complete = Some(at);
        }
        changed
    }

    /// Update for a peer whose replica is complete up to `peer_revision`, or `None` if it is up to
    /// date.
    pub fn delta(&self, peer_revision: Option<Revision>) -> Option<MirrorDelta> {
        let complete = self.complete?;
        if peer_revision.is_some_and(|peer_revision| peer_revision >= complete) {
            return None;
        }
        let from = peer_revision.filter(|revision| self.knows_removals_since(*revision));
        let after = from.unwrap_or_default();
        let is_whole = from.is_none();
        let live = self.items.iter();
        let live = live.filter(|(_, entry)| is_whole || entry.revision > after);
        let live = live.map(|(key, entry)| PackedItem {
            key: key.clone(),
            revision: entry.revision,
            value: Some(entry.packed()),
        });
        let removed = self.removals.iter();
        let removed = removed.filter(|(_, revision)| !is_whole && **revision > after);
        let removed = removed.map(|(key, revision)| PackedItem {
            key: key.clone(),
            revision: *revision,
            value: None,
        });
        let items = live.chain(removed).collect();
        Some(MirrorDelta {
            complete,
            is_whole,
            after: from,
            items,
            skipped: self.skipped,
        })
    }

    /// Applies an update from a peer. Returns whether anything changed. An update with a damaged
    /// value or revision is ignored completely, because the replica would be incomplete.
    pub fn merge(&mut self, delta: MirrorDelta) -> bool {
        let mut revisions = delta.items.iter().map(|item| item.revision);
        if delta.complete > MAX_REVISION || revisions.any(|revision| revision > MAX_REVISION) {
            return false;
        }
        let mut items = Vec::with_capacity(delta.items.len());
        let mut packed = Vec::new();
        for item in delta.items {
            let value = match &item.value {
                Some(packed) => match packed.unpack() {
                    Some(value) => Some(value),
                    None => return false,
                },
                None => None,
            };
            if let Some(value) = item.value {
                packed.push((item.key.clone(), item.revision, value));
            }
            items.push(MirrorItem {
                key: item.key,
                revision: item.revision,
                value,
            });
        }
        let changed = match delta.is_whole {
            true => self.replace_items(items, delta.complete),
            false => {
                let skipped = delta.skipped.zip(self.complete);
                let skipped =
                    skipped.and_then(|(skipped, own)| skipped.within(own, delta.complete));
                if let Some(skipped) = skipped {
                    self.skip(skipped);
                }
                let removals = self.removals_implied_by(&items, delta.after, delta.complete);
                let mut changed = !removals.is_empty();
                for removal in removals {
                    self.apply(removal);
                }
                changed |= self.advance(items, delta.complete);
                changed
            }
        };
        self.store_packed(packed);
        changed
    }

    /// Removals that follow from the changes between two revisions at another vm: it has no key of
    /// that range that it does not report. It may not know the removal itself, and this replica may
    /// have got the key after the request, or from a page of a listing.
    fn removals_implied_by(
        &self,
        changes: &[MirrorItem],
        after: Option<Revision>,
        at: Revision,
    ) -> Vec<MirrorItem> {
        let Some(after) = after.or(self.complete).filter(|_| self.complete < Some(at)) else {
            return Vec::new();
        };
        let in_range = |revision: Revision| after < revision && revision <= at;
        let is_reported = |key: &str, revision: Revision| {
            let mut same_key = changes.iter().filter(|change| change.key == key);
            same_key.any(|change| change.revision >= revision)
        };
        let unknown = self
            .items
            .iter()
            .filter(|(key, entry)| in_range(entry.revision) && !is_reported(key, entry.revision));
        let removals = unknown.map(|(key, _)| MirrorItem {
            key: key.clone(),
            revision: at,
            value: None,
        });
        removals.collect()
    }

    /// Stores packed values from a peer, so that they are forwarded without packing them again.
    fn store_packed(&mut self, packed: Vec<(String, Revision, PackedValue)>) {
        for (key, revision, value) in packed {
            let entry = self.items.get_mut(&key).filter(|k| k.revision == revision);
            if let Some(entry) = entry {
                entry.packed.get_or_init(|| value);
            }
        }
    }

    fn apply(&mut self, item: MirrorItem) -> bool {
        let known = self.items.get(&item.key).map(|entry| entry.revision);
        let removed = self.removals.get(&item.key).copied();
        if known.max(removed).is_some_and(|k| k >= item.revision) {
            return false;
        }
        match item.value {
            Some(value) => {
                self.removals.remove(&item.key);
                let entry = MirrorValue {
                    revision: item.revision,
                    value,
                    packed: OnceLock::new(),
                };
                self.items.insert(item.key, entry);
            }
            None => {
                self.items.remove(&item.key);
                self.removals.insert(item.key, item.revision);
                self.evict_removals();
            }
        }
        true
    }

    fn evict_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS {
            let oldest = self.removals.iter().min_by_key(|(_, revision)| **revision);
            let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision))
            else {
                return;
            };
            self.horizon = self.horizon.max(revision);
            self.removals.remove(&key);
        }
    }
}
