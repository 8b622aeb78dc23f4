//! True time from the wall clocks of several vms.
//!
//! The wall clock of a vm may jump by seconds. The median of the offsets between the wall clocks of
//! all vms and this vm's monotonic clock ignores jumps on fewer than half of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::VmId;

/// Time after which what another vm said of its clock is forgotten.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(20);

/// Estimate of true time.
#[derive(Debug, Default)]
pub struct TrueTime {
    /// Offset of the own wall clock from the monotonic clock.
    own_us: i64,
    /// Offsets of others, with the time of the sample.
    others: BTreeMap<VmId, (i64, Duration)>,
}

impl TrueTime {
    /// Takes the own wall clock, as time since 1970.
    pub fn record_own_clock(&mut self, wall: Duration, now: Duration) {
        self.own_us = offset_us(wall, now);
    }

    /// Takes the wall clock of another vm, as it was at monotonic time `at` of this vm.
    pub fn record_peer_clock(&mut self, vm: VmId, wall: Duration, at: Duration) {
        self.others.insert(vm, (offset_us(wall, at), at));
    }

    /// True time since 1970.
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
        Duration::from_micros((now.as_micros() as i64 + median).max(0) as u64)
    }
}

fn offset_us(wall: Duration, now: Duration) -> i64 {
    wall.as_micros() as i64 - now.as_micros() as i64
}
