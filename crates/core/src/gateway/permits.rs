//! Permits to send requests to targets that limit their requests per second.
//!
//! The owner of a service grants the permits of its targets to all vms, one request at a time, so
//! the sum over the vms is exact however callers are distributed, and no vm holds permits when it
//! stops. Vms whose owner does not reply use small fixed shares. The alternatives are discussed in
//! `docs/platform.md`, section 3.

mod config;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use config::PermitConfig;

use super::catalog::{Catalog, TargetKey};
use super::rate_limits::{RateLimitReport, RateLimits};
use crate::authority::mix;

/// A request that needs a permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitDemand {
    /// Rank of the request, 0 is the highest.
    pub rank: u32,
    /// Whether the request continues a run that has broken off. It takes precedence, because its
    /// caller has received a part of the answer.
    pub is_continuation: bool,
}

/// Query to the owner of a service for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// The target, and its limit as known to the sender.
    pub target: RateLimitReport,
    /// The request that needs the permit.
    pub demand: PermitDemand,
}

/// The owner's reply to a [`PermitQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent.
    Granted,
    /// No permit is available. Lists the ids of all targets of the service of which this holds, with
    /// the time until one is expected.
    Refused(SmallVec<[(String, Duration); 4]>),
    /// The owner does not know the target.
    UnknownTarget,
}

/// Permits of one target at the owner.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Available permits. Negative after continued runs have used some in advance.
    available: f64,
    refilled_at: Duration,
    /// Highest rank that was refused, and when.
    urgent: Option<(u32, Duration)>,
    /// Permits that less urgent requests may use although more urgent ones are refused.
    less_urgent: f64,
}

/// Share of a vm whose owner does not reply.
#[derive(Clone, Copy, Debug)]
struct Share {
    available: f64,
    refilled_at: Duration,
}

/// Permits by target.
#[derive(Debug)]
pub struct Permits {
    config: PermitConfig,
    /// Number of vms that this vm reaches, including itself.
    reachable_vms: usize,
    /// Number of all vms.
    all_vms: usize,
    buckets: HashMap<TargetKey, Bucket>,
    shares: HashMap<TargetKey, Share>,
}

impl Permits {
    /// Creates permits of which none are used.
    pub fn new(config: PermitConfig) -> Self {
        Self {
            config,
            reachable_vms: 1,
            all_vms: 1,
            buckets: HashMap::new(),
            shares: HashMap::new(),
        }
    }

    /// Sets the number of vms that this vm reaches, including itself, and of all vms. An owner grants
    /// only the part of the vms that it reaches: the others may have another owner.
    pub fn set_vms(&mut self, reachable: usize, all: usize) {
        self.reachable_vms = reachable.max(1);
        self.all_vms = all.max(self.reachable_vms);
    }

    /// Grants a permit as the owner of the target's service, or returns the time until one is
    /// expected to be available.
    ///
    /// # Errors
    ///
    /// Returns that time if no permit is available.
    pub fn grant(
        &mut self,
        key: TargetKey,
        limit_per_s: f64,
        demand: PermitDemand,
        now: Duration,
    ) -> Result<(), Duration> {
        let wait = self.wait(key, limit_per_s, demand, now);
        if !wait.is_zero() {
            self.record_refusal(key, demand, now);
            return Err(wait);
        }
        let config = self.config;
        let bucket = self.buckets.entry(key).or_default();
        bucket.available -= 1.0;
        match demand.rank > bucket.urgent_rank(&config, now) {
            true => bucket.less_urgent -= 1.0,
            false => {
                let earned = config.less_urgent_ratio / (1.0 - config.less_urgent_ratio);
                bucket.less_urgent = (bucket.less_urgent + earned).min(1.0);
            }
        }
        Ok(())
    }

    /// Records that a request was refused because no permit was available.
    pub(super) fn record_refusal(&mut self, key: TargetKey, demand: PermitDemand, now: Duration) {
        let config = self.config;
        let bucket = self.buckets.entry(key).or_default();
        if demand.rank <= bucket.urgent_rank(&config, now) {
            bucket.urgent = Some((demand.rank, now));
        }
    }

    /// Answers the query of a vm for a permit, as the owner of the target's service.
    pub fn answer(
        &mut self,
        catalog: &Catalog,
        limits: &RateLimits,
        query: &PermitQuery,
        now: Duration,
    ) -> PermitReply {
        let key = catalog.key_of_run(&query.target.run);
        let Some((key, target)) = key.and_then(|key| Some((key, catalog.get(key)?))) else {
            return PermitReply::UnknownTarget;
        };
        let Some(limit_per_s) = limits.limit_per_s(key) else {
            return PermitReply::Granted;
        };
        if self.grant(key, limit_per_s, query.demand, now).is_ok() {
            return PermitReply::Granted;
        }
        let limited = limits.of_service(catalog, &target.service);
        let waits = self.waits(limited, query.demand, now).into_iter();
        let named = waits.filter_map(|(key, wait)| Some((catalog.get(key)?.id.clone(), wait)));
        PermitReply::Refused(named.collect())
    }

    /// Time until a permit is expected to be available, or zero if one is.
    pub fn wait(
        &mut self,
        key: TargetKey,
        limit_per_s: f64,
        demand: PermitDemand,
        now: Duration,
    ) -> Duration {
        let config = self.config;
        let granted_ratio = self.reachable_vms as f64 / self.all_vms as f64;
        let per_s = (limit_per_s * granted_ratio).max(config.min_per_s);
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            refilled_at: now,
            ..Bucket::default()
        });
        bucket.refill(per_s, &config, now);
        if demand.is_continuation {
            return time_for(1.0 - config.max_debt - bucket.available, per_s);
        }
        let wait = time_for(1.0 - bucket.available, per_s);
        let is_less_urgent = demand.rank > bucket.urgent_rank(&config, now);
        match is_less_urgent && bucket.less_urgent < 1.0 {
            true => wait.max(time_for(1.0, per_s * config.less_urgent_ratio)),
            false => wait,
        }
    }

    /// Takes a permit from this vm's share of a limit, which it uses while the owner does not reply.
    /// Returns whether one was available.
    pub fn take_share(&mut self, key: TargetKey, limit_per_s: f64, now: Duration) -> bool {
        let config = self.config;
        let vms = self.all_vms as f64;
        let per_s = limit_per_s.max(config.min_per_s) * config.unowned_ratio / vms;
        // Vms lose their owner at the same time. With equal phases, all of them would send to the
        // target at once as soon as their shares amount to one request.
        let phase = mix(config.seed ^ mix(u64::from(key.0))) as f64 / u64::MAX as f64;
        let share = self.shares.entry(key).or_insert(Share {
            available: phase,
            refilled_at: now,
        });
        let passed = now.saturating_sub(share.refilled_at);
        let passed = passed.min(config.share_idle_limit);
        share.available = (share.available + passed.as_secs_f64() * per_s).min(1.0);
        share.refilled_at = now;
        if share.available < 1.0 {
            return false;
        }
        share.available -= 1.0;
        true
    }

    /// Limited targets that have no permit available, with the time until one is expected.
    pub fn waits(
        &mut self,
        limited: impl Iterator<Item = (TargetKey, f64)>,
        demand: PermitDemand,
        now: Duration,
    ) -> SmallVec<[(TargetKey, Duration); 4]> {
        let waits = limited.map(|(key, per_s)| (key, self.wait(key, per_s, demand, now)));
        waits.filter(|(_, wait)| !wait.is_zero()).collect()
    }

    /// Drops the state of removed targets.
    pub fn evict_removed(&mut self, catalog: &Catalog) {
        self.buckets.retain(|key, _| catalog.get(*key).is_some());
        self.shares.retain(|key, _| catalog.get(*key).is_some());
    }
}

impl Bucket {
    fn refill(&mut self, per_s: f64, config: &PermitConfig, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let most = (per_s * config.burst.as_secs_f64()).max(1.0);
        self.available = (self.available + passed * per_s).min(most);
        self.refilled_at = now;
    }

    /// Highest rank that was refused recently, or the lowest rank if none was.
    fn urgent_rank(&self, config: &PermitConfig, now: Duration) -> u32 {
        let recent = self
            .urgent
            .filter(|(_, at)| now < *at + config.urgent_lifetime);
        recent.map_or(u32::MAX, |(rank, _)| rank)
    }
}

/// Time in which this number of permits becomes available.
fn time_for(permits: f64, per_s: f64) -> Duration {
    Duration::from_secs_f64(permits.max(0.0) / per_s)
}
