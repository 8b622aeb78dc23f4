//! Which streams another engine keeps a copy of.
//!
//! The load that this answers: streams that may not be sent again, at engines that crash, fall silent
//! or are reclaimed. Their callers saw half an answer. An engine that has kept a copy of the run
//! goes on with it, and it stays one run. Copies take links and memory, so long prompts go without.

use std::time::Duration;

use crate::gateway::settings::EngineLimits;

/// Part of a route's aim that the copy of a prompt may occupy a link. Links carry copies one after
/// the other, and computed prompts on their way to their answers wait behind them.
const MAX_LINK_SHARE: f64 = 0.01;

/// Whether a stream is worth a copy at another engine. Without figures of the links none is.
pub fn is_worth_backup(engine: EngineLimits, tokens: u64, latency_aim: Duration) -> bool {
    engine
        .copy_time(tokens, false)
        .is_some_and(|time| time <= latency_aim.mul_f64(MAX_LINK_SHARE))
}
