//! Speed, capacity and faults of an engine.

use serde::{Deserialize, Serialize};

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineConfig {
    /// Step time with an empty batch.
    pub(crate) step_us: u64,
    /// Step time that each running request adds.
    pub(crate) step_per_request_us: u64,
    /// Step time that 1,000 tokens of context add.
    pub(crate) step_per_1000_context_us: u64,
    /// Prompt tokens that are processed per second.
    pub(crate) prefill_tokens_per_s: u64,
    /// Requests that run at the same time.
    pub(crate) batch_limit: usize,
    /// Pieces of the prefix cache.
    pub(crate) cache_pieces: usize,
    /// Size of the KV cache of one token.
    pub(crate) kv_bytes_per_token: u64,
    /// Rate at which a KV cache is imported.
    pub(crate) import_bytes_per_s: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            step_us: 8000,
            step_per_request_us: 150,
            step_per_1000_context_us: 300,
            prefill_tokens_per_s: 8000,
            batch_limit: 32,
            cache_pieces: 4096,
            kv_bytes_per_token: 128 * 1024,
            import_bytes_per_s: 5_000_000_000,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct EngineFaults {
    /// Ends the process at once.
    pub(crate) exit: bool,
    /// A prompt with this text crashes the process when it starts to run; empty for none.
    pub(crate) poison: String,
    /// Crashes the process after this many tokens of one answer; 0 for never.
    pub(crate) crash_after_tokens: u64,
    /// Cuts an answer after this many of its tokens; 0 for never.
    pub(crate) cut_after_tokens: u64,
    /// Number of answers that are cut.
    pub(crate) cuts: u32,
    /// Number of answers that carry the attempt id of another attempt.
    pub(crate) crossed_answers: u32,
    /// Lets each step take this many times as long.
    pub(crate) slow_factor: u64,
    /// Age of load reports.
    pub(crate) load_lag_ms: u64,
    /// Load reports are not answered.
    pub(crate) load_outage: bool,
    /// Age at which cache events appear.
    pub(crate) cache_event_lag_ms: u64,
    /// Leaves out every n-th cache event; 0 for none.
    pub(crate) cache_event_gap: u64,
    /// Refuses orders with an old fencing token.
    pub(crate) checks_fencing: bool,
    /// Time of a role change.
    pub(crate) role_change_ms: u64,
    /// Time of loading a model or adapter.
    pub(crate) load_model_ms: u64,
    /// Crashes the process midway through the next order.
    pub(crate) crash_in_order: bool,
    /// Loses the answers of this many orders after they took effect.
    pub(crate) lose_order_answers: u32,
    /// Reports that the platform will withdraw the engine.
    pub(crate) leaving: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            exit: false,
            poison: String::new(),
            crash_after_tokens: 0,
            cut_after_tokens: 0,
            cuts: 0,
            crossed_answers: 0,
            slow_factor: 1,
            load_lag_ms: 100,
            load_outage: false,
            cache_event_lag_ms: 200,
            cache_event_gap: 0,
            checks_fencing: true,
            role_change_ms: 3000,
            load_model_ms: 2000,
            crash_in_order: false,
            lose_order_answers: 0,
            leaving: false,
        }
    }
}
