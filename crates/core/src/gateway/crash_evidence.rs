//! Attempts that ended without an answer, and whether their targets crashed.
//!
//! A target that crashes may fall silent instead of closing its connections. An attempt then ends by
//! a timeout or with its caller, which shows nothing, because a sound target may pause. The attempt is
//! kept until the run of its target has answered anything, was replaced, or has stayed silent for too
//! long. See `docs/incidents/unanswered-crashes.md`.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::catalog::TargetKey;
use super::identity::RequestIdentity;
use super::leaving::TargetRun;
use crate::quarantine::Fingerprint;

/// Time without an answer after which a silent run counts as crashed. Sound targets may be silent for
/// a second, and a crash must be known to all vms within three.
const CRASH_SILENCE: Duration = Duration::from_secs(2);

/// Time without an answer after which a run is probed.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// Interval between two probes of a run.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time that a target has to answer a probe before its silence counts.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most probes of a run. Later evidence can only come from its entry.
const MAX_PROBES: u32 = 10;

/// Time after the end of an attempt in which an answer to another request may have been on its way.
const TRANSIT: Duration = Duration::from_millis(100);

/// Time for which an attempt is kept while nothing shows what became of its target.
const LIFETIME: Duration = Duration::from_secs(30);

/// Longest time between two steps that counts as observed. After a longer one this vm was stopped, and
/// answers wait in its sockets.
const MAX_STEP: Duration = Duration::from_millis(300);

/// Most attempts that are kept.
const MAX_ATTEMPTS: usize = 4096;

/// Interval between clean-ups of the times of answers.
const CLEAN_INTERVAL: Duration = Duration::from_secs(10);

/// An attempt that a target had and did not answer.
#[derive(Clone, Debug)]
pub struct UnansweredAttempt {
    /// Id of the caller's attempt, for the log.
    pub attempt_id: String,
    /// What the crash counts against.
    pub identity: RequestIdentity,
    /// Run of the target.
    pub run: TargetRun,
    /// Service of the target.
    pub service: String,
    /// When the request was sent, or the target last sent a part of the answer.
    pub silent_since: Duration,
}

/// What the list of targets says of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It is listed.
    Listed,
    /// It has announced that it leaves, so its end is no crash.
    Leaving,
    /// Its entry is gone.
    Gone,
    /// Its entry describes a later run.
    Replaced,
}

/// How it was found what became of the target of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EvidenceOutcome {
    /// It answered later.
    Answered,
    /// It leaves as planned.
    Leaving,
    /// Another run of the target, or another target, has taken its place.
    Replaced,
    /// It stayed silent while other targets answered.
    Silent,
    /// It was not found in time.
    Unknown,
}

impl EvidenceOutcome {
    /// Whether the target crashed.
    pub fn is_crash(self) -> bool {
        matches!(self, Self::Replaced | Self::Silent)
    }
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum EvidenceStep {
    /// Send a probe to the run. An answer is recorded with [`CrashEvidence::answered`] or
    /// [`CrashEvidence::found_replaced`].
    Probe {
        /// Key of the run.
        key: TargetKey,
        /// The run.
        run: TargetRun,
        /// Its service.
        service: String,
        /// Whether another target is to be probed as well, to see whether this vm reaches any.
        needs_comparison: bool,
    },
    /// It is known what became of the target of an attempt.
    Settled {
        /// The attempt.
        attempt: UnansweredAttempt,
        /// What became of the target.
        outcome: EvidenceOutcome,
        /// Time since it fell silent.
        silent_for: Duration,
    },
}

#[derive(Debug)]
struct OpenAttempt {
    attempt: UnansweredAttempt,
    /// When the attempt ended.
    ended_at: Duration,
}

#[derive(Debug, Default)]
struct SilentRun {
    attempts: Vec<OpenAttempt>,
    /// When the first and the last probe were sent that have no answer.
    first_probe_at: Option<Duration>,
    last_probe_at: Option<Duration>,
    probes: u32,
    is_replaced: bool,
}

/// Attempts whose targets may have crashed.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    runs: BTreeMap<TargetKey, SilentRun>,
    /// When each run last sent anything.
    answered_at: HashMap<TargetKey, Duration>,
    /// Time in which this vm was stopped, and thus observed nothing.
    unobserved: Duration,
    stepped_at: Duration,
    cleaned_at: Duration,
}

impl CrashEvidence {
    /// Records that a run has sent anything.
    pub fn answered(&mut self, key: TargetKey, now: Duration) {
        let now = self.observed(now);
        self.answered_at.insert(key, now);
    }

    /// Records that another target answered in place of a run.
    pub fn found_replaced(&mut self, key: TargetKey) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.is_replaced = true;
        }
    }

    /// Records that an attempt ended without an answer.
    pub fn ended(&mut self, key: TargetKey, mut attempt: UnansweredAttempt, now: Duration) {
        if self.len() >= MAX_ATTEMPTS {
            return;
        }
        attempt.silent_since = self.observed(attempt.silent_since);
        let ended_at = self.observed(now);
        let run = self.runs.entry(key).or_default();
        run.attempts.push(OpenAttempt { attempt, ended_at });
    }

    /// Records that a request was answered completely, so that no crash counts against it.
    pub fn completed(&mut self, request: Fingerprint) {
        for run in self.runs.values_mut() {
            run.attempts
                .retain(|open| open.attempt.identity.request() != request);
        }
        self.runs.retain(|_, run| !run.attempts.is_empty());
    }

    /// Number of attempts of which it is not known what became of their targets.
    pub fn len(&self) -> usize {
        self.runs.values().map(|run| run.attempts.len()).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns what is to be done. Must be called several times a second.
    pub fn step(
        &mut self,
        state_of: impl Fn(TargetKey, &TargetRun) -> RunState,
        now: Duration,
    ) -> Vec<EvidenceStep> {
        let unobserved = now.saturating_sub(self.stepped_at + MAX_STEP);
        if self.stepped_at > Duration::ZERO {
            self.unobserved += unobserved;
        }
        self.stepped_at = now;
        let now = self.observed(now);
        let answered_at = &mut self.answered_at;
        if now >= self.cleaned_at + CLEAN_INTERVAL {
            self.cleaned_at = now;
            answered_at.retain(|_, at| now.saturating_sub(*at) < LIFETIME);
        }
        let mut steps = Vec::new();
        for (key, run) in &mut self.runs {
            run.step(*key, answered_at, &state_of, now, &mut steps);
        }
        self.runs.retain(|_, run| !run.attempts.is_empty());
        steps
    }

    /// Time for which this vm was observing its targets.
    fn observed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.unobserved)
    }
}

impl SilentRun {
    fn step(
        &mut self,
        key: TargetKey,
        answered_at: &HashMap<TargetKey, Duration>,
        state_of: impl Fn(TargetKey, &TargetRun) -> RunState,
        now: Duration,
        steps: &mut Vec<EvidenceStep>,
    ) {
        let Some(first) = self.attempts.first().map(|open| open.attempt.clone()) else {
            return;
        };
        let state = state_of(key, &first.run);
        let answered = answered_at.get(&key).copied().unwrap_or_default();
        if self.first_probe_at.is_some_and(|at| answered >= at) {
            (self.first_probe_at, self.last_probe_at) = (None, None);
            self.probes = 0;
        }
        let compared_at = latest_of_others(answered_at, key);
        let is_compared = |since: Duration| compared_at.is_some_and(|at| at >= since);
        let is_unanswered = self.first_probe_at.is_some_and(|at| {
            now >= at + PROBE_TIMEOUT && (is_compared(at) || state == RunState::Gone)
        });
        let is_replaced = self.is_replaced || state == RunState::Replaced;
        let mut longest_silence = Duration::ZERO;
        self.attempts.retain_mut(|open| {
            let silent_for = now.saturating_sub(open.attempt.silent_since.max(answered));
            let is_silent = silent_for >= CRASH_SILENCE || state == RunState::Gone;
            let outcome = if state == RunState::Leaving {
                EvidenceOutcome::Leaving
            } else if is_replaced {
                EvidenceOutcome::Replaced
            } else if answered >= open.ended_at + TRANSIT {
                EvidenceOutcome::Answered
            } else if is_silent && is_unanswered {
                EvidenceOutcome::Silent
            } else if now >= open.ended_at + LIFETIME {
                EvidenceOutcome::Unknown
            } else {
                longest_silence = longest_silence.max(silent_for);
                return true;
            };
            steps.push(EvidenceStep::Settled {
                attempt: open.attempt.clone(),
                outcome,
                silent_for,
            });
            false
        });
        let is_due = self
            .last_probe_at
            .is_none_or(|at| now >= at + PROBE_INTERVAL);
        if longest_silence >= PROBE_AFTER && is_due && self.probes < MAX_PROBES {
            self.last_probe_at = Some(now);
            let first_probe_at = *self.first_probe_at.get_or_insert(now);
            self.probes += 1;
            steps.push(EvidenceStep::Probe {
                key,
                run: first.run,
                service: first.service,
                needs_comparison: !is_compared(first_probe_at),
            });
        }
    }
}

/// When any other run last sent anything.
fn latest_of_others(
    answered_at: &HashMap<TargetKey, Duration>,
    key: TargetKey,
) -> Option<Duration> {
    let others = answered_at.iter().filter(|(other, _)| **other != key);
    others.map(|(_, at)| *at).max()
}
