//! Number of requests that began to run, by tenant and window of true time.
//!
//! Each run of a vm counts its own requests and sends copies of the counts to other vms, so that
//! little is lost if a vm fails before its window is collected.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::authority::Holder;

/// Number of windows that are retained after their end. A window is reported within two lengths of
/// its end.
const RETAINED_WINDOWS: u64 = 6;

/// Number of requests, by name of the tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts(pub BTreeMap<String, u64>);

impl WindowCounts {
    /// Number of requests.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Adds the counts of another vm.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }
}

/// Counts of one run of a vm in one window. They only increase, so the larger of two copies is
/// newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// The run of the vm.
    pub holder: Holder,
    /// Number of the window.
    pub window: u64,
    /// Requests of the run in the window.
    pub counts: WindowCounts,
}

/// Counts of this vm, and copies of the counts of other vms.
#[derive(Debug)]
pub struct UsageWindows {
    length: Duration,
    own: Holder,
    windows: BTreeMap<u64, BTreeMap<Holder, WindowCounts>>,
}

impl UsageWindows {
    /// Creates empty counts for windows of this length.
    pub fn new(length: Duration, own: Holder) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Number of the window at a true time.
    pub fn window_at(&self, true_time: Duration) -> u64 {
        (true_time.as_micros() / self.length.as_micros()) as u64
    }

    /// End of a window in true time.
    pub fn end_of(&self, window: u64) -> Duration {
        Duration::from_micros(self.length.as_micros() as u64 * (window + 1))
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, tenant: &str, true_time: Duration) {
        let window = self.window_at(true_time);
        let runs = self.windows.entry(window).or_default();
        let counts = runs.entry(self.own).or_default();
        match counts.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                counts.0.insert(tenant.to_owned(), 1);
            }
        }
        self.drop_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    /// Merges a copy of the counts of another run, unless a newer copy is present.
    pub fn merge(&mut self, copy: RunCounts) {
        if copy.holder == self.own {
            return;
        }
        let newest = self.windows.keys().next_back().copied();
        if newest.is_some_and(|newest| copy.window + RETAINED_WINDOWS < newest) {
            return;
        }
        let runs = self.windows.entry(copy.window).or_default();
        let known = runs.entry(copy.holder).or_default();
        if known.total() < copy.counts.total() {
            *known = copy.counts;
        }
    }

    /// This vm's counts of the newest windows, to be copied to other vms.
    pub fn own_newest(&self, windows: usize) -> Vec<RunCounts> {
        let newest = self.windows.iter().rev().take(windows);
        newest
            .filter_map(|(window, runs)| {
                Some(RunCounts {
                    holder: self.own,
                    window: *window,
                    counts: runs.get(&self.own)?.clone(),
                })
            })
            .collect()
    }

    /// Counts of a window, by run.
    pub fn runs(&self, window: u64) -> Vec<RunCounts> {
        let runs = self.windows.get(&window).into_iter().flatten();
        runs.map(|(holder, counts)| RunCounts {
            holder: *holder,
            window,
            counts: counts.clone(),
        })
        .collect()
    }

    /// Sum of the counts of a window over all runs.
    pub fn counts(&self, window: u64) -> WindowCounts {
        let mut sum = WindowCounts::default();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            sum.add(counts);
        }
        sum
    }

    fn drop_before(&mut self, oldest: u64) {
        self.windows.retain(|number, _| *number >= oldest);
    }
}
