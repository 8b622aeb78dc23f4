//! Requests that began to run, by tenant and window of true time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Windows that are kept after their end. A window is reported within two lengths of its end.
const KEPT_WINDOWS: u64 = 6;

/// Requests by name of the tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts(pub BTreeMap<String, u64>);

impl WindowCounts {
    /// Adds the counts of another vm.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }
}

/// Counts of one vm.
#[derive(Debug)]
pub struct UsageWindows {
    length: Duration,
    windows: BTreeMap<u64, WindowCounts>,
}

impl UsageWindows {
    /// Creates empty counts for windows of this length.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
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
        let counts = self.windows.entry(window).or_default();
        match counts.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                counts.0.insert(tenant.to_owned(), 1);
            }
        }
        let oldest = window.saturating_sub(KEPT_WINDOWS);
        self.windows.retain(|number, _| *number >= oldest);
    }

    /// Counts of a window.
    pub fn counts(&self, window: u64) -> WindowCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}
