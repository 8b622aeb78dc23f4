//! Counts and limits calls of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateConfig {
    /// Writes per second.
    pub(crate) writes_per_s: u32,
    /// Reads per second.
    pub(crate) reads_per_s: u32,
}

impl Default for RateConfig {
    fn default() -> Self {
        Self {
            writes_per_s: 500,
            reads_per_s: 2000,
        }
    }
}

/// Calls since the start of the store.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct CallCounts {
    /// Calls by kind. A waiting watch counts as one.
    pub(crate) calls: BTreeMap<&'static str, u64>,
    /// Calls that were refused because of the rate.
    pub(crate) limited: u64,
    /// Watches that wait now.
    pub(crate) open_watches: u32,
    /// Most writes in one second.
    pub(crate) peak_writes_per_s: u32,
    /// Most reads in one second, with the watches that waited.
    pub(crate) peak_reads_per_s: u32,
}

/// Counter of the present second.
#[derive(Debug)]
pub(crate) struct Calls {
    /// What is recorded.
    pub(crate) counts: CallCounts,
    second: Instant,
    writes: u32,
    reads: u32,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            counts: CallCounts::default(),
            second: Instant::now(),
            writes: 0,
            reads: 0,
        }
    }
}

impl Calls {
    /// Counts a call. Returns false if it exceeds the rate.
    pub(crate) fn admit(&mut self, kind: &'static str, write: bool, rate: RateConfig) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            (self.writes, self.reads) = (0, 0);
        }
        let waiting = if write { 0 } else { self.counts.open_watches };
        let (count, limit, peak) = if write {
            let peak = &mut self.counts.peak_writes_per_s;
            (&mut self.writes, rate.writes_per_s, peak)
        } else {
            let peak = &mut self.counts.peak_reads_per_s;
            (&mut self.reads, rate.reads_per_s, peak)
        };
        if *count + waiting >= limit {
            self.counts.limited += 1;
            return false;
        }
        *count += 1;
        *peak = (*peak).max(*count + waiting);
        *self.counts.calls.entry(kind).or_default() += 1;
        true
    }
}
