//! Configuration of the scheduler.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lengths::LengthConfig;
use crate::settings::document::{PolicyDocument, TargetKind};
use crate::targets::EngineRates;
use crate::{RouteId, VmId, ZoneId};

/// Configuration of the scheduler of one route.
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
    /// Seed of the random number generator.
    pub seed: u64,
    /// Throughput model of the engines.
    pub rates: EngineRates,
    /// Configuration of the output length model.
    pub lengths: LengthConfig,
    /// Latency objective for the interval between two tokens.
    pub token_interval: Duration,
    /// Fraction of the interval objective up to which batches are filled. The remainder absorbs
    /// growing contexts and requests that peers dispatch at the same time.
    pub interval_margin: f64,
    /// Maximum predicted wait at a target. Requests that would wait longer stay in the vm's queue,
    /// where fairness and priorities apply.
    pub longest_target_wait: Duration,
    /// Fraction of the targets' capacity that a workspace far above its fair share may use. The
    /// remainder is reserved for other workspaces, whose requests may arrive at any vm.
    #[serde(rename = "over_share_room")]
    pub over_share_capacity: f64,
    /// Maximum number of queued requests per workspace.
    pub queue_limit: usize,
    /// Share of the engine time that is guaranteed to lower priorities while they have requests.
    pub low_priority_share: f64,
    /// Engine time per generated token in a full batch.
    pub output_token_cost: Duration,
    /// The target is chosen at random among those whose cost is at most this multiple of the
    /// lowest cost.
    pub near_best: f64,
    /// Weight of targets in the vm's own zone in the random choice; other targets have weight 1.
    pub own_zone_weight: f64,
    /// Maximum number of concurrent requests at one plain service.
    pub service_concurrency: u32,
    /// Whether other routes use the same targets. Their work is visible in load reports only.
    pub shared_targets: bool,
    /// Whether a request may be split between a prefill and a decode engine. If disabled, roles are
    /// ignored and every engine does both.
    pub split_prefill: bool,
    /// Interval between digests sent to the peers.
    pub digest_interval: Duration,
    /// Number of decisions kept for `explain`.
    pub explained_decisions: usize,
}

impl SchedulerConfig {
    /// Creates a configuration from the fleet-wide policy that operators set.
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
