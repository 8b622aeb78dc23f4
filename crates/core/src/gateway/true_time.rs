//! Estimate of true time from the wall clocks of several vms.
//!
//! The wall clock of a vm may jump by seconds. The estimate uses the median of the offsets between
//! the wall clocks of all vms and this vm's monotonic clock, which is not affected by jumps on
//! fewer than half of the vms.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::VmId;

/// Time after which the clock sample of another vm expires.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(20);

/// Estimate of true time.
#[derive(Debug, Default)]
pub struct TrueTime {
    /// Offset of this vm's wall clock from its monotonic clock.
    own_us: i64,
    /// Offsets of other vms, with the time of the sample.
    others: BTreeMap<VmId, (i64, Duration)>,
}

impl TrueTime {
    /// Records this vm's wall clock, as time since 1970.
    pub fn record_own_clock(&mut self, wall: Duration, now: Duration) {
        self.own_us = offset_us(wall, now);
    }

    /// Records the wall clock of another vm, as time since 1970, at this vm's monotonic time `at`.
    pub fn record_peer_clock(&mut self, vm: VmId, wall: Duration, at: Duration) {
        self.others.insert(vm, (offset_us(wall, at), at));
    }

    /// Estimated true time since 1970.
    pub fn now(&self, now: Duration) -> Duration {
        let mut offsets: Vec<_> = self
            .others
            .values()
            .filter(|(_, at)| now < *at + SAMPLE_LIFETIME)
            .map(|(offset, _)| *offset)
            .chain([self.own_us])
            .collect();
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        Duration::from_micros(micros(now).saturating_add(median).max(0) as u64)
    }
}

fn offset_us(wall: Duration, now: Duration) -> i64 {
    micros(wall) - micros(now)
}

/// Whole microseconds. A clock beyond the range of the type is wrong, so it is bounded.
fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
