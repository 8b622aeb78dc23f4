//! Prompts at one engine of the prefill stage, and when it will have computed them.
//!
//! An engine computes prompts one after the other. The fixed time of a prompt overlaps with the work
//! of those ahead of it, so only their work makes the next one wait.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::prefill_cost::PrefillCost;

/// Part of the time by which the first prompt is overdue that it is expected to take on. An engine
/// that has stopped looks busier with each moment, without a limit after which it counts as silent.
const OVERDUE_FACTOR: f64 = 1.0;

/// Identity of a placed prompt at the placer that placed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacementId(pub u64);

/// A prompt that an engine has not computed yet.
#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    id: PlacementId,
    tokens: u64,
    placed_at: Duration,
}

/// Prompts at an engine in the order in which they were placed.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptQueue {
    prompts: VecDeque<QueuedPrompt>,
}

impl PromptQueue {
    pub(super) fn push(&mut self, id: PlacementId, tokens: u64, now: Duration) {
        self.prompts.push_back(QueuedPrompt {
            id,
            tokens,
            placed_at: now,
        });
    }

    /// A prompt was computed, so those before it were too. Their answers are late or lost.
    pub(super) fn computed(&mut self, id: PlacementId) {
        let found = self.prompts.iter().position(|p| p.id == id);
        if let Some(index) = found {
            self.prompts.drain(..=index);
        }
    }

    /// Removes a prompt that has left the engine.
    pub(super) fn remove(&mut self, id: PlacementId) {
        self.prompts.retain(|prompt| prompt.id != id);
    }

    pub(super) fn tokens(&self) -> u64 {
        self.prompts.iter().map(|prompt| prompt.tokens).sum()
    }

    /// Time for which a prompt that is placed now waits for the others, in milliseconds.
    /// `slowness` is the factor on the time of the engine's work.
    pub(super) fn wait_ms(&self, prefill_cost: PrefillCost, slowness: f64, now: Duration) -> f64 {
        let now_ms = milliseconds(now);
        let mut free_at_ms = 0.0f64;
        for (index, prompt) in self.prompts.iter().enumerate() {
            let starts_ms = free_at_ms.max(milliseconds(prompt.placed_at) + prefill_cost.fixed_ms);
            free_at_ms = starts_ms + prefill_cost.work_ms(prompt.tokens) * slowness;
            let overdue_ms = now_ms - free_at_ms;
            if index == 0 && overdue_ms > 0.0 {
                free_at_ms = now_ms + overdue_ms * OVERDUE_FACTOR;
            }
        }
        (free_at_ms - now_ms - prefill_cost.fixed_ms).max(0.0)
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
