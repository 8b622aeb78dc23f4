//! Usual time of the hand-overs of a service, in addition to their transfers.

use std::time::Duration;

/// Number of hand-overs from which the usual time is used.
const MIN_HAND_OVERS: u32 = 20;

/// Quantile that is taken as the usual overhead. With a quarter of all engines behind slow links,
/// 44 % of the hand-overs are late, so the quantile has to lie below 0.56.
const OVERHEAD_QUANTILE: f64 = 0.45;

/// Quantile below it, from which the spread is taken. Late hand-overs do not affect it.
const LOW_QUANTILE: f64 = 0.15;

/// Spread as a multiple of the difference of the two quantiles. It is the mean, if the overhead is
/// distributed exponentially.
const SPREAD_FACTOR: f64 = 2.3;

/// Smallest spread in milliseconds. Vms with a tenth of a core measure no smaller differences.
const MIN_SPREAD_MS: f64 = 0.5;

/// Largest step of an estimate that is known, relative to its scale. Larger ones follow single
/// answers.
const MAX_STEP: f64 = 0.02;

/// Time in which an estimate changes by its scale at most. While transfers wait in queues, all
/// hand-overs are late; an estimate that follows them within a second no longer tells slow links from
/// sound ones. Steps in both directions are limited, or the quantile would be another one.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// Usual time of hand-overs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Usual {
    /// Time that is not taken by the transfer, in milliseconds.
    pub(super) overhead_ms: f64,
    /// Typical deviation from it, in milliseconds.
    pub(super) spread_ms: f64,
}

/// Running quantiles of the time of hand-overs that is not taken by the transfer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    low_ms: f64,
    overhead_ms: f64,
    hand_overs: u32,
    updated_at: Duration,
}

impl Baseline {
    /// Usual time, once enough hand-overs are known.
    pub(super) fn usual(&self) -> Option<Usual> {
        let spread_ms = (self.overhead_ms - self.low_ms).max(0.0);
        let usual = Usual {
            overhead_ms: self.overhead_ms,
            spread_ms: (spread_ms * SPREAD_FACTOR).max(MIN_SPREAD_MS),
        };
        (self.hand_overs >= MIN_HAND_OVERS).then_some(usual)
    }

    /// Updates the estimates. `is_common` means that most links of the service seem to be slow, so that
    /// it is the rest of the hand-over that takes longer.
    pub(super) fn update(&mut self, overhead_ms: f64, is_common: bool, now: Duration) {
        if self.hand_overs == 0 {
            self.low_ms = overhead_ms;
            self.overhead_ms = overhead_ms;
        }
        self.hand_overs = self.hand_overs.saturating_add(1);
        let scale_ms = self.overhead_ms.abs().max(MIN_SPREAD_MS);
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let limited = match is_common {
            true => MAX_STEP,
            false => (passed.as_secs_f64() / CHANGE_TIME.as_secs_f64()).min(MAX_STEP),
        };
        let step_ms = scale_ms * limited.max(1.0 / f64::from(self.hand_overs));
        for (estimate_ms, quantile) in [
            (&mut self.low_ms, LOW_QUANTILE),
            (&mut self.overhead_ms, OVERHEAD_QUANTILE),
        ] {
            *estimate_ms += match overhead_ms > *estimate_ms {
                true => step_ms * quantile,
                false => -step_ms * (1.0 - quantile),
            };
        }
    }
}
