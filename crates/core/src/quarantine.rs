//! Counts of the targets that crashed while running a request, so that a request that crashes
//! target after target is refused.
//!
//! See `docs/design.md`, section 5.7. Vms exchange counts as sets of targets, so that duplicate
//! messages have no effect. A change is sent to all vms at once, and counts travel with the queries
//! of [`PeerSelector`](crate::gateway::PeerSelector) as well, so that a vm gets them that missed the
//! message or started later. Reports have the number of times that the count was cleared: a report
//! with a smaller number is older than the last complete answer and is ignored.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use crate::authority::mix;
use crate::{Machine, RouteId, TargetId};

/// Maximum number of counts in one message of the periodic exchange. Six counts take about 0.6 KB,
/// so that four queries and four replies a second take half of the 10 KB/s that a vm may send.
const MAX_REPORTS_PER_MESSAGE: usize = 6;

/// Number of reports in a message that are chosen by importance if not all fit. The others take
/// turns.
const PREFERRED_REPORTS: usize = 3;

/// Time for which a changed count is sent with each query. After that, all vms that reply have it,
/// and the others get it in replies to their own queries.
const PUSH_LIFETIME: Duration = Duration::from_secs(2);

/// Remaining time below which counts are not passed on. The remaining time grows by the transmission
/// time with each hop, so vms would otherwise pass on a count that has expired at its origin, without
/// an end.
const MIN_REPORTED_TIME: Duration = Duration::from_secs(10);

/// Number of crashed targets from which a count is worth storing. Most counts are those of sound
/// requests that a crashed target had, and never grow.
const MIN_STORED_TARGETS: usize = 2;

/// Maximum number of counts that are stored.
const MAX_STORED_REPORTS: usize = 64;

/// Configuration of a [`Quarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Number of crashed targets at which a request is refused.
    pub refusal_threshold: usize,
    /// Time after which counts expire. The remaining time is sent as `Retry-After`.
    pub expiry: Duration,
    /// Maximum number of fingerprints. The oldest is evicted first, and refused ones last.
    pub max_entries: usize,
    /// Time between crashes that count separately. Crashes at one moment may have a common cause
    /// that is not the request, such as a network fault or the loss of an availability zone.
    pub min_spacing: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            refusal_threshold: 2,
            expiry: Duration::from_secs(600),
            max_entries: 4096,
            min_spacing: Duration::ZERO,
        }
    }
}

/// Number of crashed targets that are kept per count. More than the threshold are needed only if
/// some crashed at one moment.
const MAX_TARGETS: usize = 8;

/// Hash of a route and a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Hashes the route and the body that a target would execute.
    pub fn new(route: RouteId, body: &[u8]) -> Self {
        let digest = Sha256::new().chain_update(route.0.to_be_bytes());
        Self::shortened(digest.chain_update(body))
    }

    /// Hashes a prompt part for a model, under which it may crash targets whatever the request.
    pub fn of_prompt_part(model: &str, part: u64) -> Self {
        let digest = Sha256::new().chain_update(part.to_be_bytes());
        Self::shortened(digest.chain_update(model))
    }

    /// Hashes fields whose boundaries matter.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let digest = fields.iter().fold(Sha256::new(), |digest, field| {
            let length = (field.len() as u64).to_be_bytes();
            digest.chain_update(length).chain_update(field)
        });
        Self::shortened(digest)
    }

    fn shortened(digest: Sha256) -> Self {
        let mut short = [0; 16];
        short.copy_from_slice(&digest.finalize()[..16]);
        Self(short)
    }

    /// Returns the number of the shard that holds the fingerprint.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }

    fn halves(&self) -> (u64, u64) {
        let value = u128::from_be_bytes(self.0);
        ((value >> 64) as u64, value as u64)
    }
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No target is known to have crashed while running it.
    Clear,
    /// It must not share a target with another suspect.
    Suspect,
    /// It must be refused. It has run before, so the refusal must not say "not run".
    Refuse {
        /// Time until the count expires.
        retry_after: Duration,
    },
}

/// A message between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Targets crashed while running a request.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The crashed targets.
        targets: SmallVec<[TargetId; 2]>,
        /// Number of times that the count was cleared before. Earlier versions send none.
        #[serde(default)]
        clears: Option<u32>,
        /// Times since the crashes, if their spacing matters.
        #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
        ages_ms: SmallVec<[u32; 2]>,
    },
    /// The request was answered completely, so these crashes no longer count against it.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Targets to remove from the count.
        targets: SmallVec<[TargetId; 2]>,
        /// Number of times that the count has been cleared. Earlier versions send none.
        #[serde(default)]
        clears: Option<u32>,
    },
}

impl QuarantineMessage {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Crashed { fingerprint, .. } | Self::Cleared { fingerprint, .. } => *fingerprint,
        }
    }

    /// Whether the message changes a count that is worth storing.
    pub fn changes_stored(&self) -> bool {
        let (Self::Crashed { targets, .. } | Self::Cleared { targets, .. }) = self;
        targets.len() >= MIN_STORED_TARGETS
    }
}

/// A count in the periodic exchange between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of times that the count was cleared.
    pub clears: u32,
    /// Targets that have crashed since then.
    pub targets: SmallVec<[TargetId; 2]>,
    /// Time until the count expires.
    pub expires_in_ms: u32,
    /// Times since the crashes, if their spacing matters.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub ages_ms: SmallVec<[u32; 2]>,
}

/// Inputs of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineEvent {
    /// A target crashed while running a request of this vm.
    Crashed {
        /// The request.
        fingerprint: Fingerprint,
        /// The target.
        target: TargetId,
        /// Time since the crash, which may be found later.
        age: Duration,
    },
    /// A request of this vm was answered completely.
    #[serde(rename = "Whole")]
    Completed {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// Another vm sent a message.
    Peer(QuarantineMessage),
    /// Periodic timer.
    Tick,
}

/// Outputs of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Send the message to all other vms.
    #[serde(rename = "Tell")]
    Broadcast(QuarantineMessage),
}

/// Offset of the times of crashes, which can lie before the start of this vm's clock. It is
/// longer than a count is kept.
const CRASH_CLOCK_OFFSET: Duration = Duration::from_secs(24 * 3600);

/// A target that crashed, and when, with [`CRASH_CLOCK_OFFSET`].
#[derive(Clone, Copy, Debug)]
struct CrashedTarget {
    id: TargetId,
    at: Duration,
}

impl CrashedTarget {
    fn new(id: TargetId, age: Duration, now: Duration) -> Self {
        Self {
            id,
            at: (now + CRASH_CLOCK_OFFSET).saturating_sub(age),
        }
    }

    fn age(&self, now: Duration) -> Duration {
        (now + CRASH_CLOCK_OFFSET).saturating_sub(self.at)
    }
}

/// Count of a request. It has no targets once it was cleared; it is kept, because other vms may still
/// report the crashes before.
#[derive(Debug)]
struct CrashCount {
    clears: u32,
    targets: SmallVec<[CrashedTarget; 2]>,
    expires: Duration,
    /// Number of the last change at this vm, and its time.
    change: u64,
    changed_at: Duration,
    /// Number of requests that this vm let through to test whether they still crash targets.
    trials: u32,
}

impl CrashCount {
    fn target_ids(&self) -> SmallVec<[TargetId; 2]> {
        self.targets.iter().map(|target| target.id).collect()
    }

    fn ages_ms(&self, config: &QuarantineConfig, now: Duration) -> SmallVec<[u32; 2]> {
        if config.min_spacing.is_zero() {
            return SmallVec::new();
        }
        let ages = self.targets.iter().map(|target| target.age(now));
        ages.map(|age| age.as_millis().min(u32::MAX.into()) as u32)
            .collect()
    }

    /// Number of crashes that count, and the index of one that does not.
    fn moments(&self, min_spacing: Duration) -> (usize, Option<usize>) {
        let mut order: SmallVec<[usize; MAX_TARGETS]> = (0..self.targets.len()).collect();
        order.sort_unstable_by_key(|index| (self.targets[*index].at, self.targets[*index].id));
        let (mut number, mut surplus) = (0, None);
        let mut last: Option<Duration> = None;
        for index in order {
            let at = self.targets[index].at;
            if last.is_some_and(|last| at < last + min_spacing) {
                surplus = Some(index);
                continue;
            }
            (number, last) = (number + 1, Some(at));
        }
        (number, surplus)
    }
}

/// One shard of the counts.
#[derive(Debug)]
pub struct Quarantine {
    config: QuarantineConfig,
    counts: HashMap<Fingerprint, CrashCount>,
    /// Times at which the counts expire.
    expirations: BTreeSet<(Duration, Fingerprint)>,
    /// Number of changes of counts.
    changes: u64,
    /// The last report that was chosen by turn.
    last_in_turn: Option<Fingerprint>,
}

impl Quarantine {
    /// Creates an empty shard.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            counts: HashMap::new(),
            expirations: BTreeSet::new(),
            changes: 0,
            last_in_turn: None,
        }
    }

    /// Returns how a request must be treated.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let count = self.counts.get(&fingerprint).filter(|c| c.expires > now);
        match count {
            Some(count) if self.is_refused(count) => Verdict::Refuse {
                retry_after: count.expires - now,
            },
            Some(count) if !count.targets.is_empty() => Verdict::Suspect,
            _ => Verdict::Clear,
        }
    }

    /// Returns the number of targets that count against a request.
    pub fn crashed_targets(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        let count = self.counts.get(&fingerprint).filter(|c| c.expires > now);
        count.map_or(0, |count| count.targets.len())
    }

    fn is_refused(&self, count: &CrashCount) -> bool {
        let (moments, _) = count.moments(self.config.min_spacing);
        moments >= self.config.refusal_threshold
    }

    /// Whether no count exists, not even a cleared one.
    pub fn has_no_counts(&self) -> bool {
        self.counts.is_empty()
    }

    /// Lets a refused request through to test whether it still crashes targets. That is due after
    /// `interval`, and each time after twice as long as before. Only one vm may ask.
    pub fn take_trial(
        &mut self,
        fingerprint: Fingerprint,
        interval: Duration,
        now: Duration,
    ) -> bool {
        let Some(count) = self.counts.get_mut(&fingerprint) else {
            return false;
        };
        // The waits before add up to one interval less than the next one.
        let factor = 2_u32.saturating_pow(count.trials + 1) - 1;
        let is_due = now >= count.changed_at + interval.saturating_mul(factor);
        count.trials += u32::from(is_due);
        is_due
    }

    /// Returns the number of fingerprints with crashed targets.
    pub fn len(&self) -> usize {
        let counts = self.counts.values();
        counts.filter(|count| !count.targets.is_empty()).count()
    }

    /// Whether no fingerprint has crashed targets.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Digest of the counts that are passed on. Vms with equal counts have equal digests, and a vm
    /// without counts has 0.
    pub fn digest(&self, now: Duration) -> u64 {
        let passed_on = self.counts.iter().filter(|(_, c)| is_passed_on(c, now));
        passed_on.fold(0, |digest, (fingerprint, count)| {
            // Vms may refuse a request because of different targets.
            let targets = match self.is_refused(count) {
                true => u64::MAX,
                false => count.targets.iter().fold(0, |sum, t| sum ^ mix(t.id.0)),
            };
            let (high, low) = fingerprint.halves();
            digest ^ mix(high ^ mix(low ^ mix(u64::from(count.clears) ^ mix(targets))))
        })
    }

    /// Counts to send with a query to another vm: those that have changed recently.
    pub fn recent_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        self.reports(now, |count| now < count.changed_at + PUSH_LIFETIME)
    }

    /// Counts to send in reply to a vm with the given digest. None if its counts are the same.
    pub fn reports_for(&mut self, digest: u64, now: Duration) -> Vec<CrashReport> {
        if digest == self.digest(now) {
            return Vec::new();
        }
        self.reports(now, |_| true)
    }

    fn reports(
        &mut self,
        now: Duration,
        is_included: impl Fn(&CrashCount) -> bool,
    ) -> Vec<CrashReport> {
        let counts = self.counts.iter();
        let mut reported: Vec<_> = counts
            .filter(|(_, count)| is_passed_on(count, now) && is_included(count))
            .map(|(fingerprint, count)| {
                let importance = (self.is_refused(count), count.change);
                (Reverse(importance), *fingerprint)
            })
            .collect();
        if reported.len() > MAX_REPORTS_PER_MESSAGE {
            reported.sort_unstable();
            let in_turn = &mut reported[PREFERRED_REPORTS..];
            in_turn.sort_unstable_by_key(|(_, fingerprint)| *fingerprint);
            let first = in_turn.partition_point(|(_, f)| Some(*f) <= self.last_in_turn);
            in_turn.rotate_left(first);
            reported.truncate(MAX_REPORTS_PER_MESSAGE);
            self.last_in_turn = reported.last().map(|(_, fingerprint)| *fingerprint);
        }
        let fingerprints = reported.iter().map(|(_, fingerprint)| fingerprint);
        fingerprints
            .filter_map(|fingerprint| self.report(*fingerprint, now))
            .collect()
    }

    fn report(&self, fingerprint: Fingerprint, now: Duration) -> Option<CrashReport> {
        let count = self.counts.get(&fingerprint)?;
        Some(CrashReport {
            fingerprint,
            clears: count.clears,
            targets: count.target_ids(),
            expires_in_ms: count.expires.saturating_sub(now).as_millis() as u32,
            ages_ms: count.ages_ms(&self.config, now),
        })
    }

    /// Merges reports of another vm.
    pub fn merge(&mut self, reports: &[CrashReport], now: Duration) {
        self.expire(now);
        for report in reports.iter().take(MAX_REPORTS_PER_MESSAGE) {
            self.merge_report(report, Duration::ZERO, now);
        }
    }

    /// Merges counts that were stored some time ago.
    pub fn restore(&mut self, reports: &[CrashReport], age: Duration, now: Duration) {
        self.expire(now);
        for report in reports.iter().take(MAX_STORED_REPORTS) {
            self.merge_report(report, age, now);
        }
    }

    /// Counts to store: those that refuse requests, and then the most recently changed ones.
    pub fn stored_reports(&self, now: Duration) -> Vec<CrashReport> {
        let mut stored: Vec<_> = self
            .counts
            .iter()
            .filter(|(_, count)| {
                is_passed_on(count, now) && count.targets.len() >= MIN_STORED_TARGETS
            })
            .map(|(fingerprint, count)| {
                let importance = (self.is_refused(count), count.change);
                (Reverse(importance), *fingerprint)
            })
            .collect();
        stored.sort_unstable();
        let fingerprints = stored.into_iter().take(MAX_STORED_REPORTS);
        fingerprints
            .filter_map(|(_, fingerprint)| self.report(fingerprint, now))
            .collect()
    }

    /// Merges a report that was made some time ago.
    fn merge_report(&mut self, report: &CrashReport, age: Duration, now: Duration) {
        let remaining = Duration::from_millis(report.expires_in_ms.into()).saturating_sub(age);
        if remaining <= MIN_REPORTED_TIME {
            return;
        }
        let expires = now + remaining.min(self.config.expiry);
        let mut targets = crashed_targets(&report.targets, &report.ages_ms, now);
        for target in &mut targets {
            target.at = target.at.saturating_sub(age);
        }
        self.add(report.fingerprint, report.clears, &targets, expires, now);
    }

    /// The clear that the sender of a message has missed, to be sent back to it.
    pub fn missed_clear(&self, message: &QuarantineMessage) -> Option<QuarantineMessage> {
        let QuarantineMessage::Crashed {
            fingerprint,
            targets,
            clears: Some(clears),
            ..
        } = message
        else {
            return None;
        };
        let known = self.clears(*fingerprint);
        (*clears < known).then(|| QuarantineMessage::Cleared {
            fingerprint: *fingerprint,
            targets: targets.clone(),
            clears: Some(known),
        })
    }

    /// Number of times that a count was cleared.
    fn clears(&self, fingerprint: Fingerprint) -> u32 {
        self.counts.get(&fingerprint).map_or(0, |c| c.clears)
    }

    /// Adds targets that have crashed since the count was cleared `clears` times.
    fn add(
        &mut self,
        fingerprint: Fingerprint,
        clears: u32,
        targets: &[CrashedTarget],
        expires: Duration,
        now: Duration,
    ) {
        let (known, old_expires) = match self.counts.get(&fingerprint) {
            Some(count) if clears < count.clears => return,
            Some(count) if clears == count.clears => (count.targets.clone(), Some(count.expires)),
            Some(count) => (SmallVec::new(), Some(count.expires)),
            None => (SmallVec::new(), None),
        };
        let is_cleared = clears > self.clears(fingerprint);
        let mut count = CrashCount {
            clears,
            targets: known,
            expires,
            change: self.changes + 1,
            changed_at: now,
            trials: 0,
        };
        let mut is_changed = is_cleared;
        for target in targets {
            is_changed |= self.insert(&mut count, *target);
        }
        if !is_changed {
            return;
        }
        if let Some(old) = old_expires {
            self.expirations.remove(&(old, fingerprint));
        }
        count.expires = old_expires.map_or(expires, |old| old.max(expires));
        self.expirations.insert((count.expires, fingerprint));
        self.changes += 1;
        self.counts.insert(fingerprint, count);
        self.evict_oldest();
    }

    /// Adds a target to a count unless it is known or more would change nothing. Returns whether the
    /// count has changed.
    fn insert(&self, count: &mut CrashCount, target: CrashedTarget) -> bool {
        if self.is_refused(count) || count.targets.iter().any(|known| known.id == target.id) {
            return false;
        }
        if count.targets.len() >= MAX_TARGETS.max(self.config.refusal_threshold) {
            let (_, surplus) = count.moments(self.config.min_spacing);
            count.targets.remove(surplus.unwrap_or_default());
        }
        count.targets.push(target);
        true
    }

    /// Evicts the oldest counts. Those that refuse requests are kept as long as there are others.
    fn evict_oldest(&mut self) {
        while self.counts.len() > self.config.max_entries {
            let is_refused = |entry: &&(Duration, Fingerprint)| {
                let count = self.counts.get(&entry.1);
                count.is_some_and(|count| self.is_refused(count))
            };
            let mut oldest = self.expirations.iter();
            let evicted = oldest.find(|entry| !is_refused(entry));
            let evicted = evicted.or_else(|| self.expirations.first()).copied();
            let Some(evicted) = evicted else {
                return;
            };
            self.expirations.remove(&evicted);
            self.counts.remove(&evicted.1);
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(expires, fingerprint)) = self.expirations.first() {
            if expires > now {
                return;
            }
            self.expirations.pop_first();
            self.counts.remove(&fingerprint);
        }
    }

    /// Clears a count. Returns the targets that it had.
    fn clear(&mut self, fingerprint: Fingerprint, now: Duration) -> SmallVec<[TargetId; 2]> {
        let count = self.counts.get(&fingerprint);
        let targets = count.map_or_else(SmallVec::new, CrashCount::target_ids);
        if !targets.is_empty() {
            let clears = self.clears(fingerprint).saturating_add(1);
            self.add(fingerprint, clears, &[], now + self.config.expiry, now);
        }
        targets
    }

    /// Removes targets because of a message that does not say how often the count was cleared.
    fn remove(&mut self, fingerprint: Fingerprint, targets: &[TargetId], now: Duration) {
        let Some(count) = self.counts.get_mut(&fingerprint) else {
            return;
        };
        if count.targets.iter().all(|t| targets.contains(&t.id)) {
            self.clear(fingerprint, now);
            return;
        }
        count.targets.retain(|t| !targets.contains(&t.id));
    }

    fn receive(&mut self, message: QuarantineMessage, now: Duration) {
        let expires = now + self.config.expiry;
        match message {
            QuarantineMessage::Crashed {
                fingerprint,
                targets,
                clears,
                ages_ms,
            } => {
                let clears = clears.unwrap_or_else(|| self.clears(fingerprint));
                let targets = crashed_targets(&targets, &ages_ms, now);
                self.add(fingerprint, clears, &targets, expires, now);
            }
            QuarantineMessage::Cleared {
                fingerprint,
                clears: Some(clears),
                ..
            } => self.add(fingerprint, clears, &[], expires, now),
            QuarantineMessage::Cleared {
                fingerprint,
                targets,
                clears: None,
            } => self.remove(fingerprint, &targets, now),
        }
    }
}

/// Crashes that another vm reports. Those without an age count as recent.
fn crashed_targets(
    ids: &[TargetId],
    ages_ms: &[u32],
    now: Duration,
) -> SmallVec<[CrashedTarget; 2]> {
    let ages_ms = ages_ms.iter().copied().chain(std::iter::repeat(0));
    let targets = ids.iter().zip(ages_ms).take(MAX_TARGETS);
    targets
        .map(|(id, age_ms)| CrashedTarget::new(*id, Duration::from_millis(age_ms.into()), now))
        .collect()
}

/// Whether a count is sent in the periodic exchange.
fn is_passed_on(count: &CrashCount, now: Duration) -> bool {
    count.expires > now + MIN_REPORTED_TIME
}

impl Machine for Quarantine {
    type Event = QuarantineEvent;
    type Command = QuarantineCommand;

    fn step(&mut self, event: QuarantineEvent, now: Duration, out: &mut Vec<QuarantineCommand>) {
        self.expire(now);
        match event {
            QuarantineEvent::Crashed {
                fingerprint,
                target,
                age,
            } => {
                let clears = self.clears(fingerprint);
                let expires = now + self.config.expiry;
                let crashed = CrashedTarget::new(target, age, now);
                self.add(fingerprint, clears, &[crashed], expires, now);
                if let Some(count) = self.counts.get(&fingerprint) {
                    out.push(QuarantineCommand::Broadcast(QuarantineMessage::Crashed {
                        fingerprint,
                        targets: count.target_ids(),
                        clears: Some(count.clears),
                        ages_ms: count.ages_ms(&self.config, now),
                    }));
                }
            }
            QuarantineEvent::Completed { fingerprint } => {
                let targets = self.clear(fingerprint, now);
                if !targets.is_empty() {
                    out.push(QuarantineCommand::Broadcast(QuarantineMessage::Cleared {
                        fingerprint,
                        targets,
                        clears: Some(self.clears(fingerprint)),
                    }));
                }
            }
            QuarantineEvent::Peer(message) => self.receive(message, now),
            QuarantineEvent::Tick => {}
        }
    }
}
