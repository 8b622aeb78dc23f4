//! Settings of the ledger of requests that may run at most once.

use std::time::Duration;

/// Settings of [`super::OnceLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnceConfig {
    /// Time that a mark waits for others, so that they share a store call.
    pub linger: Duration,
    /// Most marks in one store call; the store's limit is 128 operations a transaction.
    pub batch: usize,
    /// A new lease for marks is granted after this time.
    pub lease_period: Duration,
    /// Time to live of a lease for marks. It exceeds the retention of 24 h by one period, because
    /// marks are bound to a lease up to one period after its grant.
    pub lease_ttl: Duration,
    /// Time between two tries at a mark whose fate is unknown.
    pub retry_interval: Duration,
    /// Time for which answers and the ends of requests are kept.
    pub retention: Duration,
    /// Largest answer that is kept.
    pub max_answer_bytes: usize,
    /// Memory for kept answers. The oldest bodies are dropped first; their marks stay.
    pub max_kept_bytes: usize,
    /// Most requests in the ledger. More are refused, because dropping a mark could run a request
    /// twice.
    pub max_entries: usize,
    /// Most repeats that wait for one running request; more are answered `running`.
    pub max_waiters: usize,
    /// Whether a mark is created before a request runs. Only proof tests switch it off.
    pub marks: bool,
    /// Whether an unknown store answer is read back. Only proof tests switch it off.
    pub read_back: bool,
    /// Whether giving up is final. Only proof tests switch it off.
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
