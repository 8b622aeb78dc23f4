//! Budget for retries, so that they never amplify an overload.

use std::time::Duration;

use super::LimitConfig;

/// Retries that one route may still make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    config: LimitConfig,
    tokens: f64,
    filled_at: Duration,
}

/// Most retries that can be saved up, in seconds of the floor rate.
const SAVED_S: f64 = 10.0;

impl RetryBudget {
    /// Creates a budget that allows one second of the floor rate.
    pub fn new(config: LimitConfig) -> Self {
        Self {
            config,
            tokens: config.retry_floor_per_s,
            filled_at: Duration::ZERO,
        }
    }

    /// Counts a successful request.
    pub fn succeeded(&mut self) {
        self.add(self.config.retry_share);
    }

    /// Takes one retry from the budget, or refuses it.
    pub fn try_spend(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.add(elapsed * self.config.retry_floor_per_s);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn add(&mut self, tokens: f64) {
        let most = (SAVED_S * self.config.retry_floor_per_s).max(1.0);
        self.tokens = (self.tokens + tokens).min(most);
    }
}
