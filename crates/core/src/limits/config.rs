//! Configuration of the limiter.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Configuration of the limiter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitConfig {
    /// Interval between digests. It bounds by how much limits can be exceeded.
    pub gossip_interval: Duration,
    /// Number of vms above which the interval grows in proportion to the fleet. Each digest is sent
    /// to every vm, so with a fixed interval the traffic per vm would grow with the fleet.
    pub vms_per_interval: u32,
    /// Maximum number of idle workspaces repeated in one digest.
    pub repeated_entries: usize,
    /// Average demand below which it is set to zero when no request arrives.
    pub least_demand_per_s: f64,
    /// Age after which digests are ignored.
    pub peer_expiry: Duration,
    /// Time over which demand is averaged.
    pub demand_window: Duration,
    /// Burst size of the request rate limit, as the time in which the rate yields it.
    pub burst: Duration,
    /// Fraction of an equal share that a vm without demand keeps, so that its first request is not
    /// refused.
    pub idle_share: f64,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            gossip_interval: Duration::from_millis(500),
            vms_per_interval: 12,
            repeated_entries: 32,
            least_demand_per_s: 0.01,
            peer_expiry: Duration::from_secs(3),
            demand_window: Duration::from_secs(2),
            burst: Duration::from_secs(1),
            idle_share: 0.25,
        }
    }
}

impl LimitConfig {
    /// Interval between digests in a fleet of `vms`.
    pub fn interval(&self, vms: u32) -> Duration {
        self.scaled(self.gossip_interval, vms)
    }

    /// Age after which digests are ignored in a fleet of `vms`.
    pub(crate) fn expiry(&self, vms: u32) -> Duration {
        self.scaled(self.peer_expiry, vms)
    }

    fn scaled(&self, time: Duration, vms: u32) -> Duration {
        let factor = f64::from(vms) / f64::from(self.vms_per_interval.max(1));
        time.mul_f64(factor.max(1.0))
    }
}
