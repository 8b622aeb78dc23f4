//! The vms that ask a home, and how many of them have fallen silent.

use std::collections::HashMap;
use std::time::Duration;

use crate::VmId;

/// Time for which a vm counts as one that asks. Membership detects an unreachable vm within it.
const ASKER_TIME: Duration = Duration::from_secs(6);

/// Time without a query after which an asker may have lost this home and use its share.
const SILENT_TIME: Duration = Duration::from_millis(1000);

/// Time over which the rate of queries is averaged.
const RATE_TIME_S: f64 = 3.0;

/// Vms that asked a home recently.
#[derive(Debug, Default)]
pub(super) struct Askers {
    asked_at: HashMap<VmId, Duration>,
    /// Queries per second.
    rate_per_s: f64,
    rated_at: Duration,
}

impl Askers {
    pub(super) fn record(&mut self, vm: VmId, now: Duration) {
        let passed_s = now.saturating_sub(self.rated_at).as_secs_f64();
        self.rate_per_s = self.rate_per_s * (-passed_s / RATE_TIME_S).exp() + 1.0 / RATE_TIME_S;
        self.rated_at = now;
        self.asked_at.insert(vm, now);
        self.asked_at.retain(|_, at| now < *at + ASKER_TIME);
    }

    /// Number of vms that asked within this time.
    pub(super) fn count(&self, within: Duration, now: Duration) -> usize {
        let asked_at = self.asked_at.values();
        asked_at.filter(|at| now < **at + within).count()
    }

    /// Number of askers that are silent beyond what is expected by chance. If the network is cut,
    /// all on the other side fall silent at once, seconds before membership knows.
    pub(super) fn missing(&self, now: Duration) -> f64 {
        let askers = self.asked_at.len();
        let silent = askers - self.count(SILENT_TIME, now);
        let rate_per_vm = self.rate_per_s / askers.max(1) as f64;
        let expected = askers as f64 * (-rate_per_vm * SILENT_TIME.as_secs_f64()).exp();
        // Two standard deviations of the number that is expected.
        (silent as f64 - expected - 2.0 * expected.sqrt() - 1.0).max(0.0)
    }
}
