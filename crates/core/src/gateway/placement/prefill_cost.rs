//! Estimate of the time that the engines of a service take to compute prompts, based on their
//! answers.
//!
//! The time to compute a prompt consists of a fixed time, which overlaps with the work of other
//! prompts, and a time per token, which does not. Both differ by two orders of magnitude between
//! engines, so neither is configured. The load that requires this is described in
//! `docs/DECISIONS.md`, section 3.

use serde::{Deserialize, Serialize};

/// Factor on the weight of older answers when a new one arrives. At the load at which the estimate
/// matters, two hundred answers arrive within seconds and average out the speeds of single engines.
const DECAY_PER_ANSWER: f64 = 0.995;

/// Weight of the initial values, in answers.
const PRIOR_WEIGHT: f64 = 2.0;

/// Number of answers from which an estimate is used. With fewer, a single late answer to a short
/// prompt makes long prompts look cheap.
const MIN_RELIABLE_ANSWERS: u32 = 20;

/// Minimum time per thousand tokens, relative to the fixed time. No engine is faster than that; a
/// fit with a smaller slope is distorted by late answers.
const MIN_SLOPE_RATIO: f64 = 0.02;

/// Weight of an estimate adopted from another vm, in answers.
const ADOPTED_WEIGHT: f64 = 20.0;

/// Initial fixed time, in milliseconds. It is one step of a fast engine, so that a fleet without
/// any answers does not refuse work.
const PRIOR_FIXED_MS: f64 = 10.0;

/// Initial time per thousand tokens, in milliseconds. A fast engine needs 2 and a slow one 50.
const PRIOR_MS_PER_1K: f64 = 8.0;

/// Prompt length of the second data point that represents the initial values, in thousand tokens.
const PRIOR_SPREAD_1K: f64 = 2.0;

/// Answers that deviate from the prediction by more than this multiple of the mean deviation get a
/// lower weight. Otherwise a few answers of a failing engine would outweigh all others.
const MAX_DEVIATIONS: f64 = 3.0;

/// Weight of a new deviation in the mean deviation.
const DEVIATION_SMOOTHING: f64 = 0.05;

/// Estimated time that the engines of a service take to compute a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PrefillCost {
    /// Fixed time per prompt, in milliseconds.
    pub fixed_ms: f64,
    /// Time per thousand tokens, in milliseconds.
    pub ms_per_1k: f64,
    /// Number of answers on which the estimate is based.
    pub answers: u32,
}

impl Default for PrefillCost {
    fn default() -> Self {
        Self {
            fixed_ms: PRIOR_FIXED_MS,
            ms_per_1k: PRIOR_MS_PER_1K,
            answers: 0,
        }
    }
}

impl PrefillCost {
    /// Whether the estimate is based on enough answers to replace the initial values.
    pub fn is_reliable(&self) -> bool {
        self.answers >= MIN_RELIABLE_ANSWERS
    }

    /// Time for which a prompt occupies an engine of average speed, in milliseconds.
    pub fn work_ms(&self, tokens: u64) -> f64 {
        self.ms_per_1k * tokens as f64 / 1000.0
    }
}

/// Estimates a [`PrefillCost`] by weighted least squares with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillCostEstimator {
    weight: f64,
    tokens: f64,
    tokens_squared: f64,
    time: f64,
    tokens_time: f64,
    /// Mean absolute deviation from the prediction, in milliseconds.
    deviation_ms: f64,
    prefill_cost: PrefillCost,
}

impl Default for PrefillCostEstimator {
    fn default() -> Self {
        Self::from_prior(PrefillCost::default(), PRIOR_WEIGHT)
    }
}

impl PrefillCostEstimator {
    /// Starts with an estimate that has the weight of the given number of answers.
    fn from_prior(prefill_cost: PrefillCost, answers: f64) -> Self {
        let mut learner = Self {
            weight: 0.0,
            tokens: 0.0,
            tokens_squared: 0.0,
            time: 0.0,
            tokens_time: 0.0,
            deviation_ms: prefill_cost.fixed_ms,
            prefill_cost,
        };
        for tokens_1k in [0.0, PRIOR_SPREAD_1K] {
            let took_ms = prefill_cost.fixed_ms + prefill_cost.ms_per_1k * tokens_1k;
            learner.add(answers / 2.0, tokens_1k, took_ms);
        }
        learner
    }

    pub(super) fn prefill_cost(&self) -> PrefillCost {
        self.prefill_cost
    }

    /// Replaces the estimate by that of another vm.
    pub(super) fn adopt(&mut self, prefill_cost: PrefillCost) {
        *self = Self::from_prior(prefill_cost, ADOPTED_WEIGHT);
    }

    /// Updates the estimate with the time of a prompt that did not wait for others.
    pub(super) fn update(&mut self, tokens: u64, took_ms: f64) {
        let tokens_1k = tokens as f64 / 1000.0;
        let expected_ms = self.prefill_cost.fixed_ms + self.prefill_cost.ms_per_1k * tokens_1k;
        let deviation_ms = (took_ms - expected_ms).abs();
        let clipped_ms = MAX_DEVIATIONS * self.deviation_ms.max(1.0);
        let weight = (clipped_ms / deviation_ms.max(1e-9)).min(1.0);
        // Large deviations enter the mean as well, or wrong initial values would never be
        // corrected.
        self.deviation_ms += DEVIATION_SMOOTHING * (deviation_ms - self.deviation_ms);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.tokens_squared,
            &mut self.time,
            &mut self.tokens_time,
        ] {
            *sum *= DECAY_PER_ANSWER;
        }
        self.add(weight, tokens_1k, took_ms);
        self.prefill_cost.answers = self.prefill_cost.answers.saturating_add(1);
        self.solve();
    }

    fn add(&mut self, weight: f64, tokens_1k: f64, took_ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens_1k;
        self.tokens_squared += weight * tokens_1k * tokens_1k;
        self.time += weight * took_ms;
        self.tokens_time += weight * tokens_1k * took_ms;
    }

    fn solve(&mut self) {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        if spread <= f64::EPSILON * self.weight * self.tokens_squared {
            return;
        }
        let slope = (self.weight * self.tokens_time - self.tokens * self.time) / spread;
        let slope = slope.max(MIN_SLOPE_RATIO * self.prefill_cost.fixed_ms);
        let fixed = (self.time - slope * self.tokens) / self.weight;
        self.prefill_cost.fixed_ms = fixed.max(0.0);
        self.prefill_cost.ms_per_1k = slope;
    }
}

/// Speed of one engine relative to the estimate of its service, as a factor on the time of its
/// work.
///
/// Each answer is weighted by its work, because short prompts are a poor measure of speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowness {
    took: f64,
    expected: f64,
}

/// Amount of work after which an engine's own answers have the same weight as the estimate of its
/// service, in milliseconds.
const SLOWNESS_PRIOR_MS: f64 = 200.0;

/// Factor on the weight of older answers when a new one arrives. A slowdown lasts for seconds, in
/// which an engine answers about ten prompts.
const SLOWNESS_DECAY: f64 = 0.85;

/// Bounds of the factor. An engine beyond them answers so rarely that its missing answers are the
/// better signal.
pub(super) const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 10.0);

impl Slowness {
    pub(super) fn factor(&self) -> f64 {
        let factor = (self.took + SLOWNESS_PRIOR_MS) / (self.expected + SLOWNESS_PRIOR_MS);
        factor.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }

    /// Updates the factor with a prompt whose work should have taken `expected_ms` and took
    /// `took_ms`.
    pub(super) fn update(&mut self, expected_ms: f64, took_ms: f64) {
        self.took = self.took * SLOWNESS_DECAY + took_ms.max(0.0);
        self.expected = self.expected * SLOWNESS_DECAY + expected_ms;
    }
}
