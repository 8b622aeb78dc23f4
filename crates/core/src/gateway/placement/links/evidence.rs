//! What hand-overs have shown about the link of one engine.

use std::time::Duration;

use super::milliseconds;

/// Suspicion from which a link is slow. With it, three or four transfers that are clearly late are
/// enough. Sound links, whose hand-overs are late by chance because vms are throttled, reach it about
/// once in ten seconds in `gateway_links`; one fast transfer clears them.
const SLOW_SUSPICION: f64 = 10.0;

/// Lateness that is expected of sound links, in spreads. Only what exceeds it adds to the suspicion.
const EXPECTED_LATENESS: f64 = 1.5;

/// Largest lateness of one transfer, in spreads, so that a single late answer means little.
const MAX_LATENESS: f64 = 5.0;

/// Suspicion above that of a slow link which is kept, so that several transfers have to be on time
/// until the link is sound, unless one of them is fast.
const SUSPICION_RESERVE: f64 = 3.0;

/// Number of late transfers of which the fastest gives the factor. Others may have waited for
/// transfers that are not known here.
const KEPT_RATIOS: usize = 4;

/// Factor on transfers of a link of which only refusals are known.
const NOT_STARTED_RATIO: f64 = 4.0;

/// Largest factor. Beyond it, the link gets no prompts anyway.
const MAX_FACTOR: f64 = 32.0;

/// Time without evidence after which the factor begins to decay.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// Half-life of the factor after that. A link with the eighth of its speed is tested again after
/// about a second.
const HALF_LIFE: Duration = Duration::from_millis(300);

/// Multiple of the known factor up to which a link explains a late transfer.
const EXPLAINED_RATIO: f64 = 1.5;

/// Evidence about one link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    /// Hash of the engine's service.
    pub(super) service: u64,
    /// Sum of the lateness of recent transfers beyond the expected one, but not below zero: a CUSUM
    /// test, which finds large delays quickly and small ones that last.
    suspicion: f64,
    /// Time of the last late transfers relative to the usual time.
    ratios: [f64; KEPT_RATIOS],
    next_ratio: usize,
    last_late: Duration,
    last_fast: Option<Duration>,
    last_end: Option<Duration>,
}

impl Evidence {
    /// Factor on the time of transfers as last seen.
    pub(super) fn held_factor(&self) -> f64 {
        if self.suspicion < SLOW_SUSPICION {
            return 1.0;
        }
        let known = self.ratios.iter().filter(|ratio| **ratio > 0.0);
        known.copied().fold(MAX_FACTOR, f64::min).max(1.0)
    }

    /// Factor on the time of transfers. It decays, unless a transfer is tested at the moment.
    pub(super) fn factor(&self, now: Duration, is_tested: bool) -> f64 {
        let fastest = self.held_factor();
        let idle = now.saturating_sub(self.last_late);
        let idle = match is_tested && idle < HOLD_TIME + 4 * HALF_LIFE {
            true => Duration::ZERO,
            false => idle.saturating_sub(HOLD_TIME),
        };
        let part = 0.5f64.powf(idle.as_secs_f64() / HALF_LIFE.as_secs_f64());
        1.0 + (fastest - 1.0) * part
    }

    /// Whether the link is known to be so slow that it explains a late transfer.
    pub(super) fn explains(&self, ratio: f64, now: Duration) -> bool {
        let factor = self.factor(now, true);
        factor >= super::SLOW_FACTOR && ratio <= factor * EXPLAINED_RATIO
    }

    pub(super) fn has_been_fast_since(&self, at: Duration) -> bool {
        self.last_fast.is_some_and(|fast| fast >= at)
    }

    pub(super) fn last_fast(&self) -> Option<Duration> {
        self.last_fast
    }

    /// Time since the end of the last transfer on the link, in milliseconds.
    pub(super) fn time_since_last_end_ms(&self, now: Duration) -> f64 {
        let last = self.last_end;
        last.map_or(f64::INFINITY, |end| milliseconds(now.saturating_sub(end)))
    }

    /// Whether a transfer on the link ended within `time` before `now`.
    pub(super) fn is_in_use(&self, time: Duration, now: Duration) -> bool {
        self.last_end.is_some_and(|end| now < end + time)
    }

    pub(super) fn record_end(&mut self, at: Duration) {
        self.last_end = self.last_end.max(Some(at));
    }

    /// A fast transfer proves that the link is sound.
    pub(super) fn record_fast(&mut self, at: Duration) {
        self.clear();
        self.last_fast = self.last_fast.max(Some(at));
    }

    pub(super) fn clear(&mut self) {
        self.suspicion = 0.0;
        self.ratios = [0.0; KEPT_RATIOS];
    }

    /// Takes the factor that another vm knows for that of the last late transfer.
    pub(super) fn succeed(&mut self, factor: f64, at: Duration) {
        self.clear();
        self.suspicion = SLOW_SUSPICION;
        self.ratios[0] = factor;
        self.last_late = at;
    }

    /// Records that the factor is still valid.
    pub(super) fn confirm(&mut self, at: Duration) {
        if self.suspicion >= SLOW_SUSPICION {
            self.last_late = self.last_late.max(at);
        }
    }

    /// Records a transfer that was late by a number of spreads and took `ratio` times as long as
    /// usual.
    pub(super) fn record_late(&mut self, lateness: f64, ratio: f64, at: Duration) {
        self.ratios[self.next_ratio % KEPT_RATIOS] = ratio;
        self.next_ratio = (self.next_ratio + 1) % KEPT_RATIOS;
        self.last_late = self.last_late.max(at);
        self.suspect(lateness);
    }

    /// Records a transfer that was about as long as expected.
    pub(super) fn record_usual(&mut self, lateness: f64) {
        self.suspect(lateness);
    }

    /// A transfer was not started, because the queue of the link was too long.
    pub(super) fn record_not_started(&mut self, at: Duration) {
        if self.ratios.iter().all(|ratio| *ratio <= 0.0) {
            self.ratios[0] = NOT_STARTED_RATIO;
        }
        self.last_late = self.last_late.max(at);
        self.suspect(SLOW_SUSPICION / 2.0 + EXPECTED_LATENESS);
    }

    fn suspect(&mut self, lateness: f64) {
        let largest = SLOW_SUSPICION + SUSPICION_RESERVE;
        let changed = self.suspicion + lateness - EXPECTED_LATENESS;
        self.suspicion = changed.clamp(0.0, largest);
    }
}

/// Lateness of a transfer in spreads, as it adds to the suspicion.
pub(super) fn lateness(excess_ms: f64, spread_ms: f64) -> f64 {
    (excess_ms / spread_ms).clamp(0.0, MAX_LATENESS)
}

/// Whether a transfer is later than expected of a sound link.
pub(super) fn is_late(lateness: f64) -> bool {
    lateness > EXPECTED_LATENESS
}
