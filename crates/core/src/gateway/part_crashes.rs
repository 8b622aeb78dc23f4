//! Counts of the targets that crashed under a prompt part, so that requests with it are refused.
//!
//! Requests that share such a part need not have anything else in common, so the counts of whole
//! requests never reach a threshold. Each crash counts against all shared parts of the requests
//! that the target had, and a complete answer clears all parts of its request: the part that is to
//! blame is the one without a complete answer. See `docs/platform.md`.

use std::time::Duration;

use lru::LruCache;
use smallvec::SmallVec;

use crate::quarantine::{
    CrashReport, Fingerprint, Quarantine, QuarantineCommand, QuarantineConfig, QuarantineEvent,
    QuarantineMessage, Verdict,
};
use crate::{Machine, TargetId};

/// Fingerprints of the parts of a prompt.
pub type PartFingerprints = SmallVec<[Fingerprint; 4]>;

/// Configuration of [`PartCrashes`].
#[derive(Clone, Copy, Debug)]
pub struct PartCrashConfig {
    /// Counts of crashes.
    pub counts: QuarantineConfig,
    /// Time after a complete answer in which a crash does not count against its parts. Most requests
    /// share their first parts, which would otherwise be reported and cleared with each crash.
    pub sound_time: Duration,
    /// Number of parts of complete answers that are kept.
    pub max_sound_parts: usize,
    /// Time after which one request with a refused part is let through.
    pub trial_interval: Duration,
}

impl Default for PartCrashConfig {
    fn default() -> Self {
        Self {
            counts: QuarantineConfig {
                // Two crashes may meet a sound part that few requests have.
                refusal_threshold: 3,
                // Targets of one zone that end together are noticed within this time.
                min_spacing: Duration::from_millis(500),
                ..QuarantineConfig::default()
            },
            sound_time: Duration::from_secs(1),
            max_sound_parts: 4096,
            // A trial may cost a target with all its requests.
            trial_interval: Duration::from_secs(60),
        }
    }
}

/// A part for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub fingerprint: Fingerprint,
    /// Time until the count expires.
    pub retry_after: Duration,
}

/// Crash counts of prompt parts.
#[derive(Debug)]
pub struct PartCrashes {
    config: PartCrashConfig,
    counts: Quarantine,
    /// Parts of complete answers, with the time of the last one.
    sound: LruCache<Fingerprint, Duration>,
}

impl Default for PartCrashes {
    fn default() -> Self {
        Self::new(PartCrashConfig::default())
    }
}

impl PartCrashes {
    /// Starts without counts.
    pub fn new(config: PartCrashConfig) -> Self {
        Self {
            config,
            counts: Quarantine::new(config.counts),
            sound: LruCache::new(config.max_sound_parts.max(1).try_into().expect("not zero")),
        }
    }

    /// Counts a crash of a target that had a request with these parts. Returns the messages for all
    /// other vms.
    pub fn crashed(
        &mut self,
        parts: &[Fingerprint],
        target: TargetId,
        now: Duration,
    ) -> Vec<QuarantineMessage> {
        self.crashed_before(parts, target, Duration::ZERO, now)
    }

    /// Counts a crash that was found some time later. Returns the messages for all other vms.
    pub fn crashed_before(
        &mut self,
        parts: &[Fingerprint],
        target: TargetId,
        age: Duration,
        now: Duration,
    ) -> Vec<QuarantineMessage> {
        let sound_since = now.saturating_sub(self.config.sound_time + age);
        let mut messages = Vec::new();
        for part in parts {
            let is_sound = self.sound.peek(part).is_some_and(|at| *at >= sound_since);
            if !is_sound {
                let fingerprint = *part;
                let event = QuarantineEvent::Crashed {
                    fingerprint,
                    target,
                    age,
                };
                self.step(event, now, &mut messages);
            }
        }
        messages
    }

    /// Clears the parts of a request that was answered completely. Returns the messages for all
    /// other vms.
    pub fn completed(&mut self, parts: &[Fingerprint], now: Duration) -> Vec<QuarantineMessage> {
        let mut messages = Vec::new();
        for part in parts {
            self.sound.put(*part, now);
            if !self.counts.has_no_counts() && self.counts.verdict(*part, now) != Verdict::Clear {
                let event = QuarantineEvent::Completed { fingerprint: *part };
                self.step(event, now, &mut messages);
            }
        }
        messages
    }

    /// The first of these parts for which a request must be refused.
    pub fn refused_part(&self, parts: &[Fingerprint], now: Duration) -> Option<RefusedPart> {
        if self.counts.has_no_counts() {
            return None;
        }
        parts
            .iter()
            .find_map(|part| match self.counts.verdict(*part, now) {
                Verdict::Refuse { retry_after } => Some(RefusedPart {
                    fingerprint: *part,
                    retry_after,
                }),
                Verdict::Clear | Verdict::Suspect => None,
            })
    }

    /// Whether crashes count against one of these parts.
    pub fn is_any_suspect(&self, parts: &[Fingerprint], now: Duration) -> bool {
        let mut parts = parts.iter();
        !self.counts.has_no_counts()
            && parts.any(|part| self.counts.verdict(*part, now) != Verdict::Clear)
    }

    /// Whether a request may test a refused part. Only one vm of the fleet may ask.
    pub fn take_trial(&mut self, part: Fingerprint, now: Duration) -> bool {
        let interval = self.config.trial_interval;
        self.counts.take_trial(part, interval, now)
    }

    /// Number of crashed targets that are known for a part.
    pub fn crashed_targets(&self, part: Fingerprint, now: Duration) -> usize {
        self.counts.crashed_targets(part, now)
    }

    /// Merges a message of another vm. Returns the clear that the sender has missed.
    pub fn receive(
        &mut self,
        message: QuarantineMessage,
        now: Duration,
    ) -> Option<QuarantineMessage> {
        let missed = self.counts.missed_clear(&message);
        self.step(QuarantineEvent::Peer(message), now, &mut Vec::new());
        missed
    }

    /// Merges the counts of another vm.
    pub fn merge(&mut self, reports: &[CrashReport], now: Duration) {
        self.counts.merge(reports, now);
    }

    /// Merges counts that were stored some time ago.
    pub fn restore(&mut self, reports: &[CrashReport], age: Duration, now: Duration) {
        self.counts.restore(reports, age, now);
    }

    /// Counts to store.
    pub fn stored_reports(&self, now: Duration) -> Vec<CrashReport> {
        self.counts.stored_reports(now)
    }

    /// Digest of the counts, which is equal at vms with equal counts.
    pub fn digest(&self, now: Duration) -> u64 {
        self.counts.digest(now)
    }

    /// Counts to send with a query to another vm.
    pub fn recent_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.counts.recent_reports(now)
    }

    /// Counts to send in reply to a vm with the given digest.
    pub fn reports_for(&mut self, digest: u64, now: Duration) -> Vec<CrashReport> {
        self.counts.reports_for(digest, now)
    }

    /// Removes expired counts.
    pub fn expire(&mut self, now: Duration) {
        self.step(QuarantineEvent::Tick, now, &mut Vec::new());
    }

    fn step(
        &mut self,
        event: QuarantineEvent,
        now: Duration,
        messages: &mut Vec<QuarantineMessage>,
    ) {
        let mut commands = Vec::new();
        self.counts.step(event, now, &mut commands);
        let told = commands.into_iter();
        messages.extend(told.map(|QuarantineCommand::Broadcast(message)| message));
    }
}
