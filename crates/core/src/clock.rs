//! Clocks for the daemon and for tests. The state machines get the time passed in.

use std::sync::Mutex;
use std::time::Duration;

use nix::time::ClockId;

/// Source of monotonic time, so that tests can control it.
pub trait Clock {
    /// Time since an arbitrary start. Values of two processes must not be compared.
    fn now(&self) -> Duration;
}

/// Clock of the operating system, including time for which the machine was suspended.
///
/// `std::time::Instant` omits that time. A vm that was suspended for longer than its lease would
/// then continue to act alongside the next holder.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Time since the machine was started, including suspensions. The clock exists on all supported
/// systems. If it did not, the result of zero would make each lease appear expired.
fn since_boot() -> Duration {
    ClockId::CLOCK_BOOTTIME
        .now()
        .map_or(Duration::ZERO, Duration::from)
}

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        since_boot().saturating_sub(self.start)
    }
}

/// Clock that only moves when a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().unwrap_or_else(|e| e.into_inner()) += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock().unwrap_or_else(|e| e.into_inner())
    }
}
