//! Configuration of the ledger.

use std::time::Duration;

/// Configuration of an [`super::OnceLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Time for which a mark waits for others, so that they can share a store call.
    pub linger: Duration,
    /// Maximum number of marks per store call. The store allows 128 operations per transaction.
    pub batch: usize,
    /// Time for which a lease is used for new marks. After it, a new lease is requested.
    pub lease_period: Duration,
    /// Time to live of a lease for marks. It exceeds the retention of 24 h by one lease period,
    /// because marks are attached to a lease up to one period after its grant.
    pub lease_ttl: Duration,
    /// Interval between retries of read-backs and of queries to other vms.
    pub retry_interval: Duration,
    /// Time for which answers and final outcomes are stored.
    pub retention: Duration,
    /// Maximum size of a stored answer body.
    pub max_answer_bytes: usize,
    /// Maximum memory for stored answer bodies. The oldest bodies are dropped first; their entries
    /// stay.
    pub max_kept_bytes: usize,
    /// Maximum number of entries. Further requests are refused, because evicting an entry could let
    /// its request run twice.
    pub max_entries: usize,
    /// Maximum number of requests that wait for the outcome of one key. Further ones are answered
    /// `running`.
    pub max_waiters: usize,
    /// Whether a mark is created before a request runs. Disabled only in tests that check that the
    /// fault is found.
    pub marks: bool,
    /// Whether a mark is read back after a create call with an unknown result. Disabled only in
    /// tests that check that the fault is found.
    pub read_back: bool,
    /// Whether a request that was given up never runs. Disabled only in tests that check that the
    /// fault is found.
    pub give_up_is_final: bool,
}

impl Default for OnceConfig {
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(5),
            batch: 128,
            lease_period: Duration::from_secs(3600),
            lease_ttl: Duration::from_secs(25 * 3600),
            retry_interval: Duration::from_millis(50),
            retention: Duration::from_secs(15 * 60),
            max_answer_bytes: 64 * 1024,
            max_kept_bytes: 1024 * 1024,
            max_entries: 4096,
            max_waiters: 16,
            marks: true,
            read_back: true,
            give_up_is_final: true,
        }
    }
}
