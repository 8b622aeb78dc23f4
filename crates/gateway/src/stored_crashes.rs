//! Keeps the crash counts that are close to a refusal in the store, and reads them at the start.
//! See [`jujubebeam_core::gateway::StoredCrashes`].

use std::time::Duration;

use jujubebeam_core::gateway::{STORED_CRASHES_KEY, StoredCrashes};
use jujubebeam_core::store::{Entry, Expected, StoreOp, StoreReply};
use ntex::time::sleep;

use crate::adapters::{Adapters, StoreApi};
use crate::decision_log::{DecisionKind, decision};
use crate::server::Context;
use crate::state::{Shared, wall_clock};

/// Pause after a call that failed. It doubles with each failure up to [`RETRY_MAX`].
const RETRY_INITIAL: Duration = Duration::from_millis(100);

/// Longest pause after a call that failed.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Shortest interval between two writes of one vm.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Part of that interval for each vm, so that a fleet writes 40 times a second at most. The store
/// accepts several hundred writes.
const WRITE_INTERVAL_PER_VM: Duration = Duration::from_millis(25);

/// Reads the stored counts, and then writes changes of this vm's counts until the process ends.
pub(crate) async fn maintain<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    // The age of the counts is only known with the time.
    shared
        .usage()
        .true_time
        .record_own_clock(wall_clock(), shared.now());
    let mut pause = RETRY_INITIAL;
    while read(context).await.is_none() {
        // Other vms that ran before have the counts as well.
        shared.crash_counts_queried();
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
    shared.crash_counts_queried();
    loop {
        shared.crash_counts_changed.notified().await;
        let mut pause = RETRY_INITIAL;
        while !write(context).await {
            sleep(pause).await;
            pause = (pause * 2).min(RETRY_MAX);
        }
        let vms = u32::try_from(shared.vms()).unwrap_or(u32::MAX);
        sleep(MIN_WRITE_INTERVAL.max(WRITE_INTERVAL_PER_VM.saturating_mul(vms))).await;
    }
}

/// The entry in the store and its counts.
struct Stored {
    entry: Option<Entry>,
    counts: StoredCrashes,
}

/// Reads the stored counts and merges them into those of this vm. Returns `None` if the store does not
/// reply.
async fn read<A: Adapters>(context: &Context<A>) -> Option<Stored> {
    let shared = &context.shared;
    let key = STORED_CRASHES_KEY.to_owned();
    let StoreReply::Value { entry, .. } = context.store.perform(StoreOp::Get { key }).await else {
        return None;
    };
    let decoded = entry.as_ref().map(|e| rmp_serde::from_slice(&e.value));
    let counts: StoredCrashes = match decoded.transpose() {
        Ok(counts) => counts.unwrap_or_default(),
        Err(error) => {
            log::warn!("crashes: stored counts are unreadable and will be replaced: {error}");
            StoredCrashes::default()
        }
    };
    let (now, wall) = times(shared);
    let before = own_counts(shared);
    counts.restore(
        &mut shared.quarantine(),
        &mut shared.part_crashes(),
        now,
        wall,
    );
    if !own_counts(shared).has_same_counts(&before) {
        record(shared, "read", &counts);
    }
    Some(Stored { entry, counts })
}

/// Writes the counts of this vm, which include the stored ones, if they differ from these. Returns
/// whether the store has them.
async fn write<A: Adapters>(context: &Context<A>) -> bool {
    let shared = &context.shared;
    let Some(stored) = read(context).await else {
        return false;
    };
    let counts = own_counts(shared);
    if counts.has_same_counts(&stored.counts) {
        return true;
    }
    let value = match rmp_serde::to_vec_named(&counts) {
        Ok(value) => value,
        Err(error) => {
            log::error!("crashes: counts cannot be encoded and are not stored: {error}");
            return true;
        }
    };
    let modified = stored.entry.map(|entry| entry.modified);
    let op = StoreOp::Cas {
        key: STORED_CRASHES_KEY.to_owned(),
        expected: modified.map_or(Expected::Absent, Expected::At),
        value,
        lease: None,
        guard: None,
    };
    let is_written = matches!(context.store.perform(op).await, StoreReply::Written { .. });
    if is_written {
        record(shared, "written", &counts);
    }
    is_written
}

/// Counts of this vm that are worth storing.
fn own_counts(shared: &Shared) -> StoredCrashes {
    let (now, wall) = times(shared);
    StoredCrashes::of(&shared.quarantine(), &shared.part_crashes(), now, wall)
}

/// Monotonic time, and time since 1970.
fn times(shared: &Shared) -> (Duration, Duration) {
    let now = shared.now();
    (now, shared.usage().true_time.now(now))
}

fn record(shared: &Shared, outcome: &'static str, counts: &StoredCrashes) {
    decision!(
        shared,
        DecisionKind::StoredCrashes,
        outcome = outcome,
        counts = counts.len()
    );
}
