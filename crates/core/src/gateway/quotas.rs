//! Quotas of workspaces, which apply across all vms together.
//!
//! Each workspace has a home among the reachable vms, which keeps its token bucket. The other vms
//! ask it for the tokens of each request. While the bucket is well filled, the home grants some more
//! as a lease, so that a workspace far below its quota causes few messages. A vm whose home does not
//! answer spends a small share of the quota. See `docs/design/quotas.md` for the figures.
//!
//! All times are of the monotonic clock of the vm that computes with them. No message contains a
//! point in time.

mod askers;
mod bucket;
mod config;
mod holder;
mod home;
mod silence;
mod types;

use std::collections::HashMap;
use std::time::Duration;

pub use config::QuotaConfig;
pub use types::{
    QuotaCharge, QuotaDemand, QuotaQuery, QuotaRefusal, QuotaReply, QuotaResult, QuotaSource,
    QuotaStep, QuotaUnit, ReturnedQuota, WorkspaceQuota,
};

use self::bucket::Bucket;
use self::holder::Holder;
use self::silence::SilentHomes;
use self::types::MAX_TOKENS;
use super::prompt_owner::owner_of;
use crate::VmId;
use crate::authority::mix;

/// Quotas of workspaces at one vm, both as the home of some and as a holder.
#[derive(Debug)]
pub struct Quotas {
    config: QuotaConfig,
    own: VmId,
    /// When this process started, or was last paused.
    started_at: Duration,
    /// Vms that may be homes.
    candidates: Vec<VmId>,
    /// When this vm last saw the candidates change, or was paused. It has been the home of a
    /// workspace for at least the time since then.
    homes_since: Duration,
    ticked_at: Duration,
    reachable_vms: usize,
    /// Number of all vms, including those that disappeared recently.
    all_vms: usize,
    all_vms_at: Duration,
    buckets: HashMap<String, Bucket>,
    /// Shares of vms that do not reach the home, which this vm grants as its deputy.
    pools: HashMap<String, Bucket>,
    holders: HashMap<String, Holder>,
    silent: SilentHomes,
    phases: u64,
}

impl Quotas {
    /// Creates the quotas of a vm whose process started at `now`.
    pub fn new(config: QuotaConfig, own: VmId, now: Duration) -> Self {
        Self {
            config,
            own,
            started_at: now,
            candidates: Vec::new(),
            homes_since: now,
            ticked_at: now,
            reachable_vms: 1,
            all_vms: 1,
            all_vms_at: now,
            buckets: HashMap::new(),
            pools: HashMap::new(),
            holders: HashMap::new(),
            silent: SilentHomes::default(),
            phases: 0,
        }
    }

    /// Records the vms that may be homes, and the numbers of reachable and of all vms, each
    /// including this one. Must be called several times within [`QuotaConfig::pause_limit`].
    pub fn tick(&mut self, candidates: Vec<VmId>, reachable: usize, all: usize, now: Duration) {
        self.detect_pause(now);
        self.ticked_at = now;
        self.reachable_vms = reachable.max(1);
        let all = all.max(self.reachable_vms);
        if all >= self.all_vms || now >= self.all_vms_at + self.config.size_memory {
            self.all_vms = all;
            self.all_vms_at = now;
        }
        if candidates != self.candidates {
            self.candidates = candidates;
            self.homes_since = now;
        }
        self.drop_unused(now);
    }

    fn drop_unused(&mut self, now: Duration) {
        let config = self.config;
        let (own, candidates) = (self.own, &self.candidates);
        let idle_since = now.saturating_sub(config.idle_time);
        self.buckets.retain(|workspace, bucket| {
            if owner_of(workspace, candidates) == Some(own) {
                (bucket.lost_at, bucket.claimed_at) = (None, None);
                return bucket.last_used() >= idle_since;
            }
            // The new home may have just started, and does not grant yet.
            let lost_at = *bucket.lost_at.get_or_insert(now);
            let until = lost_at + config.start_time;
            now < until && now < bucket.last_used() + config.lease_time
        });
        self.pools
            .retain(|_, pool| now < pool.last_used() + config.claim_time);
        self.silent.retain(candidates);
        self.holders
            .retain(|_, holder| holder.last_used() >= idle_since);
    }

    /// Discards all buckets if this vm was paused. Another vm may have granted meanwhile.
    fn detect_pause(&mut self, now: Duration) {
        if now > self.ticked_at + self.config.pause_limit {
            self.buckets.clear();
            self.pools.clear();
            self.homes_since = now;
            self.started_at = now;
            self.ticked_at = now;
        }
    }

    /// Spends the tokens of a request, or names the home to ask for them.
    pub fn request(&mut self, demand: QuotaDemand<'_>, now: Duration) -> QuotaStep {
        self.detect_pause(now);
        if demand.tokens > demand.quota.largest_request(&self.config) {
            return QuotaStep::Done(Err(QuotaRefusal {
                retry_after: self.config.max_wait,
                is_share: false,
            }));
        }
        let holder = self.holder(demand.workspace, now);
        if let Some(home) = holder.spend_lease(demand.quota, demand.tokens, now) {
            return QuotaStep::Done(Ok(demand.charge(QuotaSource::Lease(home), now)));
        }
        let Some((asked, silent_home)) = self.choose(demand.workspace, now) else {
            return QuotaStep::Done(self.spend_share(demand, now));
        };
        let query = QuotaQuery {
            workspace: demand.workspace.to_owned(),
            tokens: demand.tokens,
            silent_home,
        };
        if asked != self.own {
            return QuotaStep::Ask(asked, query);
        }
        let reply = self.answer(asked, &query, Some(demand.quota), now);
        QuotaStep::Done(self.apply(demand, asked, reply, now, now))
    }

    /// The vm to ask, which is the home or else its deputy, and the home that is left out.
    fn choose(&self, workspace: &str, now: Duration) -> Option<(VmId, Option<VmId>)> {
        let may_ask = |vm| match vm == self.own {
            true => !self.is_starting(now),
            false => self.silent.may_ask(vm, now),
        };
        let home = owner_of(workspace, &self.candidates)?;
        if may_ask(home) {
            return Some((home, None));
        }
        let deputy = self.deputy_of(workspace, home)?;
        may_ask(deputy).then_some((deputy, Some(home)))
    }

    /// Home of a workspace if another vm did not exist.
    fn deputy_of(&self, workspace: &str, home: VmId) -> Option<VmId> {
        let others = self.candidates.iter().copied().filter(|vm| *vm != home);
        owner_of(workspace, &others.collect::<Vec<_>>())
    }

    /// Applies the reply of a home that was asked at `asked_at`. `None` means that it did not reply
    /// in time.
    pub fn replied(
        &mut self,
        demand: QuotaDemand<'_>,
        home: VmId,
        reply: Option<QuotaReply>,
        asked_at: Duration,
        now: Duration,
    ) -> QuotaResult {
        match reply {
            None | Some(QuotaReply::NotHome) => self.silent.record_silence(home, now),
            Some(_) => self.silent.record_answer(home),
        }
        let reply = reply.unwrap_or(QuotaReply::NotHome);
        self.apply(demand, home, reply, asked_at, now)
    }

    fn apply(
        &mut self,
        demand: QuotaDemand<'_>,
        home: VmId,
        reply: QuotaReply,
        asked_at: Duration,
        now: Duration,
    ) -> QuotaResult {
        let lease_time = self.config.lease_time;
        match reply {
            QuotaReply::Granted { extra, extra_for } => {
                let holder = self.holder(demand.workspace, now);
                holder.end_share();
                if (1.0..=MAX_TOKENS).contains(&extra) {
                    let expires_at = asked_at + extra_for.min(lease_time);
                    holder.store_lease(home, demand.quota, extra, expires_at);
                }
                Ok(demand.charge(QuotaSource::Home(home), now))
            }
            QuotaReply::Refused { retry_after } => {
                self.holder(demand.workspace, now).end_share();
                Err(QuotaRefusal {
                    retry_after: retry_after.min(self.config.max_wait * 2),
                    is_share: false,
                })
            }
            QuotaReply::NotHome => {
                let retry_after = self.next_try();
                let result = self.spend_share(demand, now);
                result.map_err(|refusal| QuotaRefusal {
                    retry_after,
                    ..refusal
                })
            }
        }
    }

    /// Time after which a caller may return whose request got no tokens because of a silent home.
    /// Its next request is sent to another vm.
    fn next_try(&mut self) -> Duration {
        self.phases += 1;
        let phase = phase(self.config.seed ^ self.phases);
        self.config.next_try.mul_f64(0.5 + phase)
    }

    /// A query without tokens to the home of a workspace that did not answer, if one is due. Its
    /// reply is passed to [`Quotas::probed`], and no request waits for it.
    pub fn take_probe(&mut self, workspace: &str, now: Duration) -> Option<(VmId, QuotaQuery)> {
        let home = owner_of(workspace, &self.candidates)?;
        let is_due = home != self.own && self.silent.take_probe(home, now);
        let query = QuotaQuery {
            workspace: workspace.to_owned(),
            tokens: 0.0,
            silent_home: None,
        };
        is_due.then_some((home, query))
    }

    /// Records the reply to a probe.
    pub fn probed(&mut self, home: VmId, reply: Option<QuotaReply>) {
        if reply.is_some_and(|reply| reply != QuotaReply::NotHome) {
            self.silent.record_answer(home);
        }
    }

    fn spend_share(&mut self, demand: QuotaDemand<'_>, now: Duration) -> QuotaResult {
        let config = self.config;
        self.phases += 1;
        let phase = phase(config.seed ^ self.phases);
        let least_vms = match self.is_starting(now) {
            true => config.start_vms,
            false => 1,
        };
        let vms = self.all_vms.max(least_vms);
        let QuotaDemand { quota, tokens, .. } = demand;
        let holder = self.holder(demand.workspace, now);
        match holder.spend_share(quota, tokens, vms, phase, &config, now) {
            Ok(()) => Ok(demand.charge(QuotaSource::Share, now)),
            Err(wait) => Err(QuotaRefusal {
                retry_after: wait.mul_f64(1.0 + phase * 0.2),
                is_share: true,
            }),
        }
    }

    /// Gives back the tokens of a request that no target ran. Returns a message to a home, unless
    /// they stay at this vm.
    pub fn refund(&mut self, charge: QuotaCharge, now: Duration) -> Option<(VmId, ReturnedQuota)> {
        if now > charge.charged_at + self.config.refund_time {
            return None;
        }
        let own = self.own;
        let holder = self.holder(&charge.workspace, now);
        let home = match charge.source {
            QuotaSource::Share => {
                holder.return_to_share(charge.tokens);
                return None;
            }
            // The home does not count tokens that were not leased as part of the lease.
            QuotaSource::Home(home) => home,
            QuotaSource::Lease(home) => {
                if holder.return_to_lease(home, charge.tokens, now) {
                    return None;
                }
                home
            }
        };
        let returned = ReturnedQuota {
            workspace: charge.workspace,
            tokens: charge.tokens,
        };
        if home == own {
            self.give_back(&returned);
            return None;
        }
        Some((home, returned))
    }

    fn holder(&mut self, workspace: &str, now: Duration) -> &mut Holder {
        let holder = self.holders.entry(workspace.to_owned());
        holder.or_insert_with(|| Holder::new(now))
    }
}

/// Number from 0 to 1 that is derived from a seed.
fn phase(seed: u64) -> f64 {
    mix(seed) as f64 / u64::MAX as f64
}
