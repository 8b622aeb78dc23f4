//! How long a stream may go without an event.
//!
//! Callers leave a stream after a gap that follows from its route. A stalled stream is given up
//! then, since nobody reads it any more, and earlier if another target may continue it, so that the
//! caller is still there. Slow streams with shorter gaps go on.

use std::time::Duration;

use super::outcome::Repeatability;
use super::settings::HostRoute;

/// Gaps after which callers leave, and the part of them that is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseLimits {
    /// Gap that a caller bears on every route.
    pub shortest: Duration,
    /// Latency aims of the route that a caller bears.
    pub latency_aims: f64,
    /// Longest pauses for an answer on time that a caller bears.
    pub pause_aims: f64,
    /// Part of the gap after which another target continues the stream. The rest is left for the
    /// other target's first event.
    pub resume_part: f64,
}

impl Default for PauseLimits {
    fn default() -> Self {
        Self {
            shortest: Duration::from_secs(2),
            latency_aims: 4.0,
            pause_aims: 8.0,
            resume_part: 0.5,
        }
    }
}

/// Time without an event after which a caller leaves a stream of this route.
pub fn caller_idle_timeout(route: &HostRoute, limits: PauseLimits) -> Duration {
    limits
        .shortest
        .max(route.latency_aim.mul_f64(limits.latency_aims))
        .max(route.pause_aim.mul_f64(limits.pause_aims))
}

/// Longest time between two events of a stream on this route before it counts as stalled.
pub fn stall_timeout(
    route: &HostRoute,
    repeatability: Repeatability,
    limits: PauseLimits,
) -> Duration {
    let gap = caller_idle_timeout(route, limits);
    match repeatability {
        Repeatability::Resumable => gap.mul_f64(limits.resume_part),
        Repeatability::Idempotent | Repeatability::Once => gap,
    }
}
