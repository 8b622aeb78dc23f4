//! Performance model of an engine for the scheduler's estimates.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Role;

/// Performance of one mid-size engine. These are estimates; an engine may be faster or slower.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRates {
    /// Prompt tokens per second of an engine without other work.
    pub prefill_tokens_per_s: f64,
    /// Length of the decode step of an empty batch.
    pub step_base_ms: f64,
    /// Growth of the decode step per running request.
    pub step_per_request_ms: f64,
    /// Growth of the decode step per 1000 tokens of context in the batch.
    pub step_per_kilotoken_ms: f64,
    /// Prompt tokens that a mixed engine adds to one decode step.
    pub mixed_chunk_tokens: f64,
    /// Size of the KV cache per token of context.
    pub kv_bytes_per_token: f64,
    /// Transfer rate of one KV cache between engines.
    pub kv_bytes_per_s: f64,
    /// Tokens in one piece of the prefix cache.
    pub cache_piece_tokens: u32,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 10_000.0,
            step_base_ms: 14.0,
            step_per_request_ms: 0.5,
            step_per_kilotoken_ms: 0.15,
            mixed_chunk_tokens: 512.0,
            kv_bytes_per_token: 131_072.0,
            kv_bytes_per_s: 10e9,
            cache_piece_tokens: 256,
        }
    }
}

impl EngineRates {
    /// Length of a decode step without prefill.
    pub fn step_ms(&self, requests: u32, context_tokens: u64) -> f64 {
        self.step_base_ms
            + self.step_per_request_ms * f64::from(requests)
            + self.step_per_kilotoken_ms * context_tokens as f64 / 1000.0
    }

    /// Time that one prompt chunk adds to a decode step of a mixed engine.
    pub fn chunk_ms(&self) -> f64 {
        1000.0 * self.mixed_chunk_tokens / self.prefill_tokens_per_s
    }

    /// Prompt tokens per second of an engine with this batch.
    pub fn prefill_rate(&self, role: Role, requests: u32, context_tokens: u64) -> f64 {
        if role != Role::Mixed || requests == 0 {
            return self.prefill_tokens_per_s;
        }
        let step_ms = self.step_ms(requests, context_tokens) + self.chunk_ms();
        1000.0 * self.mixed_chunk_tokens / step_ms
    }

    /// Time to transfer the KV cache of a context to another engine.
    pub fn transfer(&self, context_tokens: u64) -> Duration {
        let bytes = context_tokens as f64 * self.kv_bytes_per_token;
        Duration::from_secs_f64(0.002 + bytes / self.kv_bytes_per_s)
    }

    /// Generated tokens per second of an engine whose batch just meets `interval_ms`.
    pub fn decode_rate(&self, interval_ms: f64, context_tokens_per_request: f64) -> f64 {
        let per_request = self.step_per_request_ms
            + self.step_per_kilotoken_ms * context_tokens_per_request / 1e3;
        let requests = ((interval_ms - self.step_base_ms) / per_request).max(1.0);
        1000.0 * requests / interval_ms
    }
}
