//! Age of a replica: the last time at which it is known to have matched the store.
//!
//! A revision states what a replica contains, not when that was last current. A vm whose watch is
//! silent, or that was stopped, holds a complete replica of an old state. Each vm therefore records
//! when its replica was confirmed, and sends the age with every update, so that a vm that never
//! reads the store knows the age of its replica as well. See `docs/platform.md`, section 3.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest time of uninterrupted reads that is taken over from another vm. No decision depends on a
/// longer one, and sums with it do not overflow.
const MAX_COVERED: Duration = Duration::from_secs(24 * 60 * 60);

/// Age of a vm's replica in messages to other vms. It contains no points in time, because the
/// clocks of vms differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAge {
    /// Time since the replica was last known to match the store.
    pub age: Duration,
    /// Time before that during which the store was read without interruption.
    pub covered: Duration,
}

/// Time up to which a replica is known to have matched the store, on the clock of this vm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Coverage {
    until: Duration,
    /// Time before `until` during which the store was read without interruption. It may have begun
    /// before this process.
    length: Duration,
}

/// Tracks when a replica was last known to match the store.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    coverage: Option<Coverage>,
    /// Longest time between two confirmations that does not count as an interruption.
    max_gap: Duration,
}

impl Freshness {
    /// Creates the state of a replica that has not been read yet.
    pub fn new(max_gap: Duration) -> Self {
        Self {
            coverage: None,
            max_gap,
        }
    }

    /// Records that the replica contains everything that the store contained at `at`. This is the
    /// time at which the call was sent, because its reply may have waited in a socket buffer while
    /// this vm was stopped.
    pub fn confirm(&mut self, at: Duration) {
        self.join(Coverage {
            until: at,
            length: Duration::ZERO,
        });
    }

    /// Merges the age of the replica of another vm, all of whose newer data this vm has applied.
    /// `queried_at` is the time at which that vm was queried.
    pub fn merge(&mut self, other: ReplicaAge, queried_at: Duration) {
        // A confirmation before the start of this process is of no use.
        let Some(until) = queried_at.checked_sub(other.age) else {
            return;
        };
        self.join(Coverage {
            until,
            length: other.covered.min(MAX_COVERED),
        });
    }

    fn join(&mut self, new: Coverage) {
        let Some(known) = self.coverage else {
            self.coverage = Some(new);
            return;
        };
        let (late, early) = match new.until > known.until {
            true => (new, known),
            false => (known, new),
        };
        let apart = late.until - early.until;
        let is_continuous = apart <= late.length + self.max_gap;
        let length = match is_continuous {
            true => late.length.max(apart + early.length),
            false => late.length,
        };
        self.coverage = Some(Coverage { length, ..late });
    }

    /// Age to send to other vms, or `None` if the replica was never confirmed.
    pub fn report(&self, now: Duration) -> Option<ReplicaAge> {
        let coverage = self.coverage?;
        Some(ReplicaAge {
            age: now.saturating_sub(coverage.until),
            covered: coverage.length,
        })
    }

    /// Time since the replica was last known to match the store, or `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(self.report(now)?.age)
    }

    /// Time since the store became readable: since the end of the last interruption that no vm
    /// covered.
    pub fn readable_for(&self, now: Duration) -> Option<Duration> {
        let report = self.report(now)?;
        Some(report.age + report.covered)
    }
}
