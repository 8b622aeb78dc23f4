//! What hand-overs show about links.

use std::cmp::Ordering;
use std::time::Duration;

use super::evidence::{Evidence, is_late, lateness};
use super::{EndedHandOver, HandOverFinding, Links, SLOW_FACTOR, milliseconds};
use crate::gateway::catalog::TargetKey;
use crate::gateway::placement::hash_of;
use crate::gateway::prompt_owner::HandOverOutcome;

/// Shortest transfer to which others are compared. Shorter ones say nothing about a link.
const MIN_NOMINAL_MS: f64 = 0.1;

/// Share of the links of a service that may be slow at a time. If more seem to be slow, prompts have
/// nowhere else to go, and the hand-overs take longer for another reason.
const COMMON_SHARE: f64 = 0.6;

/// Interval between counts of slow links.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// Time since its last transfer after which a link is not counted.
const IN_USE_TIME: Duration = Duration::from_secs(2);

/// One end of a hand-over, with what was known before it.
#[derive(Clone, Copy, Debug)]
struct EndOfLink {
    key: TargetKey,
    evidence: Evidence,
}

impl Links {
    /// Learns from a hand-over that has ended. `nominal_ms` is the time of its transfer over idle,
    /// sound links.
    pub(super) fn learn(
        &mut self,
        service: &str,
        ended: &EndedHandOver,
        nominal_ms: f64,
    ) -> HandOverFinding {
        self.last_end = self.last_end.max(ended.ended_at);
        match ended.outcome {
            HandOverOutcome::Unknown => return HandOverFinding::Nothing,
            HandOverOutcome::NotStarted => return self.learn_refusal(ended),
            HandOverOutcome::Started => {}
        }
        let took_ms = milliseconds(ended.took);
        let baseline = self.baselines.entry(service.to_owned()).or_default();
        let usual = baseline.usual();
        let service = hash_of(service);
        let common = self.common.entry(service).or_default();
        baseline.update(took_ms - nominal_ms, common.is_common, ended.ended_at);
        let [source, target] = self.ends(ended).map(|link| link.evidence);
        let finding = match usual {
            None => HandOverFinding::Nothing,
            Some(usual) => {
                let excess_ms = took_ms - nominal_ms - usual.overhead_ms;
                if excess_ms <= 0.0 {
                    self.record_fast(ended);
                    HandOverFinding::Fast
                } else {
                    // The transfer cannot have started before earlier ones on the same links ended.
                    let since = |link: &Evidence| link.time_since_last_end_ms(ended.ended_at);
                    let alone_ms = (took_ms - usual.overhead_ms)
                        .min(since(&source))
                        .min(since(&target));
                    // Links of less than half of the usual speed matter.
                    let spread_ms = usual.spread_ms.max(nominal_ms / 2.0);
                    let late = lateness(alone_ms - nominal_ms, spread_ms);
                    if is_late(late) {
                        self.blame(ended, late, alone_ms / nominal_ms.max(MIN_NOMINAL_MS));
                        HandOverFinding::Late
                    } else {
                        self.record_usual(ended, late);
                        match is_late(lateness(excess_ms, spread_ms)) {
                            true => HandOverFinding::Queued,
                            false => HandOverFinding::Usual,
                        }
                    }
                }
            }
        };
        for key in [ended.hand_over.source, ended.target] {
            let link = self.engines.entry(key).or_default();
            link.evidence.record_end(ended.ended_at);
            link.evidence.service = service;
        }
        self.count_slow(service, ended.ended_at);
        finding
    }

    /// Checks whether most links of a service seem to be slow. Then it is something else that takes
    /// longer, for example the engines that answer.
    fn count_slow(&mut self, service: u64, now: Duration) {
        let common = self.common.entry(service).or_default();
        if now < common.counted_at + COUNT_INTERVAL {
            return;
        }
        let links = self.engines.values().filter(|link| {
            let evidence = &link.evidence;
            evidence.service == service && evidence.is_in_use(IN_USE_TIME, now)
        });
        let (mut all, mut slow) = (0.0, 0.0);
        for link in links {
            all += 1.0;
            slow += f64::from(u8::from(link.factor(now) >= SLOW_FACTOR));
        }
        common.counted_at = now;
        common.is_common = slow > all * COMMON_SHARE;
    }

    fn ends(&mut self, ended: &EndedHandOver) -> [EndOfLink; 2] {
        [ended.hand_over.source, ended.target].map(|key| EndOfLink {
            key,
            evidence: self.engines.entry(key).or_default().evidence,
        })
    }

    fn record_fast(&mut self, ended: &EndedHandOver) {
        for EndOfLink { key, .. } in self.ends(ended) {
            let link = self.engines.entry(key).or_default();
            link.evidence.record_fast(ended.ended_at);
        }
    }

    fn record_usual(&mut self, ended: &EndedHandOver, late: f64) {
        for EndOfLink { key, .. } in self.ends(ended) {
            let link = self.engines.entry(key).or_default();
            link.evidence.record_usual(late);
        }
    }

    /// Counts a late transfer against the end that has less evidence of being sound: an end whose
    /// known factor explains it, or else each that had no fast transfer in the meantime.
    fn blame(&mut self, ended: &EndedHandOver, late: f64, ratio: f64) {
        let sent_at = ended.ended_at.saturating_sub(ended.took);
        let ends = self.ends(ended);
        let explains = ends.map(|end| end.evidence.explains(ratio, ended.ended_at));
        let is_explained = explains.contains(&true);
        for (end, explains) in ends.into_iter().zip(explains) {
            let is_blamed = match is_explained {
                true => explains,
                false => !end.evidence.has_been_fast_since(sent_at),
            };
            if is_blamed {
                let link = self.engines.entry(end.key).or_default();
                link.evidence.record_late(late, ratio, ended.ended_at);
            }
        }
    }

    /// Counts a transfer that was not started against the end that was sound less recently. Its
    /// queue is longer than any that a sound link has.
    fn learn_refusal(&mut self, ended: &EndedHandOver) -> HandOverFinding {
        let [source, target] = self.ends(ended);
        let order = source
            .evidence
            .last_fast()
            .cmp(&target.evidence.last_fast());
        let blamed = match order {
            Ordering::Less => &[source][..],
            Ordering::Equal => &[source, target][..],
            Ordering::Greater => &[target][..],
        };
        for end in blamed {
            let link = self.engines.entry(end.key).or_default();
            link.evidence.record_not_started(ended.ended_at);
        }
        HandOverFinding::NotStarted
    }
}
