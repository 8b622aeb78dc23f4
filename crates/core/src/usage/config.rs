//! Options of usage metering.

use std::time::Duration;

/// Options of usage metering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window before it is collected.
    pub settle_delay: Duration,
    /// Time that vms have to answer a collection. Records in later answers are counted in the next
    /// window.
    pub collect_timeout: Duration,
    /// Time for which records are batched before they are replicated.
    pub flush_delay: Duration,
    /// Time before records are sent again, and between two empty messages that check whether the
    /// receiver still has the earlier records.
    pub resend_interval: Duration,
    /// Number of replicas of each log.
    pub copies: usize,
    /// Time before a failed store call is tried again.
    pub retry_after: Duration,
    /// Number of windows for which the positions of ended runs are retained, so that a replica that
    /// reappears is not counted twice.
    pub remember_windows: u64,
    /// Number of reported windows that are kept in the store for inspection. The system reads a
    /// window only until it is reported and the next one is frozen.
    pub keep_windows: u64,
    /// Mechanisms that a test disables.
    pub faults: UsageFaults,
}

impl Default for UsageConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(60),
            settle_delay: Duration::from_secs(5),
            collect_timeout: Duration::from_secs(2),
            flush_delay: Duration::from_millis(2),
            resend_interval: Duration::from_secs(1),
            copies: 2,
            retry_after: Duration::from_millis(500),
            remember_windows: 1440,
            keep_windows: 60,
            faults: UsageFaults::default(),
        }
    }
}

/// Mechanisms that a test disables to show that its checks detect the fault. Never set in
/// production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageFaults {
    /// Reports the collected figures without freezing them first.
    pub skip_freeze: bool,
    /// Acknowledges records before another vm has them.
    pub skip_copies: bool,
    /// Drops records that a frozen window does not contain.
    pub skip_carry_over: bool,
    /// Adds up the replicas of a log instead of using the longest one.
    pub add_copies: bool,
}
