//! Crash counts in the store, which outlive the vms.
//!
//! Vms keep counts in memory and exchange them, which is lost when all of them end at once. The store
//! has those that are close to a refusal. See `docs/incidents/lost-crash-counts.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PartCrashes;
use crate::quarantine::{CrashReport, Quarantine};

/// Key of the counts in the store.
pub const STORED_CRASHES_KEY: &str = "crashes/counts";

/// Crash counts as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredCrashes {
    /// Milliseconds since 1970 at which the counts were written.
    written_ms: u64,
    /// Counts of requests.
    requests: Vec<CrashReport>,
    /// Counts of what requests have in common.
    parts: Vec<CrashReport>,
}

impl StoredCrashes {
    /// The counts of a vm that are worth storing. `wall` is the time since 1970.
    pub fn of(
        requests: &Quarantine,
        parts: &PartCrashes,
        now: Duration,
        wall: Duration,
    ) -> StoredCrashes {
        StoredCrashes {
            written_ms: wall.as_millis() as u64,
            requests: requests.stored_reports(now),
            parts: parts.stored_reports(now),
        }
    }

    /// Merges stored counts into those of a vm. They expire when they would have without a restart: a
    /// clock that is behind makes them no younger than they were when they were written.
    pub fn restore(
        &self,
        requests: &mut Quarantine,
        parts: &mut PartCrashes,
        now: Duration,
        wall: Duration,
    ) {
        let age = wall.saturating_sub(Duration::from_millis(self.written_ms));
        requests.restore(&self.requests, age, now);
        parts.restore(&self.parts, age, now);
    }

    /// Whether these are the same counts, apart from their times.
    pub fn has_same_counts(&self, other: &StoredCrashes) -> bool {
        are_same(&self.requests, &other.requests) && are_same(&self.parts, &other.parts)
    }

    /// Number of counts.
    pub fn len(&self) -> usize {
        self.requests.len() + self.parts.len()
    }

    /// Whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn are_same(first: &[CrashReport], second: &[CrashReport]) -> bool {
    let is_in = |report: &CrashReport, others: &[CrashReport]| {
        let mut others = others.iter();
        others.any(|other| {
            let has_target = |target| other.targets.contains(target);
            other.fingerprint == report.fingerprint
                && other.clears == report.clears
                && other.targets.len() == report.targets.len()
                && report.targets.iter().all(has_target)
        })
    };
    first.len() == second.len() && first.iter().all(|report| is_in(report, second))
}
