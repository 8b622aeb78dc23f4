//! Prompts queued at one prefill engine, and the predicted time at which they are computed.
//!
//! An engine computes prompts one after the other. The fixed time of a prompt overlaps with the
//! work of those ahead of it, so a prompt waits only for the work of the others.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::prefill_cost::PrefillCost;

/// Predicted remaining time of an overdue first prompt, relative to the time by which it is
/// overdue. The predicted wait at an engine that has stopped grows steadily, so no separate timeout
/// is needed to detect it.
const OVERDUE_FACTOR: f64 = 1.0;

/// Identity of a placement, unique within the placer that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacementId(pub u64);

/// A prompt that an engine has not computed yet.
#[derive(Clone, Copy, Debug)]
struct QueuedPrompt {
    id: PlacementId,
    tokens: u64,
    placed_at: Duration,
}

/// Prompts at an engine, in the order of their placement.
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

    /// Removes a computed prompt and all prompts before it. Those have been computed as well, and
    /// their answers are late or lost.
    pub(super) fn computed(&mut self, id: PlacementId) {
        let found = self.prompts.iter().position(|p| p.id == id);
        if let Some(index) = found {
            self.prompts.drain(..=index);
        }
    }

    /// Removes a prompt that is no longer at the engine.
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
