//! Settings of permits, with the reason for each value.

use std::time::Duration;

/// Settings of [`Permits`](super::Permits).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitConfig {
    /// Seed of the phases in which vms without an owner use their shares. It differs by vm.
    pub seed: u64,
    /// Time for which unused permits accumulate.
    pub burst: Duration,
    /// Lowest rate at which a target is sent requests, in requests per second. Only its answers tell
    /// when a limit of zero has ended.
    pub min_per_s: f64,
    /// Most permits that continued runs may use in advance.
    pub max_debt: f64,
    /// Share of the permits that less urgent requests get while more urgent ones are refused.
    pub less_urgent_ratio: f64,
    /// Time after its last refusal for which a more urgent request goes first. Its caller may be
    /// about to return.
    pub urgent_lifetime: Duration,
    /// Share of a limit that all vms use together while their owner does not reply. The owner may
    /// still be granting all of it.
    pub unowned_ratio: f64,
    /// Time without a request after which a vm's share no longer accumulates.
    pub share_idle_limit: Duration,
}

impl Default for PermitConfig {
    fn default() -> Self {
        Self {
            seed: 0,
            // Callers do not arrive evenly. Without a burst, pauses between them would be lost.
            burst: Duration::from_millis(250),
            min_per_s: 0.25,
            max_debt: 2.0,
            less_urgent_ratio: 0.25,
            urgent_lifetime: Duration::from_secs(1),
            unowned_ratio: 0.4,
            share_idle_limit: Duration::from_secs(1),
        }
    }
}
