//! The clock that the shell and the tests hand to the machines.

use std::sync::Mutex;
use std::time::Duration;

use nix::time::ClockId;

/// Source of monotonic time, passed in so that tests control it.
pub trait Clock {
    /// Time since an arbitrary start. Values of two processes must not be compared.
    fn now(&self) -> Duration;
}

/// Clock of the operating system that counts the time for which the machine was suspended.
///
/// `std::time::Instant` leaves that time out. A vm that was suspended for longer than its lease would
/// then go on to act beside the next holder.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Time since the machine was started, with suspensions. The clock exists on all supported systems;
/// zero would only make each lease look expired.
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
