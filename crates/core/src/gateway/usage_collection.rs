//! Collection of the counts of a usage window from all vms.
//!
//! A vm that is frozen, partitioned or slow still holds its counts. The collection waits for them
//! as long as the report can still be on time. A vm that has failed permanently delays the report
//! by that time and has no other effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{Revision, VmId};

/// Time after which vms that did not answer are queried again.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of windows with recorded progress. A report is due within two lengths of its
/// window.
const MAX_WINDOWS: usize = 8;

/// Next step in the collection of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectStep {
    /// Query these vms for their counts.
    Query(Vec<VmId>),
    /// Wait for the queried vms.
    Wait,
    /// Report the window with the received counts.
    Close {
        /// Number of vms that did not answer.
        missing: usize,
    },
}

#[derive(Debug, Default)]
struct Window {
    received: BTreeSet<VmId>,
    queried_at: Option<Duration>,
}

/// Progress of the collection, by window.
#[derive(Debug, Default)]
pub struct UsageCollection {
    windows: BTreeMap<u64, Window>,
}

impl UsageCollection {
    /// Decides on the next step for a window. `vms` are all other vms that may have counts, and
    /// `time_left` is the time for which the report can still wait.
    pub fn next(
        &mut self,
        window: u64,
        vms: &[VmId],
        time_left: Duration,
        now: Duration,
    ) -> CollectStep {
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
        let state = self.windows.entry(window).or_default();
        let missing = vms.iter().filter(|vm| !state.received.contains(vm));
        let missing: Vec<_> = missing.copied().collect();
        if missing.is_empty() || (time_left.is_zero() && state.queried_at.is_some()) {
            return CollectStep::Close {
                missing: missing.len(),
            };
        }
        if state.queried_at.is_some_and(|at| now < at + QUERY_INTERVAL) {
            return CollectStep::Wait;
        }
        state.queried_at = Some(now);
        CollectStep::Query(missing)
    }

    /// Records that the counts of a vm were received.
    pub fn mark_received(&mut self, window: u64, vm: VmId) {
        self.windows.entry(window).or_default().received.insert(vm);
    }
}

/// Windows whose reports a store that was restored from an older copy may have lost.
#[derive(Debug, Default)]
pub struct LostReports {
    era: Option<u64>,
    /// True time at which the era was seen to rise.
    restored_at: Option<Duration>,
}

impl LostReports {
    /// Records a revision of the store. Must be called regularly, so that the era before is known.
    pub fn observe(&mut self, store: Revision, now: Duration) {
        let era = store.era();
        if self.era.is_some_and(|known| known < era) {
            self.restored_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Whether another vm may have reported a window that ended at `end`, although the store does
    /// not have its counts. A second report would have other counts.
    pub fn may_include(&self, end: Duration) -> bool {
        self.restored_at.is_some_and(|at| end <= at)
    }
}
