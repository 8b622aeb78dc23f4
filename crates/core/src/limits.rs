//! Workspace limits, divided among the vms in proportion to demand.
//!
//! A vm's share of a limit follows its fraction of the total demand. Shares lag behind demand by
//! one gossip interval, so a limit is exceeded by at most the growth of demand in that interval.

mod config;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

pub use config::LimitConfig;

use crate::settings::document::LimitsDocument;
use crate::{Machine, VmId, WorkspaceId};

/// Usage of one workspace at one vm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Arriving requests per second, including refused ones.
    pub demand_per_s: f64,
    /// Running requests.
    pub running: u64,
    /// Cost of today's usage.
    pub spent_microcents: u64,
}

/// Usage of several workspaces at one vm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitDigest {
    /// Usage per workspace.
    pub workspaces: Vec<(WorkspaceId, WorkspaceUsage)>,
}

/// Inputs of the limiter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LimitEvent {
    /// A digest from another vm arrived.
    Peer {
        /// The sender.
        from: VmId,
        /// The digest.
        digest: LimitDigest,
    },
    /// The number of live vms, including this one.
    Vms(u32),
    /// A new day begins. Spending is reset to zero.
    NewDay,
    /// Periodic timer.
    Tick,
}

/// Outputs of the limiter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitCommand {
    /// Send a digest to all other vms.
    Gossip(LimitDigest),
}

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum LimitKind {
    /// Requests per second.
    Requests,
    /// Tokens per minute.
    Tokens,
    /// Concurrent requests.
    Concurrency,
    /// Cost per day.
    Budget,
}

/// Refusal of a request because of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The exceeded limit.
    pub kind: LimitKind,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

#[derive(Debug, Default)]
struct Account {
    requests: f64,
    tokens: f64,
    refilled_at: Duration,
    share: f64,
    arrivals: f64,
    own: WorkspaceUsage,
    /// Usage in the last digest that named the workspace.
    last_sent: WorkspaceUsage,
    peers: BTreeMap<VmId, (WorkspaceUsage, Duration)>,
}

/// Enforces this vm's share of the limits of all workspaces.
#[derive(Debug)]
pub struct Limiter {
    config: LimitConfig,
    vms: u32,
    accounts: BTreeMap<WorkspaceId, Account>,
    last_tick: Duration,
    last_gossip: Option<Duration>,
    /// Idle workspace that was repeated last. The next digest continues after it.
    last_repeated: WorkspaceId,
}

impl Limiter {
    /// Creates a limiter for a fleet of one vm.
    pub fn new(config: LimitConfig) -> Self {
        Self {
            config,
            vms: 1,
            accounts: BTreeMap::new(),
            last_tick: Duration::ZERO,
            last_gossip: None,
            last_repeated: WorkspaceId::default(),
        }
    }

    /// Admits or refuses a request. Each admitted request must be ended by [`finish`].
    ///
    /// [`finish`]: Self::finish
    pub fn admit(
        &mut self,
        workspace: WorkspaceId,
        limits: &LimitsDocument,
        now: Duration,
    ) -> Result<(), LimitRefusal> {
        let vms = self.vms;
        let config = self.config;
        let account = self.accounts.entry(workspace).or_insert_with(|| Account {
            share: 1.0 / f64::from(vms.max(1)),
            requests: limits.requests_per_s as f64 * config.burst.as_secs_f64() / f64::from(vms),
            tokens: limits.tokens_per_min as f64 / f64::from(vms),
            refilled_at: now,
            ..Account::default()
        });
        account.arrivals += 1.0;
        account.refill(limits, &config, now);
        account.check(limits, &config, vms, now)?;
        account.requests -= 1.0;
        account.own.running += 1;
        Ok(())
    }

    /// Counts a further attempt of an admitted request, which is not checked again.
    pub fn admit_retry(&mut self, workspace: WorkspaceId) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.own.running += 1;
        }
    }

    /// Ends an attempt and charges its tokens and cost.
    pub fn finish(&mut self, workspace: WorkspaceId, tokens: u64, cost_microcents: u64) {
        let Some(account) = self.accounts.get_mut(&workspace) else {
            return;
        };
        account.own.running = account.own.running.saturating_sub(1);
        account.own.spent_microcents += cost_microcents;
        account.tokens -= tokens as f64;
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<LimitCommand>) {
        let elapsed = now.saturating_sub(self.last_tick).as_secs_f64();
        self.last_tick = now;
        let weight = (elapsed / self.config.demand_window.as_secs_f64()).min(1.0);
        for account in self.accounts.values_mut() {
            let rate = account.arrivals / elapsed.max(1e-3);
            account.arrivals = 0.0;
            account.own.demand_per_s += weight * (rate - account.own.demand_per_s);
            // The average only approaches zero, and would keep every workspace in the digests.
            if rate <= 0.0 && account.own.demand_per_s < self.config.least_demand_per_s {
                account.own.demand_per_s = 0.0;
            }
            account.share = account.compute_share(self.vms, &self.config, now);
        }
        let interval = self.config.interval(self.vms);
        let due = self
            .last_gossip
            .is_none_or(|at| now.saturating_sub(at) >= interval);
        if !due || self.accounts.is_empty() {
            return;
        }
        self.last_gossip = Some(now);
        let workspaces = self.digest();
        out.push(LimitCommand::Gossip(LimitDigest { workspaces }));
    }

    /// Returns the changed and active workspaces, and some of the idle ones in rotation. From the
    /// idle ones, a restarted vm learns what was spent today.
    fn digest(&mut self) -> Vec<(WorkspaceId, WorkspaceUsage)> {
        let after = self.last_repeated;
        let idle = self
            .accounts
            .iter()
            .filter(|(_, a)| !a.must_be_sent() && a.own != WorkspaceUsage::default());
        let (mut later, earlier): (Vec<_>, Vec<_>) =
            idle.map(|(id, _)| *id).partition(|id| *id > after);
        later.extend(earlier);
        later.truncate(self.config.repeated_entries);
        self.last_repeated = later.last().copied().unwrap_or(after);
        for id in later {
            if let Some(account) = self.accounts.get_mut(&id) {
                account.last_sent = WorkspaceUsage::default();
            }
        }
        let changed = self.accounts.iter_mut().filter(|(_, a)| a.must_be_sent());
        changed
            .map(|(id, account)| {
                account.last_sent = account.own;
                (*id, account.own)
            })
            .collect()
    }
}

impl Machine for Limiter {
    type Event = LimitEvent;
    type Command = LimitCommand;

    fn step(&mut self, event: LimitEvent, now: Duration, out: &mut Vec<LimitCommand>) {
        match event {
            LimitEvent::Peer { from, digest } => {
                for (workspace, usage) in digest.workspaces {
                    let vms = self.vms;
                    let account = self.accounts.entry(workspace).or_insert_with(|| Account {
                        share: 1.0 / f64::from(vms),
                        ..Account::default()
                    });
                    account.peers.insert(from, (usage, now));
                }
            }
            LimitEvent::Vms(vms) => self.vms = vms.max(1),
            LimitEvent::NewDay => {
                for account in self.accounts.values_mut() {
                    account.own.spent_microcents = 0;
                    account
                        .peers
                        .values_mut()
                        .for_each(|(usage, _)| usage.spent_microcents = 0);
                }
            }
            LimitEvent::Tick => self.tick(now, out),
        }
    }
}

impl Account {
    /// Whether the next digest must name the workspace. Receivers expire the demand and running
    /// requests of workspaces that are not named again.
    fn must_be_sent(&self) -> bool {
        self.own != self.last_sent || self.own.running > 0 || self.own.demand_per_s > 0.0
    }

    fn refill(&mut self, limits: &LimitsDocument, config: &LimitConfig, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let rate = limits.requests_per_s as f64 * self.share;
        let burst = (rate * config.burst.as_secs_f64()).max(1.0);
        self.requests = (self.requests + rate * elapsed).min(burst);
        let tokens = limits.tokens_per_min as f64 * self.share;
        self.tokens = (self.tokens + tokens * elapsed / 60.0).min(tokens);
    }

    fn check(
        &self,
        limits: &LimitsDocument,
        config: &LimitConfig,
        vms: u32,
        now: Duration,
    ) -> Result<(), LimitRefusal> {
        let refuse = |kind, seconds: f64| {
            let seconds = seconds.clamp(0.1, 86_400.0);
            Err(LimitRefusal {
                kind,
                retry_after: Duration::from_secs_f64(seconds),
            })
        };
        if limits.requests_per_s > 0 && self.requests < 1.0 {
            let rate = limits.requests_per_s as f64 * self.share;
            return refuse(LimitKind::Requests, (1.0 - self.requests) / rate.max(1e-3));
        }
        if limits.tokens_per_min > 0 && self.tokens <= 0.0 {
            let rate = limits.tokens_per_min as f64 * self.share / 60.0;
            return refuse(LimitKind::Tokens, -self.tokens / rate.max(1e-3));
        }
        let peers = self.peer_usage(config, vms, now);
        if limits.concurrent_requests > 0
            && self.own.running + peers.running >= limits.concurrent_requests
        {
            return refuse(LimitKind::Concurrency, 1.0);
        }
        // What a failed vm has spent still counts, so expired digests are included.
        let elsewhere: u64 = self
            .peers
            .values()
            .map(|(usage, _)| usage.spent_microcents)
            .sum();
        let budget_microcents = limits.budget_cents_per_day.saturating_mul(1_000_000);
        if budget_microcents > 0 && self.own.spent_microcents + elsewhere >= budget_microcents {
            return refuse(LimitKind::Budget, 3600.0);
        }
        Ok(())
    }

    /// Sums demand and running requests of the other vms, as far as their digests have not expired.
    fn peer_usage(&self, config: &LimitConfig, vms: u32, now: Duration) -> WorkspaceUsage {
        let expiry = config.expiry(vms);
        let mut sum = WorkspaceUsage::default();
        for (usage, received_at) in self.peers.values() {
            if now.saturating_sub(*received_at) < expiry {
                sum.demand_per_s += usage.demand_per_s;
                sum.running += usage.running;
            }
        }
        sum
    }

    /// Computes the vm's share from an equal part and a part by demand. The shares of all vms add up
    /// to one.
    fn compute_share(&self, vms: u32, config: &LimitConfig, now: Duration) -> f64 {
        let equal = 1.0 / f64::from(vms);
        let total = self.own.demand_per_s + self.peer_usage(config, vms, now).demand_per_s;
        if total <= 0.0 {
            return equal;
        }
        let by_demand = self.own.demand_per_s / total;
        config.idle_share * equal + (1.0 - config.idle_share) * by_demand
    }
}
