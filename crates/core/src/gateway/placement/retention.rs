//! What it is worth to compute a prompt where its beginning is cached.
//!
//! The owner of a service weighs, besides the predicted time of a prompt, what its choice costs
//! other prompts: parts that the engine evicts for it are computed again, and its work delays the
//! prompts that follow. Both are zero while engines are idle and their memory is not full. The
//! weights, the alternatives and the figures are in `docs/design/retention.md`.

use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

use super::Placer;
use super::cached::CacheChange;
use super::config::PlacementConfig;
use super::load::TargetState;
use super::prefill_cost::PrefillCost;
use super::request::{Placement, PlacementRequest};
use crate::gateway::catalog::{Stage, TargetKey};
use crate::gateway::settings::EngineLimits;

/// Initial share of an engine's memory that is expected to hold cached parts.
pub(super) const INITIAL_MEMORY_SHARE: f64 = 0.8;

/// Bounds of the share. Below them, an engine has no room to cache anything while it works, and
/// the share would only follow late answers.
const MEMORY_SHARE_BOUNDS: (f64, f64) = (0.3, 1.0);

/// Change of the share after each sample of answers. It is smaller than the cold end of the
/// cache, so that a share that is one step too large still finds most of the cold parts.
const MEMORY_SHARE_STEP: f64 = 0.05;

/// Number of answers to prompts that relied on cold parts from which one step is decided. The
/// speeds of engines differ by a factor of two or more, which averages out over so many.
const SAMPLE_ANSWERS: u32 = 24;

/// Share of the cold tokens that were computed again above which the share of the memory shrinks,
/// and below which it grows. A step beyond the real limit is noticed by about a fifth of the
/// prompts that rely on cold parts, so the range between the two is the resting point.
const LOST_RATIO_RANGE: (f64, f64) = (0.15, 0.3);

/// Factor on the weight of older answers and evictions when a new one arrives.
const DECAY: f64 = 0.995;

/// Maximum factor by which an answer counts as slower than predicted. A stalled engine says nothing
/// about its cache.
const MAX_RATIO: f64 = 4.0;

/// Number of evicted parts that are remembered to detect that they are computed again.
const EVICTED_PARTS: NonZeroUsize = NonZeroUsize::new(4096).expect("not zero");

/// Prompt tokens at the beginning of a prompt that an engine is expected to have cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CachedTokens {
    /// All of them.
    pub(super) all: u64,
    /// Those that the engine evicts next.
    pub(super) cold: u64,
}

/// How well cached parts of the engines of one service are retained.
#[derive(Debug)]
pub(super) struct Retention {
    /// Share of the memory that holds cached parts.
    memory_share: f64,
    /// Answers to prompts that did not rely on cold parts.
    warm: WorkTimes,
    /// Answers to prompts that did, since the last step.
    cold: WorkTimes,
    cold_answers: u32,
    /// Time that the cold parts of these would take to be computed, in milliseconds.
    cold_saving_ms: f64,
    evicted: LruCache<u64, ()>,
    evicted_tokens: f64,
    recomputed_tokens: f64,
}

/// Times for which prompts occupied their engines.
#[derive(Clone, Copy, Debug, Default)]
struct WorkTimes {
    took_ms: f64,
    expected_ms: f64,
}

impl WorkTimes {
    fn add(&mut self, decay: f64, took_ms: f64, expected_ms: f64) {
        self.took_ms = self.took_ms * decay + took_ms;
        self.expected_ms = self.expected_ms * decay + expected_ms;
    }
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            memory_share: INITIAL_MEMORY_SHARE,
            warm: WorkTimes::default(),
            cold: WorkTimes::default(),
            cold_answers: 0,
            cold_saving_ms: 0.0,
            evicted: LruCache::new(EVICTED_PARTS),
            evicted_tokens: 0.0,
            recomputed_tokens: 0.0,
        }
    }
}

impl Retention {
    /// Number of tokens that an engine with this memory is expected to have cached.
    pub(super) fn limit_tokens(&self, memory_tokens: u64) -> u64 {
        (memory_tokens as f64 * self.memory_share) as u64
    }

    /// Records what a prompt changes in the cache of its engine.
    pub(super) fn record_change(&mut self, change: &CacheChange) {
        for part in &change.evicted {
            self.evicted_tokens = self.evicted_tokens * DECAY + part.tokens as f64;
            self.recomputed_tokens *= DECAY;
            self.evicted.push(part.id, ());
        }
        for part in &change.computed {
            if self.evicted.pop(&part.id).is_some() {
                self.recomputed_tokens += part.tokens as f64;
            }
        }
    }

    /// Share of the evicted tokens that are computed again.
    fn recomputed_ratio(&self) -> f64 {
        let evicted = self.evicted_tokens.max(1.0);
        (self.recomputed_tokens / evicted).min(1.0)
    }

    /// Updates the share of the memory with a prompt that occupied its engine for `took_ms`.
    fn update(&mut self, cost: PrefillCost, uncached_tokens: u64, cold_tokens: u64, took_ms: f64) {
        let expected_ms = cost.work_ms(uncached_tokens);
        if expected_ms <= 0.0 {
            return;
        }
        let took_ms = took_ms.min(MAX_RATIO * cost.work_ms(uncached_tokens + cold_tokens));
        if cold_tokens == 0 {
            self.warm.add(DECAY, took_ms, expected_ms);
            return;
        }
        self.cold.add(1.0, took_ms, expected_ms);
        self.cold_saving_ms += cost.work_ms(cold_tokens);
        self.cold_answers += 1;
        if self.cold_answers < SAMPLE_ANSWERS || self.warm.expected_ms <= 0.0 {
            return;
        }
        // Prompts that rely on warm parts meet the same slow engines.
        let usual = self.warm.took_ms / self.warm.expected_ms;
        let excess_ms = self.cold.took_ms - usual * self.cold.expected_ms;
        let lost_ratio = excess_ms / (usual * self.cold_saving_ms).max(f64::EPSILON);
        self.step(lost_ratio);
        self.cold = WorkTimes::default();
        self.cold_answers = 0;
        self.cold_saving_ms = 0.0;
    }

    fn step(&mut self, lost_ratio: f64) {
        let (grow_below, shrink_above) = LOST_RATIO_RANGE;
        if lost_ratio > shrink_above {
            self.memory_share -= MEMORY_SHARE_STEP;
        } else if lost_ratio < grow_below {
            self.memory_share += MEMORY_SHARE_STEP;
        }
        let (least, most) = MEMORY_SHARE_BOUNDS;
        self.memory_share = self.memory_share.clamp(least, most);
    }
}

/// Retention in the services whose prompts a placer places.
#[derive(Debug, Default)]
pub(super) struct Retentions {
    services: HashMap<String, Retention>,
    /// When an engine last computed a prompt.
    computed_at: HashMap<TargetKey, Duration>,
}

impl Retentions {
    pub(super) fn of(&self, service: &str) -> Option<&Retention> {
        self.services.get(service)
    }

    pub(super) fn of_mut(&mut self, service: &str) -> &mut Retention {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Records a prompt that its engine has computed.
    pub(super) fn computed(&mut self, placed: &Placement, cost: PrefillCost, now: Duration) {
        let fixed = Duration::from_secs_f64(cost.fixed_ms.max(0.0) / 1000.0);
        let last = self.computed_at.entry(placed.key).or_default();
        let previous = std::mem::replace(last, now.max(*last));
        let ready_at = placed.placed_at.saturating_add(fixed);
        // An engine computes one prompt after the other.
        let began_at = previous.max(ready_at);
        let Some(took) = now.checked_sub(began_at) else {
            return;
        };
        // The time of a copy is not part of the work.
        if placed.copied_from.is_some() || placed.uncached_tokens == 0 {
            return;
        }
        let took_ms = took.as_secs_f64() * 1000.0;
        // Slow machines would otherwise look as if they had lost cached parts.
        let cost = PrefillCost {
            ms_per_1k: cost.ms_per_1k * placed.work_factor.unwrap_or(1.0),
            ..cost
        };
        let retention = self.of_mut(&placed.target.service);
        retention.update(cost, placed.uncached_tokens, placed.cold_tokens, took_ms);
    }

    /// Drops the engines that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(TargetKey) -> bool) {
        self.computed_at.retain(|key, _| exists(*key));
    }
}

/// Inputs that are common to all engines that could compute a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetentionWeights {
    /// Cost of evicting a thousand tokens, in milliseconds.
    eviction_ms_per_1k: f64,
    /// Delay of the prompts that follow, relative to the work of the prompt.
    delay_of_others: f64,
}

impl RetentionWeights {
    /// Cost to other prompts of computing a prompt at an engine, in milliseconds. `added_tokens`
    /// are the tokens that the engine has not cached, and `is_full` is whether it has to evict
    /// others for them.
    pub(super) fn cost_ms(self, added_tokens: u64, is_full: bool, own_ms: f64) -> f64 {
        let evicted_tokens = if is_full { added_tokens } else { 0 };
        let eviction_ms = self.eviction_ms_per_1k * evicted_tokens as f64 / 1000.0;
        eviction_ms + self.delay_of_others * own_ms
    }
}

impl Placer {
    /// Whether the cost to other prompts is weighed. Only an owner sees them, and engines whose
    /// memory is not stated evict at an unknown time.
    pub(super) fn weighs_retention(&self, request: &PlacementRequest<'_>) -> bool {
        self.config.places_all_requests
            && request.stage == Some(Stage::Prefill)
            && request.engine.memory_tokens > 0
    }

    /// Weights of the costs to other prompts at the present load.
    pub(super) fn retention_weights<'a>(
        &self,
        request: &PlacementRequest<'_>,
        states: impl Iterator<Item = Option<&'a TargetState>>,
    ) -> RetentionWeights {
        if !self.weighs_retention(request) {
            return RetentionWeights::default();
        }
        let PlacementConfig {
            eviction_weight,
            delay_weight_per_prompt,
            max_delay_weight,
            ..
        } = self.config;
        let retention = self.retentions.of(request.service);
        let ratio = retention.map_or(0.0, Retention::recomputed_ratio);
        let cost = self.prefill_cost(request.service);
        let counts = states.map(|state| state.map_or(0, |state| state.in_flight));
        let (engines, prompts) = counts.fold((0u32, 0.0), |(engines, prompts), count| {
            (engines + 1, prompts + f64::from(count))
        });
        let prompts_per_engine = prompts / f64::from(engines.max(1));
        RetentionWeights {
            eviction_ms_per_1k: eviction_weight * ratio * cost.ms_per_1k,
            delay_of_others: (delay_weight_per_prompt * prompts_per_engine).min(max_delay_weight),
        }
    }

    /// Number of tokens that an engine is expected to have cached at most.
    pub(super) fn cache_limit(&self, service: &str, engine: EngineLimits) -> u64 {
        let retention = self.retentions.of(service);
        match (retention, engine.memory_tokens) {
            (Some(retention), memory) if memory > 0 => retention.limit_tokens(memory),
            (_, memory) => super::cached::default_limit(memory),
        }
    }

    /// Records that an engine computes a prompt and caches its parts.
    pub(super) fn record_use(&mut self, placed: &Placement, request: &PlacementRequest<'_>) {
        let limit = self.cache_limit(request.service, request.engine);
        let mut change = self.cached.record_use(placed.key, request.parts, limit);
        if !self.weighs_retention(request) {
            return;
        }
        if placed.copied_from.is_some() {
            change.computed.clear();
        }
        self.retentions
            .of_mut(request.service)
            .record_change(&change);
    }
}
