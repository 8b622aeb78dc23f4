//! Maximum time between two events of a stream.
//!
//! Callers disconnect from a stream after a gap that depends on the route. A stalled stream is
//! abandoned at that time, because no caller reads it any more, or earlier if another target may
//! continue it, so that the caller is still connected. Slow streams with shorter gaps continue.

use std::time::Duration;

use super::outcome::Repeatability;
use super::settings::HostRoute;

/// Gaps after which callers disconnect, and the share of them after which a stream is resumed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseLimits {
    /// Minimum gap that callers tolerate on all routes.
    pub shortest: Duration,
    /// Gap that callers tolerate, as a multiple of the route's latency aim.
    pub latency_aims: f64,
    /// Gap that callers tolerate, as a multiple of the route's pause aim.
    pub pause_aims: f64,
    /// Share of the gap after which another target continues the stream. The remainder is left for
    /// that target's first event.
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

/// Time without an event after which callers disconnect from a stream of this route.
pub fn caller_idle_timeout(route: &HostRoute, limits: PauseLimits) -> Duration {
    limits
        .shortest
        .max(route.latency_aim.mul_f64(limits.latency_aims))
        .max(route.pause_aim.mul_f64(limits.pause_aims))
}

/// Time without an event after which a stream of this route counts as stalled.
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
