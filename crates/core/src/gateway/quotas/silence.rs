//! Vms that did not answer as homes, and when they are probed.

use std::collections::HashMap;
use std::time::Duration;

use crate::VmId;

/// Time between two probes of a vm that did not answer. A probe costs one exchange, for which no
/// request waits.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a vm is asked again without a probe.
const SILENT_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Silence {
    until: Duration,
    probe_at: Duration,
}

/// Vms that did not answer as homes. They are asked for tokens again when they have answered a
/// probe.
#[derive(Debug, Default)]
pub(super) struct SilentHomes(HashMap<VmId, Silence>);

impl SilentHomes {
    pub(super) fn record_answer(&mut self, home: VmId) {
        self.0.remove(&home);
    }

    /// Records that a vm did not answer in time, or is not the home by its own view.
    pub(super) fn record_silence(&mut self, home: VmId, now: Duration) {
        let until = now + SILENT_TIME;
        let probe_at = now;
        let silence = self.0.entry(home).or_insert(Silence { until, probe_at });
        silence.until = until;
    }

    pub(super) fn may_ask(&self, home: VmId, now: Duration) -> bool {
        self.0.get(&home).is_none_or(|silence| now >= silence.until)
    }

    /// Whether a vm is to be probed now.
    pub(super) fn take_probe(&mut self, home: VmId, now: Duration) -> bool {
        let due = self
            .0
            .get_mut(&home)
            .filter(|silence| now >= silence.probe_at);
        due.is_some_and(|silence| {
            silence.probe_at = now + PROBE_INTERVAL;
            true
        })
    }

    /// Drops vms that are no candidates any more.
    pub(super) fn retain(&mut self, candidates: &[VmId]) {
        self.0.retain(|vm, _| candidates.contains(vm));
    }
}
