//! Decision what a vm does about the age of a replica.
//!
//! Random queries between vms spread a change fast on average, but the time until the last vm has
//! it is not bounded: watches may be silent, watchers stopped, and queries lost. A vm whose replica
//! was not confirmed for too long therefore queries a watcher, and reads the store itself if that
//! does not help. The vms that query it next profit from that. See `docs/platform.md`, section 3.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Age at which a watcher is queried, as a share of the bound. Random queries keep most replicas
/// younger than this in a fleet without faults.
const QUERY_RATIO: f64 = 0.375;

/// Age at which the store is read, as a share of the bound. The rest is left for a read that times
/// out and is repeated, and for requests that are being sent.
const READ_RATIO: f64 = 0.5;

/// Longest wait of a watch call, as a share of the bound. A vm that alone watches the store must not
/// read it in addition.
const WATCH_RATIO: f64 = 0.45;

/// Time that a read of the store may take after it is due.
const READ_TIME: Duration = Duration::from_millis(500);

/// Longest interruption of reads in which no entry of a running target expires, in heartbeats of
/// targets. An entry expires after three; it was last written up to one before the interruption, and
/// is written again up to half of one after.
const HARMLESS_HEARTBEATS: f64 = 1.5;

/// What a vm does about the age of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefreshStep {
    /// The replica is fresh enough.
    Wait,
    /// Query one of the vms that watch the store.
    QueryWatcher,
    /// Read the store.
    ReadStore,
}

/// Chooses the step for the age of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefreshPolicy {
    bound: Duration,
}

impl RefreshPolicy {
    /// Creates the policy for a replica whose changes must be acted on within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Longest wait of one watch call. A reply without changes confirms the replica, and a silent
    /// connection is noticed soon after this time. The watches of several vms end at different
    /// times, so that replicas are mostly younger than this.
    pub fn watch_wait(&self) -> Duration {
        self.bound.mul_f64(WATCH_RATIO)
    }

    /// Longest pause between two reads of a store that does not reply.
    pub fn longest_read_pause(&self) -> Duration {
        self.bound.mul_f64(READ_RATIO)
    }

    /// Longest time between two confirmations of a replica that does not count as an interruption of
    /// the store. Reads because of the age of a replica are no sign of one: after them, removed
    /// targets would be held for longer than the bound.
    pub fn max_gap(&self, target_heartbeat: Duration) -> Duration {
        let harmless = target_heartbeat.mul_f64(HARMLESS_HEARTBEATS);
        harmless.max(self.bound.mul_f64(READ_RATIO) + READ_TIME)
    }

    /// Time until a step is due for a replica of this age, if it is not confirmed before.
    pub fn time_to_step(&self, age: Option<Duration>) -> Duration {
        let due = self.bound.mul_f64(QUERY_RATIO);
        age.map_or(Duration::ZERO, |age| due.saturating_sub(age))
    }

    /// Step for a replica of this age. A replica that was never confirmed has none.
    pub fn step(&self, age: Option<Duration>) -> RefreshStep {
        let reached = |ratio| age.is_none_or(|age| age >= self.bound.mul_f64(ratio));
        if reached(READ_RATIO) {
            RefreshStep::ReadStore
        } else if reached(QUERY_RATIO) {
            RefreshStep::QueryWatcher
        } else {
            RefreshStep::Wait
        }
    }
}
