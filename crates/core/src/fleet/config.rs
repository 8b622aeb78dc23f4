//! Settings of the planner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::settings::document::PolicyDocument;
use crate::targets::EngineRates;

/// Drain that is added to the time that settings give for a role change. Vms move four streams a
/// tick each, so that an engine with a full batch is empty in about 3 s.
const DRAIN: Duration = Duration::from_secs(3);

/// Settings of the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannerConfig {
    /// Speed of the engines.
    pub rates: EngineRates,
    /// Aim between two tokens.
    pub token_interval: Duration,
    /// Average context of a running request.
    pub context_tokens: f64,
    /// Part of an engine's time that can be used without missing deadlines.
    pub usable_share: f64,
    /// Work of a mixed engine relative to one that does only prefill or decode.
    pub mixed_efficiency: f64,
    /// Horizon over which a role change must pay.
    pub gain_horizon: Duration,
    /// Time that an engine is away during a role change, its drain included.
    pub change_cost: Duration,
    /// Factor by which the gain of a role change must exceed its cost.
    pub gain_factor: f64,
    /// Least time between two role changes of one target.
    pub change_interval: Duration,
    /// Most changes at a time in one zone.
    pub changes_per_zone: u32,
    /// Longest drain before a planned change is postponed.
    pub longest_drain: Duration,
    /// Time between two samples of demand.
    pub sample_interval: Duration,
    /// Samples of demand that are kept.
    pub samples: usize,
    /// Time after which a sample counts half.
    pub sample_half_life: Duration,
    /// Time for which demand must exceed capacity before capacity is bought.
    pub buy_after: Duration,
    /// Time for which a target must not be needed before it is released. Placement spreads work,
    /// so a target that is not needed is still never idle.
    pub release_after: Duration,
    /// Time over which demand is averaged before it is compared with capacity.
    pub capacity_window: Duration,
    /// Spare capacity for which roles are planned, relative to demand.
    pub headroom: f64,
    /// Spare capacity that is bought, relative to demand.
    pub bought_headroom: f64,
    /// Largest share of targets that may be lost with the cheap classes of one zone.
    pub zone_loss_share: f64,
    /// Rate of the weight store.
    pub weight_bytes_per_s: f64,
    /// Digests older than this are not counted, and no order is given without a fresh one.
    pub digest_expiry: Duration,
}

impl PlannerConfig {
    /// Takes over what operators decide. Figures of engines and of the weight store stay at their
    /// defaults.
    pub fn from_policy(policy: &PolicyDocument) -> Self {
        Self {
            gain_horizon: Duration::from_secs(policy.role_gain_horizon_s),
            change_cost: Duration::from_secs(policy.role_change_cost_s) + DRAIN,
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
