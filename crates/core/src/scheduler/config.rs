//! Settings of the scheduler of one route.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lengths::LengthConfig;
use crate::settings::document::{PolicyDocument, TargetKind};
use crate::targets::EngineRates;
use crate::{RouteId, VmId, ZoneId};

/// Settings of the scheduler of one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerConfig {
    /// Route of the scheduler.
    pub route: RouteId,
    /// This vm.
    pub vm: VmId,
    /// Zone of this vm.
    pub zone: ZoneId,
    /// Kind of the route's targets.
    pub kind: TargetKind,
    /// Seed of the random choices.
    pub seed: u64,
    /// Speed of the engines.
    pub rates: EngineRates,
    /// Output length learning.
    pub lengths: LengthConfig,
    /// Aim between two tokens.
    pub token_interval: Duration,
    /// Part of the aim up to which batches are filled. The rest absorbs growing contexts and work
    /// that peers place at the same time.
    pub interval_margin: f64,
    /// Longest predicted wait at a target. Longer waits are spent in the vm's queue, where
    /// fairness and priorities apply.
    pub longest_target_wait: Duration,
    /// Part of the room at targets that a workspace far over its share may use. The rest stays free
    /// for others, whose requests may arrive at any vm.
    #[serde(rename = "over_share_room")]
    pub over_share_capacity: f64,
    /// Requests that one workspace may have in the queue.
    pub queue_limit: usize,
    /// Share of service that is guaranteed to lower priorities while they have work.
    pub low_priority_share: f64,
    /// Engine time that one generated token costs in a full batch.
    pub output_token_cost: Duration,
    /// Targets whose cost is within this factor of the best are chosen among at random.
    pub near_best: f64,
    /// Weight of a target in the vm's own zone, relative to others.
    pub own_zone_weight: f64,
    /// Requests at the same time at one plain service.
    pub service_concurrency: u32,
    /// Whether other routes use the same targets. Their work is only known from load reports.
    pub shared_targets: bool,
    /// Whether prompts may run on a prefill engine and decode on another. Without it, roles are
    /// ignored and every engine does both.
    pub split_prefill: bool,
    /// Time between two digests for peers.
    pub digest_interval: Duration,
    /// Decisions that are kept for `explain`.
    pub explained_decisions: usize,
}

impl SchedulerConfig {
    /// Takes over what operators decide for the whole fleet.
    pub fn from_policy(policy: &PolicyDocument) -> Self {
        Self {
            low_priority_share: f64::from(policy.low_priority_share_percent) / 100.0,
            ..Self::default()
        }
    }
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            route: RouteId(0),
            vm: VmId(0),
            zone: ZoneId(0),
            kind: TargetKind::Engine,
            seed: 1,
            rates: EngineRates::default(),
            lengths: LengthConfig::default(),
            token_interval: Duration::from_millis(56),
            interval_margin: 0.92,
            longest_target_wait: Duration::from_millis(400),
            over_share_capacity: 0.7,
            queue_limit: 256,
            low_priority_share: 0.05,
            output_token_cost: Duration::from_micros(1000),
            near_best: 1.1,
            own_zone_weight: 3.0,
            service_concurrency: 64,
            shared_targets: false,
            split_prefill: true,
            digest_interval: Duration::from_millis(100),
            explained_decisions: 512,
        }
    }
}
