//! Which vms have told their counts of a usage window, and how long to wait for the others.
//!
//! A vm that is only frozen, cut off or slow still holds its counts. They are waited for as long as
//! the report can still be on time; a vm that is gone for good costs that wait and nothing else.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::VmId;

/// Time after which vms that did not answer are asked again.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Windows that are remembered. A report is due within two lengths of its window.
const MAX_WINDOWS: usize = 8;

/// What to do next about a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CollectStep {
    /// Ask these vms for their counts.
    Query(Vec<VmId>),
    /// Wait for those that were asked.
    Wait,
    /// Take what is known for the figures of the window.
    Close {
        /// Vms that did not answer.
        missing: usize,
    },
}

#[derive(Debug, Default)]
struct Window {
    received: BTreeSet<VmId>,
    queried_at: Option<Duration>,
}

/// Progress of the windows that are collected.
#[derive(Debug, Default)]
pub struct UsageCollection {
    windows: BTreeMap<u64, Window>,
}

impl UsageCollection {
    /// Decides about a window. `vms` are all other vms that may have counts, and `time_left` is the
    /// time for which the report can still wait.
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

    /// A vm told its counts.
    pub fn mark_received(&mut self, window: u64, vm: VmId) {
        self.windows.entry(window).or_default().received.insert(vm);
    }
}
