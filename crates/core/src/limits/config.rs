//! Settings of the limiter.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the limiter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitConfig {
    /// Time between two digests; bounds how much limits are overshot.
    pub gossip_interval: Duration,
    /// Digests older than this are not counted.
    pub peer_expiry: Duration,
    /// Time over which demand is averaged.
    pub demand_window: Duration,
    /// Length of burst that the request rate allows.
    pub burst: Duration,
    /// Part of an equal share that a vm without demand keeps, so that its first request is not
    /// refused.
    pub idle_share: f64,
    /// Retries per successful request.
    pub retry_share: f64,
    /// Retries per second that are allowed without successes.
    pub retry_floor_per_s: f64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            gossip_interval: Duration::from_millis(500),
            peer_expiry: Duration::from_secs(3),
            demand_window: Duration::from_secs(2),
            burst: Duration::from_secs(1),
            idle_share: 0.25,
            retry_share: 0.1,
            retry_floor_per_s: 1.0,
        }
    }
}
