//! Selection of streams that are replicated to a second engine.
//!
//! A stream that may not be retried breaks off when its engine crashes, becomes unresponsive or is
//! reclaimed, and the caller has received only part of the answer. An engine that keeps a replica
//! of the run continues it, and it still counts as one run. Replicas use link bandwidth and memory,
//! so long prompts are not replicated.

use std::time::Duration;

use crate::gateway::settings::EngineLimits;

/// Maximum time for which the replica of a prompt may occupy a link, as a share of the route's
/// latency aim. A link transfers one copy at a time, and computed prompts that are handed over wait
/// for it.
const MAX_LINK_SHARE: f64 = 0.01;

/// Whether a stream should be replicated to another engine. Returns false if the link speed is not
/// known.
pub fn is_worth_backup(engine: EngineLimits, tokens: u64, latency_aim: Duration) -> bool {
    engine
        .copy_time(tokens, false)
        .is_some_and(|time| time <= latency_aim.mul_f64(MAX_LINK_SHARE))
}
