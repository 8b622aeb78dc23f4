//! Existing targets, according to their entries in the store.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::leaving::{LeavingRuns, TargetRun};

/// Maximum number of removed targets whose keys are kept, because their entries may only have
/// expired.
const MAX_REMOVED_KEYS: usize = 512;

/// Maximum number of runs in one message to another vm. More runs leave at once only when a zone is
/// withdrawn, and the remainder is sent with the next message.
const MAX_RUNS_PER_MESSAGE: usize = 64;

/// Key of one run of a target. A restart, a new id or a new address results in a new key. An entry
/// of the same run that expired and reappeared keeps its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetKey(pub u32);

/// Part of a request's work that an engine does.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// Computes prompts and hands the KV cache over.
    Prefill,
    /// Generates tokens, and computes prompts slowly.
    Decode,
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetPhase {
    /// Accepts new work.
    Ready,
    /// Finishes its work and stops.
    Draining,
}

/// Change of a target after which it gets no new work, or none soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TargetChange {
    /// Its entry shows that it drains.
    Draining,
    /// Its entry is gone, and it is kept for the hold time.
    Missing,
    /// It was removed.
    Removed,
    /// Its entry describes another run.
    Replaced,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogTarget {
    /// Id. Requests name it, so that another target at the same address refuses them.
    pub id: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Zone by name.
    pub zone: String,
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Whether the target accepts new work.
    pub phase: TargetPhase,
    /// Stage of an engine, or `None` for a plain service.
    pub stage: Option<Stage>,
    /// Whether the platform may reclaim the target at short notice.
    pub is_reclaimable: bool,
    /// Start of the run in milliseconds since 1970, or 0 if unknown.
    pub born_ms: u64,
    /// Version of the target's software, or `None` if unknown.
    pub version: Option<String>,
}

impl CatalogTarget {
    fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.service == other.service
            && self.born_ms == other.born_ms
            && self.version == other.version
    }
}

/// Targets by key. Keys are never reused.
#[derive(Debug, Default)]
pub struct Catalog {
    next_key: u32,
    by_id: BTreeMap<String, TargetKey>,
    targets: HashMap<TargetKey, CatalogTarget>,
    /// Targets whose entries are missing, with the time at which they are removed.
    missing: HashMap<TargetKey, Duration>,
    /// When a target was last added or removed.
    changed_at: Duration,
    /// Keys of removed targets, oldest first.
    removed: VecDeque<(TargetRun, TargetKey)>,
    leaving: LeavingRuns,
    /// Runs whose entries had been removed before the store was restored from a copy with them.
    departed: Vec<TargetRun>,
    /// Existing targets that have announced that they are leaving.
    leaving_keys: BTreeSet<TargetKey>,
}

impl Catalog {
    /// Replaces the entries. A missing target is removed after `hold`, which is zero unless the
    /// store has just recovered from an outage in which entries may have expired. Returns the
    /// targets that stop accepting work.
    pub fn update(
        &mut self,
        entries: Vec<CatalogTarget>,
        hold: Duration,
        now: Duration,
    ) -> Vec<(String, TargetChange)> {
        let mut changes = Vec::new();
        let mut seen = std::collections::HashSet::new();
        for entry in entries {
            let known = self.by_id.get(&entry.id).copied();
            let same = known.filter(|key| self.targets[key].is_same_run(&entry));
            if same.is_none() {
                self.changed_at = now;
            }
            let key = same
                .or_else(|| self.restored_key(&entry))
                .unwrap_or_else(|| self.new_key());
            if let Some(old) = known.filter(|old| *old != key) {
                self.targets.remove(&old);
                self.leaving_keys.remove(&old);
                changes.push((entry.id.clone(), TargetChange::Replaced));
            }
            let previous = self.targets.get(&key).map(|target| target.phase);
            if previous == Some(TargetPhase::Ready) && entry.phase == TargetPhase::Draining {
                changes.push((entry.id.clone(), TargetChange::Draining));
            }
            self.by_id.insert(entry.id.clone(), key);
            self.missing.remove(&key);
            seen.insert(key);
            if self.leaving.contains(&entry) {
                self.leaving_keys.insert(key);
            }
            self.targets.insert(key, entry);
        }
        let missing: Vec<_> = self.targets.keys().copied().collect();
        for key in missing.into_iter().filter(|key| !seen.contains(key)) {
            if let Entry::Vacant(unseen) = self.missing.entry(key) {
                unseen.insert(now + hold);
                changes.push((self.targets[&key].id.clone(), TargetChange::Missing));
            }
        }
        changes.extend(self.remove_expired(now));
        changes
    }

    /// Keeps what is known of targets that leave or have left, although the store was restored from
    /// a copy with older entries of them. Must be called before the update with these entries.
    pub fn keep_departures(&mut self, copied: &[CatalogTarget]) {
        self.departed.clear();
        for entry in copied {
            let run = TargetRun::of(entry);
            let known = self.key_of_run(&run);
            let target = known.and_then(|key| self.targets.get(&key));
            let is_draining = target.is_some_and(|t| t.phase == TargetPhase::Draining);
            let is_missing = known.is_some_and(|key| self.missing.contains_key(&key));
            let is_removed = self.removed.iter().any(|(removed, _)| *removed == run);
            if is_draining {
                self.leaving.insert(run);
            } else if is_missing || (is_removed && known.is_none()) {
                self.departed.push(run);
            }
        }
    }

    /// Whether the entry of a target in the copy is one that had been removed before. It counts
    /// again once the target has written it anew.
    pub fn has_departed(&self, entry: &CatalogTarget) -> bool {
        self.departed.iter().any(|run| run.is_run_of(entry))
    }

    /// Holds no missing target beyond `until`.
    pub fn limit_holds(&mut self, until: Duration) {
        for at in self.missing.values_mut() {
            *at = (*at).min(until);
        }
    }

    /// Removes targets whose entries have been missing for the hold time, and returns them.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<(String, TargetChange)> {
        let mut changes = Vec::new();
        let removed: Vec<_> = self
            .missing
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in removed {
            self.missing.remove(&key);
            self.leaving_keys.remove(&key);
            self.changed_at = now;
            let Some(target) = self.targets.remove(&key) else {
                continue;
            };
            if self.by_id.get(&target.id) == Some(&key) {
                self.by_id.remove(&target.id);
            }
            if self.removed.len() == MAX_REMOVED_KEYS {
                self.removed.pop_front();
            }
            self.removed.push_back((TargetRun::of(&target), key));
            changes.push((target.id, TargetChange::Removed));
        }
        changes
    }

    /// A target by key, unless it has been removed.
    pub fn get(&self, key: TargetKey) -> Option<&CatalogTarget> {
        self.targets.get(&key)
    }

    /// Key of a target by id.
    pub fn key_of(&self, id: &str) -> Option<TargetKey> {
        self.by_id.get(id).copied()
    }

    /// Key of a run, if it is in the catalog.
    pub fn key_of_run(&self, run: &TargetRun) -> Option<TargetKey> {
        let key = self.key_of(&run.id)?;
        let target = self.targets.get(&key)?;
        run.is_run_of(target).then_some(key)
    }

    /// A target by id.
    pub fn by_id(&self, id: &str) -> Option<&CatalogTarget> {
        self.targets.get(self.by_id.get(id)?)
    }

    /// All targets, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &CatalogTarget)> {
        self.by_id
            .values()
            .filter_map(|key| Some((*key, self.targets.get(key)?)))
    }

    /// Targets that accept new work, in the order of their ids.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = (TargetKey, &CatalogTarget)> {
        self.iter()
            .filter(move |(key, _)| self.is_usable(*key, now))
    }

    /// Whether a target accepts new work. A missing one does until its hold ends, whether or not
    /// [`Self::remove_expired`] has been called since.
    pub fn is_usable(&self, key: TargetKey, now: Duration) -> bool {
        let target = self.targets.get(&key);
        let is_ready = target.is_some_and(|target| target.phase == TargetPhase::Ready);
        let is_expired = self.missing.get(&key).is_some_and(|at| *at <= now);
        is_ready && !is_expired && !self.is_leaving(key)
    }

    /// Records the announcement of a target that it is leaving. Returns whether it is new.
    pub fn mark_leaving(&mut self, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(&key) else {
            return false;
        };
        self.leaving_keys.insert(key);
        self.leaving.insert(TargetRun::of(target))
    }

    /// Merges leaving runs received from another vm. Returns the targets for which this is new.
    pub fn merge_leaving(&mut self, runs: Vec<TargetRun>) -> Vec<TargetKey> {
        let mut newly_leaving = Vec::new();
        for run in runs {
            let key = self.by_id.get(&run.id).copied();
            let is_new = self.leaving.insert(run);
            let Some((key, target)) = key.and_then(|key| Some((key, self.targets.get(&key)?)))
            else {
                continue;
            };
            if is_new && self.leaving.contains(target) {
                self.leaving_keys.insert(key);
                newly_leaving.push(key);
            }
        }
        newly_leaving
    }

    /// Whether a target has announced that it is leaving.
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        self.leaving_keys.contains(&key)
    }

    /// Runs to send to other vms: leaving targets whose entries still show them as ready.
    pub fn leaving_runs(&self) -> Vec<TargetRun> {
        let ready = self.leaving_keys.iter().filter_map(|key| {
            let target = self.targets.get(key)?;
            (target.phase == TargetPhase::Ready).then(|| TargetRun::of(target))
        });
        ready.take(MAX_RUNS_PER_MESSAGE).collect()
    }

    /// When a target was last added or removed, or the hold of a missing one ended.
    pub fn changed_at(&self, now: Duration) -> Duration {
        let expired = self.missing.values().filter(|at| **at <= now);
        expired.copied().fold(self.changed_at, Duration::max)
    }

    /// Key of a run whose entry had expired, so that the state of the target remains valid.
    fn restored_key(&mut self, entry: &CatalogTarget) -> Option<TargetKey> {
        let run = TargetRun::of(entry);
        let index = self
            .removed
            .iter()
            .position(|(removed, _)| *removed == run)?;
        self.removed.remove(index).map(|(_, key)| key)
    }

    fn new_key(&mut self) -> TargetKey {
        self.next_key += 1;
        TargetKey(self.next_key)
    }
}
