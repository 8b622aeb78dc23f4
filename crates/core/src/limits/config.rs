//! Settings of the limiter.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the limiter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitConfig {
    /// Time between two digests; bounds how much limits are overshot.
    pub gossip_interval: Duration,
    /// Number of vms above which the interval grows with the fleet: each digest goes to every vm, so
    /// a fixed interval would make the traffic of one vm grow with the fleet.
    pub vms_per_interval: u32,
    /// Idle workspaces that one digest repeats.
    pub repeated_entries: usize,
    /// Demand that counts as none once no request arrives.
    pub least_demand_per_s: f64,
    /// Digests older than this are not counted.
    pub peer_expiry: Duration,
    /// Time over which demand is averaged.
    pub demand_window: Duration,
    /// Length of burst that the request rate allows.
    pub burst: Duration,
    /// Part of an equal share that a vm without demand keeps, so that its first request is not
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
    /// Time between two digests in a fleet of `vms`.
    pub fn interval(&self, vms: u32) -> Duration {
        self.scaled(self.gossip_interval, vms)
    }

    /// Time after which a digest of a vm in a fleet of `vms` is not counted.
    pub(crate) fn expiry(&self, vms: u32) -> Duration {
        self.scaled(self.peer_expiry, vms)
    }

    fn scaled(&self, time: Duration, vms: u32) -> Duration {
        let factor = f64::from(vms) / f64::from(self.vms_per_interval.max(1));
        time.mul_f64(factor.max(1.0))
    }
}
