//! Deterministic simulation for the request tests, with a virtual clock. Message delivery may lose,
//! delay and reorder messages. A seed determines the whole run.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub(crate) mod once_world;
pub(crate) mod request_world;

use std::collections::BTreeMap;
use std::time::Duration;

/// Event queue ordered by virtual time. Events of the same time keep the order of insertion.
pub(crate) struct Queue<T> {
    pub(crate) now: Duration,
    serial: u64,
    events: BTreeMap<(Duration, u64), T>,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            serial: 0,
            events: BTreeMap::new(),
        }
    }

    pub(crate) fn push_ms(&mut self, delay_ms: u64, event: T) {
        self.serial += 1;
        let at = self.now + Duration::from_millis(delay_ms);
        self.events.insert((at, self.serial), event);
    }

    pub(crate) fn pop(&mut self) -> Option<T> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        Some(event)
    }
}

/// Seeds to run: `default` many, or the number in `JUJUBEBEAM_SEEDS`.
pub(crate) fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("JUJUBEBEAM_SEEDS").ok();
    0..count.and_then(|v| v.parse().ok()).unwrap_or(default)
}
