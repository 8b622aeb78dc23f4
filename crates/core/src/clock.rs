//! The clock that the shell and the tests hand to the machines.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Source of monotonic time, passed in so that tests control it.
pub trait Clock {
    /// Time since an arbitrary start. Values of two processes must not be compared.
    fn now(&self) -> Duration;
}

/// Monotonic clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
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
        self.start.elapsed()
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
