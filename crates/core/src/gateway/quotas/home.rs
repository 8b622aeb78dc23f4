//! Grants of a vm as the home of a workspace, or as the deputy of a home.

use std::time::Duration;

use super::bucket::Bucket;
use super::types::MAX_TOKENS;
use super::{QuotaDemand, QuotaQuery, QuotaReply, Quotas, ReturnedQuota, WorkspaceQuota, owner_of};
use crate::VmId;

impl Quotas {
    /// Answers the query of another vm. `quota` is the quota of the workspace by the settings of
    /// this vm, which may differ from those of the other for seconds.
    pub fn answer(
        &mut self,
        from: VmId,
        query: &QuotaQuery,
        quota: Option<WorkspaceQuota>,
        now: Duration,
    ) -> QuotaReply {
        self.detect_pause(now);
        let workspace = &query.workspace;
        let is_valid = query.tokens.is_finite();
        let Some(quota) = quota.filter(|_| is_valid && !self.is_starting(now)) else {
            return QuotaReply::NotHome;
        };
        let demand = QuotaDemand {
            workspace,
            quota,
            tokens: query.tokens.clamp(0.0, MAX_TOKENS),
        };
        // The settings of the other vm may be older.
        if demand.tokens > quota.largest_request(&self.config) {
            return QuotaReply::Refused {
                retry_after: self.config.max_wait,
            };
        }
        let home = owner_of(workspace, &self.candidates);
        if home == Some(self.own) {
            return self.grant(from, demand, now);
        }
        if self.buckets.contains_key(workspace) {
            let is_claim = home.is_some() && query.silent_home == home;
            return self.grant_as_former_home(from, demand, is_claim, now);
        }
        let silent_home = query.silent_home;
        let deputy = silent_home.and_then(|home| self.deputy_of(workspace, home));
        match deputy == Some(self.own) {
            true => self.grant_as_deputy(from, demand, now),
            false => QuotaReply::NotHome,
        }
    }

    /// Whether this vm may not know enough other vms to be a home.
    pub(super) fn is_starting(&self, now: Duration) -> bool {
        now < self.started_at + self.config.start_time
    }

    /// Grants tokens as the home of the workspace.
    fn grant(&mut self, from: VmId, demand: QuotaDemand<'_>, now: Duration) -> QuotaReply {
        let config = self.config;
        let (reachable, all) = (self.reachable_vms as f64, self.all_vms as f64);
        let since = self.homes_since;
        let name = demand.workspace.to_owned();
        let bucket = self.buckets.entry(name);
        let bucket = bucket.or_insert_with(|| Bucket::new(demand.quota, &config, since));
        bucket.askers.record(from, now);
        // Vms that have fallen silent may use their shares.
        let granted = all - bucket.askers.missing(now) * config.share_ratio;
        let ratio = reachable.min(granted) / all;
        bucket.home_ratio = ratio;
        bucket.refill(demand.quota, ratio, &config, now);
        bucket.reply(demand.tokens, from != self.own, &config, now)
    }

    /// Grants tokens as the home before the present one. `is_claim` states that the present one
    /// does not answer the vm that asks: it has just started. Otherwise it grants already, and only
    /// what it leaves in its first seconds is granted here.
    fn grant_as_former_home(
        &mut self,
        from: VmId,
        demand: QuotaDemand<'_>,
        is_claim: bool,
        now: Duration,
    ) -> QuotaReply {
        let config = self.config;
        let Some(bucket) = self.buckets.get_mut(demand.workspace) else {
            return QuotaReply::NotHome;
        };
        if is_claim {
            bucket.claimed_at = Some(now);
        }
        let claimed_at = bucket.claimed_at;
        let is_needed = claimed_at.is_some_and(|at| now < at + config.former_home_time);
        let ratio = match is_needed {
            true => bucket.home_ratio,
            false => bucket.home_ratio * (1.0 - config.guard_ratio),
        };
        bucket.refill(demand.quota, ratio, &config, now);
        bucket.reply(demand.tokens, from != self.own, &config, now)
    }

    /// Grants the shares of the vms that do not reach the home.
    fn grant_as_deputy(
        &mut self,
        from: VmId,
        demand: QuotaDemand<'_>,
        now: Duration,
    ) -> QuotaReply {
        let config = self.config;
        let all = self.all_vms as f64;
        let pool = self.pools.entry(demand.workspace.to_owned());
        let pool = pool.or_insert_with(|| Bucket::unguarded(demand.quota, now));
        pool.askers.record(from, now);
        let claims = pool.askers.count(config.claim_time, now) as f64;
        let ratio = claims * config.share_ratio / all;
        pool.refill(demand.quota, ratio, &config, now);
        pool.reply(demand.tokens, false, &config, now)
    }

    /// Takes back tokens that this vm has granted as the home of a workspace.
    pub fn give_back(&mut self, returned: &ReturnedQuota) {
        let is_valid = (0.0..=MAX_TOKENS).contains(&returned.tokens);
        let bucket = match self.buckets.get_mut(&returned.workspace) {
            None => self.pools.get_mut(&returned.workspace),
            bucket => bucket,
        };
        if let Some(bucket) = bucket.filter(|_| is_valid) {
            bucket.give_back(returned.tokens, &self.config);
        }
    }
}
