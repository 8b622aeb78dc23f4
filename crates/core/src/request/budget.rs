//! Retry budget of one route.

use std::time::Duration;

use crate::settings::document::PolicyDocument;

/// Configuration of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned per success. A tenth keeps retries from amplifying an overload.
    pub per_success: f64,
    /// Retries earned per second regardless of successes, so that a route with little traffic can
    /// retry at all.
    pub per_second: f64,
    /// Maximum number of accumulated retries.
    pub max_saved: f64,
}

impl RetryBudgetConfig {
    /// Creates a configuration from the policy that operators set.
    pub fn from_policy(policy: &PolicyDocument) -> Self {
        Self {
            per_success: f64::from(policy.retry_budget_percent) / 100.0,
            ..Self::default()
        }
    }
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            per_success: 0.1,
            per_second: 1.0,
            max_saved: 10.0,
        }
    }
}

/// Token bucket of the retries that a route may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    retries: f64,
    counted_until: Duration,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryBudgetConfig, now: Duration) -> Self {
        Self {
            config,
            retries: config.max_saved,
            counted_until: now,
        }
    }

    /// Changes the configuration. Accumulated retries are kept.
    pub fn configure(&mut self, config: RetryBudgetConfig) {
        self.config = config;
    }

    /// Records a success.
    pub fn succeeded(&mut self) {
        self.earn(self.config.per_success);
    }

    /// Consumes one retry. Returns whether the budget allows it.
    pub fn take(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.counted_until);
        self.counted_until = now;
        self.earn(passed.as_secs_f64() * self.config.per_second);
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    fn earn(&mut self, retries: f64) {
        self.retries = (self.retries + retries).min(self.config.max_saved);
    }
}
