//! The settings set of one vm.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::message::Subtree;
use crate::Revision;
use crate::invariant::{self, Invariant};

/// All subtrees that a vm has, including tombstones.
#[derive(Clone, Debug, Default)]
pub(crate) struct SettingsSet {
    subtrees: BTreeMap<String, (Revision, Option<String>)>,
    /// Every change up to this revision is contained.
    pub(crate) cursor: Revision,
    /// Whether the set has been complete at least once since the process started.
    pub(crate) full: bool,
    digest: u64,
}

impl SettingsSet {
    /// Puts a subtree in force if its revision is higher. Returns whether it did.
    pub(crate) fn apply(&mut self, subtree: &Subtree, any_revision: bool) -> bool {
        let present = self.revision(&subtree.name);
        if present == Some(subtree.revision) {
            return false;
        }
        if present > Some(subtree.revision) && !any_revision {
            return false;
        }
        invariant::check(
            Invariant::SettingsNeverRevert,
            present < Some(subtree.revision),
            || {
                format!(
                    "{} went from {present:?} to {}",
                    subtree.name, subtree.revision
                )
            },
        );
        self.subtrees.insert(
            subtree.name.clone(),
            (subtree.revision, subtree.text.clone()),
        );
        self.digest = self.compute_digest();
        true
    }

    /// Revision in force of a subtree.
    pub(crate) fn revision(&self, name: &str) -> Option<Revision> {
        self.subtrees.get(name).map(|(revision, _)| *revision)
    }

    /// A subtree with its text.
    pub(crate) fn subtree(&self, name: &str) -> Option<Subtree> {
        let (revision, text) = self.subtrees.get(name)?;
        Some(Subtree {
            name: name.to_owned(),
            revision: *revision,
            text: text.clone(),
        })
    }

    /// Names of all subtrees that exist.
    pub(crate) fn names(&self) -> Vec<String> {
        let existing = self.subtrees.iter().filter(|(_, (_, text))| text.is_some());
        existing.map(|(name, _)| name.clone()).collect()
    }

    /// Hash of the sorted pairs of subtree and revision.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Highest revision of any subtree.
    pub(crate) fn highest(&self) -> Revision {
        let revisions = self.subtrees.values().map(|(revision, _)| *revision);
        revisions.max().unwrap_or_default()
    }

    /// Subtrees that are neither tombstones nor in `names`.
    pub(crate) fn missing_from(&self, names: &[&str]) -> Vec<String> {
        let mut missing = self.names();
        missing.retain(|name| !names.contains(&name.as_str()));
        missing
    }

    /// Subtrees above a revision in ascending order of revisions, and whether all of them fitted
    /// into the limit. At least one is returned if there is any.
    pub(crate) fn page(&self, above: Revision, limit_bytes: usize) -> (Vec<Subtree>, bool) {
        let newer = self.subtrees.iter().filter(|(_, (r, _))| *r > above);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, (revision, _))| *revision);
        let mut page = Vec::new();
        let mut bytes = 0;
        for (position, (name, (revision, text))) in newer.iter().enumerate() {
            bytes += name.len() + text.as_ref().map_or(0, String::len);
            // Tombstones found by one full read share a revision. A page that ended between them
            // would leave a cursor that skips the others.
            let splits = position > 0 && newer[position - 1].1.0 != *revision;
            if splits && bytes > limit_bytes {
                return (page, false);
            }
            page.push(Subtree {
                name: (*name).clone(),
                revision: *revision,
                text: text.clone(),
            });
        }
        (page, true)
    }

    fn compute_digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for (name, (revision, _)) in &self.subtrees {
            hash.update((name.len() as u64).to_be_bytes());
            hash.update(name.as_bytes());
            hash.update(revision.0.to_be_bytes());
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        u64::from_be_bytes(first)
    }
}
