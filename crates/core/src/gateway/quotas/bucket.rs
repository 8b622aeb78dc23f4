//! Token bucket of a workspace at its home.

use std::collections::VecDeque;
use std::time::Duration;

use super::askers::Askers;
use super::{QuotaConfig, QuotaReply, WorkspaceQuota};

/// Lowest rate with which times are computed, so that they remain finite.
const MIN_RATE_PER_S: f64 = 1e-6;

/// Token bucket of a workspace.
///
/// Level and unspent leases together never exceed the size of the bucket, so a window contains at
/// most the size and what the bucket gains meanwhile, no matter when leases are spent.
#[derive(Debug)]
pub(super) struct Bucket {
    quota: WorkspaceQuota,
    /// Vms that ask for tokens.
    pub(super) askers: Askers,
    /// Since when another vm is the home.
    pub(super) lost_at: Option<Duration>,
    /// When a vm last asked this one because the new home does not grant.
    pub(super) claimed_at: Option<Duration>,
    /// Part of the rate that this vm last granted as the home.
    pub(super) home_ratio: f64,
    /// Part of the rate and of the burst that this vm grants.
    ratio: f64,
    /// Tokens that may be granted. Negative after a request that was larger than the level.
    level: f64,
    refilled_at: Duration,
    /// Time from which the bucket fills at the whole rate.
    guarded_until: Duration,
    /// Extra grants that their holders may still spend, with the time at which they lapse.
    leased: VecDeque<(Duration, f64)>,
    leased_tokens: f64,
    /// Time at which refused callers have been told that capacity is available.
    promised_until: Duration,
    refusals: u64,
}

impl Bucket {
    /// Creates an empty bucket of a home that took over at `since`.
    pub(super) fn new(quota: WorkspaceQuota, config: &QuotaConfig, since: Duration) -> Self {
        Self {
            quota,
            askers: Askers::default(),
            lost_at: None,
            claimed_at: None,
            home_ratio: 0.0,
            ratio: 0.0,
            level: 0.0,
            refilled_at: since,
            guarded_until: since + config.guard_time,
            leased: VecDeque::new(),
            leased_tokens: 0.0,
            promised_until: since,
            refusals: 0,
        }
    }

    /// Creates an empty bucket that fills at the whole rate at once.
    pub(super) fn unguarded(quota: WorkspaceQuota, now: Duration) -> Self {
        let mut bucket = Self::new(quota, &QuotaConfig::default(), now);
        bucket.guarded_until = now;
        bucket
    }

    pub(super) fn last_used(&self) -> Duration {
        self.refilled_at
    }

    /// Adds what the bucket has gained, under a quota that may have changed.
    pub(super) fn refill(
        &mut self,
        quota: WorkspaceQuota,
        ratio: f64,
        config: &QuotaConfig,
        now: Duration,
    ) {
        while let Some((lapses_at, tokens)) = self.leased.front().copied() {
            if now < lapses_at {
                break;
            }
            self.leased_tokens -= tokens;
            self.leased.pop_front();
        }
        if self.leased.is_empty() {
            self.leased_tokens = 0.0;
        }
        // The time before a change counts at the lower rate.
        let rate_per_s = quota.rate_per_s.min(self.quota.rate_per_s);
        let guard_end = self
            .guarded_until
            .clamp(self.refilled_at, now.max(self.refilled_at));
        let guarded_s = guard_end.saturating_sub(self.refilled_at).as_secs_f64();
        let full_s = now.saturating_sub(guard_end).as_secs_f64();
        let gained_s = guarded_s * config.guard_ratio + full_s;
        self.level += gained_s * rate_per_s * ratio;
        self.quota = quota;
        self.ratio = ratio;
        self.refilled_at = now.max(self.refilled_at);
        self.limit_level(config);
    }

    fn limit_level(&mut self, config: &QuotaConfig) {
        let limit = self.size(config) - self.leased_tokens;
        self.level = self.level.min(limit);
    }

    fn size(&self, config: &QuotaConfig) -> f64 {
        self.quota.bucket_size(config) * self.ratio
    }

    /// Answers a request for tokens.
    pub(super) fn reply(
        &mut self,
        tokens: f64,
        may_lease: bool,
        config: &QuotaConfig,
        now: Duration,
    ) -> QuotaReply {
        match self.take(tokens, may_lease, config, now) {
            Ok(extra) => QuotaReply::Granted {
                extra,
                extra_for: config.lease_time,
            },
            Err(retry_after) => QuotaReply::Refused { retry_after },
        }
    }

    /// Grants the tokens of a request, and returns the tokens granted in addition if the holder may
    /// have a lease.
    ///
    /// # Errors
    ///
    /// Returns the time after which a refused caller may return.
    fn take(
        &mut self,
        tokens: f64,
        may_lease: bool,
        config: &QuotaConfig,
        now: Duration,
    ) -> Result<f64, Duration> {
        let size = self.size(config);
        let rate_per_s = (self.quota.rate_per_s * self.ratio).max(MIN_RATE_PER_S);
        let needed = self.quota.needed_level(tokens, config).min(size);
        if self.level < needed {
            return Err(self.refuse(needed - self.level, tokens, rate_per_s, config, now));
        }
        self.level -= tokens;
        let spare = self.level - size * config.exact_ratio;
        let extra = spare.min(tokens * config.extra_requests).max(0.0);
        if !may_lease || extra < tokens.max(1.0) {
            return Ok(0.0);
        }
        self.level -= extra;
        self.leased_tokens += extra;
        self.leased.push_back((now + config.lease_time, extra));
        Ok(extra)
    }

    /// Time after which a refused caller may return. Each refusal is assigned the capacity after
    /// that of the previous one, so that callers do not return together.
    fn refuse(
        &mut self,
        missing: f64,
        tokens: f64,
        rate_per_s: f64,
        config: &QuotaConfig,
        now: Duration,
    ) -> Duration {
        self.refusals += 1;
        let seconds = |tokens: f64| {
            let longest = config.max_wait.as_secs_f64() * 2.0;
            Duration::from_secs_f64((tokens / rate_per_s).clamp(0.0, longest))
        };
        let at = self.promised_until.max(now + seconds(missing));
        let phase = super::phase(config.seed ^ self.refusals);
        if at > now + config.max_wait {
            return config.max_wait.mul_f64(0.5 + phase * 0.5);
        }
        self.promised_until = at + seconds(tokens);
        (at - now).mul_f64(1.0 + phase * 0.2).max(config.min_wait)
    }

    /// Takes back tokens of a request that did not run.
    pub(super) fn give_back(&mut self, tokens: f64, config: &QuotaConfig) {
        self.level += tokens;
        self.limit_level(config);
    }
}
