//! Deterministic harness: six replicas, a lossy network and a store model on a virtual clock.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub(crate) mod check;
pub(crate) mod fleet;
pub(crate) mod linear;
pub(crate) mod scenario;
pub(crate) mod store;
pub(crate) mod world;

use std::time::Duration;

/// Milliseconds as a duration.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Fixed seeds of a test. `JUJUBEBEAM_SEEDS` replaces the number of seeds for long runs.
pub(crate) fn seeds(default: u64) -> std::ops::Range<u64> {
    let number = std::env::var("JUJUBEBEAM_SEEDS").ok();
    0..number.and_then(|n| n.parse().ok()).unwrap_or(default)
}
