//! Settings of quotas, with the reason for each value.

use std::time::Duration;

/// Settings of [`Quotas`](super::Quotas).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Seed of random phases. It differs by vm and by run.
    pub seed: u64,
    /// Time for which a holder may spend a lease, from the moment it asked.
    pub lease_time: Duration,
    /// Largest extra grant as a multiple of the cost of the request that asked.
    pub extra_requests: f64,
    /// Part of a bucket that is reserved for exact grants. Extra grants are made above it.
    pub exact_ratio: f64,
    /// Least size of a bucket, as the time in which it fills. Callers do not arrive evenly, and a
    /// quota without a burst would lose what is not used at once.
    pub min_burst: Duration,
    /// Level of a bucket at which any request is granted, as the time in which it fills. A large
    /// request that had to wait for all of its tokens would starve behind small ones.
    pub debt_level: Duration,
    /// Longest time in which the debt of a request larger than the bucket may be gained.
    pub longest_debt: Duration,
    /// Time after the start or a pause of a process in which it is nobody's home, because its list
    /// of vms may be incomplete. The previous home continues to grant meanwhile.
    pub start_time: Duration,
    /// Smallest number of vms that a starting process assumes.
    pub start_vms: usize,
    /// Time after a takeover in which a home grants only a part of the rate, because some vms still
    /// use their shares or another home.
    pub guard_time: Duration,
    /// Part of the rate that a home grants in that time.
    pub guard_ratio: f64,
    /// Part of the rate that all shares have together while no home answers.
    pub share_ratio: f64,
    /// Longest time for which a share accumulates.
    pub share_time: Duration,
    /// Time for which a vm counts at the deputy that it asked last instead of using its share.
    pub claim_time: Duration,
    /// Time after a claim in which a former home grants all, because the new one does not grant yet.
    pub former_home_time: Duration,
    /// Time without a tick after which this vm was paused. Its buckets are then discarded.
    pub pause_limit: Duration,
    /// Time for which vms that have disappeared still count. They may be cut off and use shares or
    /// another home. Their entries in the store lapse after 10 s.
    pub size_memory: Duration,
    /// Age up to which the tokens of a request that did not run are given back. Later ones would
    /// add to a window in which they were not spent.
    pub refund_time: Duration,
    /// Mean time after which a caller may return whose request got no tokens because of a silent
    /// home.
    pub next_try: Duration,
    /// Shortest time that a refused caller is told to wait.
    pub min_wait: Duration,
    /// Longest time that a refused caller is told to wait.
    pub max_wait: Duration,
    /// Time after which state that is not used is dropped.
    pub idle_time: Duration,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        Self {
            seed: 0,
            lease_time: Duration::from_secs(1),
            extra_requests: 2.0,
            exact_ratio: 0.5,
            min_burst: Duration::from_millis(250),
            debt_level: Duration::from_millis(10),
            longest_debt: Duration::from_secs(4),
            start_time: Duration::from_secs(2),
            start_vms: 64,
            guard_time: Duration::from_secs(3),
            guard_ratio: 0.6,
            share_ratio: 0.75,
            share_time: Duration::from_secs(1),
            claim_time: Duration::from_secs(3),
            former_home_time: Duration::from_millis(500),
            pause_limit: Duration::from_secs(1),
            size_memory: Duration::from_secs(60),
            refund_time: Duration::from_secs(1),
            next_try: Duration::from_millis(60),
            min_wait: Duration::from_millis(10),
            max_wait: Duration::from_secs(2),
            idle_time: Duration::from_secs(60),
        }
    }
}
