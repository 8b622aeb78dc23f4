//! Maximum time between two events of a stream.
//!
//! Callers disconnect from a stream after a gap that depends on the route. A stalled stream is
//! abandoned after that time, because no caller reads it any more. If another target may continue
//! it, that one is asked earlier, so that the caller is still connected. A target that is silent for
//! less than the gap may be sound, so it is only left once the other one has continued the stream.

use std::time::Duration;

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

/// Time by which a caller may disconnect later than it appears to the gateway, because it counts its
/// gap from the arrival of the last event.
const CALLER_CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// Longest time for which another target is asked to continue a stream while the silent one may
/// still work on it. The users' platform tolerates 400 ms at both (see `docs/platform.md`); what is
/// left of them is for late timers of a busy vm, and for the arrival of the request and of the close.
pub const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Time without an event after which a stream of this route is abandoned.
pub fn abandon_timeout(route: &HostRoute, limits: PauseLimits) -> Duration {
    caller_idle_timeout(route, limits) + CALLER_CLOCK_MARGIN
}

/// Time without an event after which callers disconnect from a stream of this route.
pub fn caller_idle_timeout(route: &HostRoute, limits: PauseLimits) -> Duration {
    limits
        .shortest
        .max(route.latency_aim.mul_f64(limits.latency_aims))
        .max(route.pause_aim.mul_f64(limits.pause_aims))
}

/// Time without an event after which another target is asked to continue a stream of this route.
pub fn resume_timeout(route: &HostRoute, limits: PauseLimits) -> Duration {
    caller_idle_timeout(route, limits).mul_f64(limits.resume_part)
}
