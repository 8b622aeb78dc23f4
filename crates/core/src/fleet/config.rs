//! Configuration of the planner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::settings::document::PolicyDocument;
use crate::targets::EngineRates;

/// Drain time, which is added to the configured duration of a role change. Each vm moves four
/// streams per tick, so an engine with a full batch is drained in about 3 s.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Configuration of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannerConfig {
    /// Throughput model of the engines.
    pub rates: EngineRates,
    /// Latency objective for the interval between two tokens.
    pub token_interval: Duration,
    /// Average context of a running request in tokens.
    pub context_tokens: f64,
    /// Fraction of an engine's time that can be used without missing deadlines.
    pub usable_share: f64,
    /// Throughput of a mixed engine relative to one that does only prefill or only decode.
    pub mixed_efficiency: f64,
    /// Time within which the gain of a role change must exceed its cost.
    pub gain_horizon: Duration,
    /// Time for which an engine is unavailable during a role change, including its drain.
    pub change_cost: Duration,
    /// Factor by which the gain of a role change must exceed its cost.
    pub gain_factor: f64,
    /// Minimum time between two role changes of one target.
    pub change_interval: Duration,
    /// Maximum number of concurrent changes in one zone.
    pub changes_per_zone: u32,
    /// Maximum drain time before a role change is postponed.
    pub longest_drain: Duration,
    /// Interval between samples of demand.
    pub sample_interval: Duration,
    /// Maximum number of samples of demand.
    pub samples: usize,
    /// Age at which a sample has half its original weight.
    pub sample_half_life: Duration,
    /// Time for which demand must exceed capacity before a target is bought.
    pub buy_after: Duration,
    /// Time for which a target must be dispensable before it is released. Idleness is no criterion,
    /// because placement spreads work over all targets.
    pub release_after: Duration,
    /// Averaging window of the demand that is compared with capacity.
    pub capacity_window: Duration,
    /// Spare capacity to plan for in role changes, relative to demand.
    pub headroom: f64,
    /// Spare capacity to buy, relative to demand.
    pub bought_headroom: f64,
    /// Maximum share of the targets that may be reclaimable targets of one zone, and so lost at once.
    pub zone_loss_share: f64,
    /// Bandwidth of the weight store.
    pub weight_bytes_per_s: f64,
    /// Age after which digests are ignored. No order is given without a recent digest of each vm.
    pub digest_expiry: Duration,
}

impl PlannerConfig {
    /// Creates a configuration from the policy that operators set. Figures of the engines and the
    /// weight store keep their defaults.
    pub fn from_policy(policy: &PolicyDocument) -> Self {
        Self {
            gain_horizon: Duration::from_secs(policy.role_gain_horizon_s),
            change_cost: Duration::from_secs(policy.role_change_cost_s) + DRAIN_TIME,
            change_interval: Duration::from_secs(policy.role_change_interval_s),
            changes_per_zone: policy.role_changes_per_zone,
            release_after: Duration::from_secs(policy.release_after_idle_s),
            zone_loss_share: f64::from(policy.zone_loss_share_percent) / 100.0,
            ..Self::default()
        }
    }
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            rates: EngineRates::default(),
            token_interval: Duration::from_millis(56),
            context_tokens: 1500.0,
            usable_share: 0.85,
            mixed_efficiency: 0.7,
            gain_horizon: Duration::from_secs(120),
            change_cost: Duration::from_secs(8),
            gain_factor: 1.5,
            change_interval: Duration::from_secs(60),
            changes_per_zone: 1,
            longest_drain: Duration::from_secs(120),
            sample_interval: Duration::from_secs(5),
            samples: 24,
            sample_half_life: Duration::from_secs(20),
            buy_after: Duration::from_secs(20),
            release_after: Duration::from_secs(60),
            capacity_window: Duration::from_secs(30),
            headroom: 0.1,
            bought_headroom: 0.03,
            zone_loss_share: 0.34,
            weight_bytes_per_s: 1e9,
            digest_expiry: Duration::from_secs(1),
        }
    }
}
