//! Share of a vm in the budget for arrivals beyond the first of each request.
//!
//! The budget is a sliding-window sum over all vms. Each vm therefore spends only the part that its
//! own requests add and an equal share of the fixed allowance.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Number of buckets in the window. Arrivals count for up to one bucket longer than the window,
/// which makes the limit slightly stricter.
const BUCKETS: u32 = 20;

/// Settings of an [`ArrivalBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalBudgetConfig {
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of extra arrivals per request.
    pub ratio: f64,
    /// Number of extra arrivals per window that is independent of requests, for all vms together.
    pub allowance: f64,
    /// Share of the budget that is used. The remainder covers requests that other vms count
    /// differently.
    pub usable_ratio: f64,
}

impl Default for ArrivalBudgetConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 50.0,
            usable_ratio: 0.7,
        }
    }
}

#[derive(Debug, Default)]
struct Sums {
    /// Bucket number, requests and extra arrivals.
    buckets: VecDeque<(u64, u32, u32)>,
}

/// Budget of this vm, by service.
#[derive(Debug)]
pub struct ArrivalBudget {
    config: ArrivalBudgetConfig,
    services: HashMap<String, Sums>,
}

impl ArrivalBudget {
    /// Creates an unused budget.
    pub fn new(config: ArrivalBudgetConfig) -> Self {
        Self {
            config,
            services: HashMap::new(),
        }
    }

    fn bucket(&self, now: Duration) -> u64 {
        let length = self.config.window / BUCKETS;
        (now.as_nanos() / length.as_nanos().max(1)) as u64
    }

    fn sums(&mut self, service: &str, now: Duration) -> &mut Sums {
        let bucket = self.bucket(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Sums::default());
        }
        let sums = self.services.entry(service.to_owned()).or_default();
        // One bucket more than the window is kept, so that no arrival expires too early.
        while sums
            .buckets
            .front()
            .is_some_and(|(at, _, _)| at + u64::from(BUCKETS) < bucket)
        {
            sums.buckets.pop_front();
        }
        if sums.buckets.back().is_none_or(|(at, _, _)| *at != bucket) {
            sums.buckets.push_back((bucket, 0, 0));
        }
        sums
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &str, now: Duration) {
        if let Some(last) = self.sums(service, now).buckets.back_mut() {
            last.1 += 1;
        }
    }

    /// Takes one extra arrival from the budget if the share of one of `vms` vms permits it. Returns
    /// whether it did.
    pub fn take(&mut self, service: &str, vms: usize, now: Duration) -> bool {
        let config = self.config;
        let sums = self.sums(service, now);
        let (requests, extras) = sums
            .buckets
            .iter()
            .fold((0u32, 0u32), |(r, e), (_, requests, extras)| {
                (r + requests, e + extras)
            });
        let own = config.allowance / vms.max(1) as f64;
        let limit = (f64::from(requests) * config.ratio + own) * config.usable_ratio;
        if f64::from(extras) + 1.0 > limit {
            return false;
        }
        if let Some(last) = sums.buckets.back_mut() {
            last.2 += 1;
        }
        true
    }
}
