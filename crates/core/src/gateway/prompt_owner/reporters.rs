//! Whether a failure that a vm reports is that of the engine or of the vm's own links.
//!
//! A vm that has lost its links reports every engine that it tries. An engine must not be avoided for
//! that by all others, which reach it. See `docs/incidents/partitioned-from-targets.md`.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::VmId;
use crate::gateway::catalog::TargetKey;

/// Time after an answer to one vm for which a failure at another one is that vm's own. An engine that
/// has just crashed gets the prompts of this time in vain.
const RECENT_ANSWER: Duration = Duration::from_millis(250);

/// Number of engines that must fail one after the other, without an answer of any, for a vm to count
/// as cut off.
const CUT_OFF_AFTER: usize = 2;

/// Time for which a vm counts as cut off after its last report, while others get answers.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// A prompt that its vm could not send, or got no answer to.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureReport {
    pub(super) vm: VmId,
    pub(super) key: TargetKey,
    pub(super) placed_at: Duration,
}

/// What the vms have reported lately.
#[derive(Debug, Default)]
pub(super) struct Reporters {
    /// Last answer of each engine, and the vm that got it.
    answers: HashMap<TargetKey, (VmId, Duration)>,
    /// Engines that failed since the last answer to a vm, and when the last one did.
    failures: HashMap<VmId, (SmallVec<[TargetKey; CUT_OFF_AFTER]>, Duration)>,
}

impl Reporters {
    /// Records that an engine has answered a vm.
    pub(super) fn answered(&mut self, vm: VmId, key: TargetKey, at: Duration) {
        self.answers.insert(key, (vm, at));
        self.failures.remove(&vm);
    }

    /// Records a failure, and returns whether it is that of the vm's own links.
    pub(super) fn is_of_links(&mut self, report: FailureReport, now: Duration) -> bool {
        let FailureReport { vm, key, placed_at } = report;
        let (failed, last_at) = self.failures.entry(vm).or_default();
        if now.saturating_sub(*last_at) >= REPORT_LIFETIME {
            failed.clear();
        }
        *last_at = now;
        if !failed.contains(&key) && failed.len() < CUT_OFF_AFTER {
            failed.push(key);
        }
        let is_cut_off = failed.len() >= CUT_OFF_AFTER;
        let answered_since =
            |since: Duration, (other, at): &(VmId, Duration)| *other != vm && *at >= since;
        let since = placed_at.min(now.saturating_sub(RECENT_ANSWER));
        let is_reached = self.answers.get(&key);
        if is_reached.is_some_and(|answer| answered_since(since, answer)) {
            return true;
        }
        let since = now.saturating_sub(REPORT_LIFETIME);
        is_cut_off
            && self
                .answers
                .values()
                .any(|answer| answered_since(since, answer))
    }

    /// Forgets engines that do not exist, and reports that no longer count.
    pub(super) fn retain(&mut self, exists: impl Fn(TargetKey) -> bool, now: Duration) {
        self.answers.retain(|key, _| exists(*key));
        self.failures
            .retain(|_, (_, at)| now.saturating_sub(*at) < REPORT_LIFETIME);
    }
}
