//! Settings of usage counting.

use std::time::Duration;

/// Settings of usage counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window before it is collected.
    pub settle: Duration,
    /// Time that vms have to answer a collection. Later answers count in the next window.
    pub collect: Duration,
    /// Time in which records gather before they are copied.
    pub linger: Duration,
    /// Time before a copy is sent again, and between two empty copies that show whether the
    /// receiver still has the earlier ones.
    pub resend: Duration,
    /// Number of copies.
    pub copies: usize,
    /// Time before a failed store call is tried again.
    pub retry_after: Duration,
    /// Number of windows for which positions of ended runs are remembered, so that a copy that
    /// reappears is not counted twice.
    pub remember_windows: u64,
    /// Number of reported windows that stay in the store for inspection. A window is read only
    /// until it is reported and the next one is frozen.
    pub keep_windows: u64,
    /// Mechanisms that a test switches off.
    pub faults: UsageFaults,
}

impl Default for UsageConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(60),
            settle: Duration::from_secs(5),
            collect: Duration::from_secs(2),
            linger: Duration::from_millis(2),
            resend: Duration::from_secs(1),
            copies: 2,
            retry_after: Duration::from_millis(500),
            remember_windows: 1440,
            keep_windows: 60,
            faults: UsageFaults::default(),
        }
    }
}

/// Mechanisms that a test switches off to show that its checks notice. Never set in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageFaults {
    /// Reports what was collected without freezing it first.
    pub skip_freeze: bool,
    /// Acknowledges records that no other vm has.
    pub skip_copies: bool,
    /// Forgets records that a frozen window does not contain.
    pub skip_carry_over: bool,
    /// Adds up the copies of a log instead of using the longest one.
    pub add_copies: bool,
}
