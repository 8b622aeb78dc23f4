//! Links between engines as a resource: queues of transfers, and links that are slower than usual.
//!
//! A computed prompt is fetched over the links of two engines, one transfer after the other. On
//! sound links a transfer takes a few milliseconds. A slow link saturates at a few dozen prompts per
//! second; its queue then grows until transfers are not started any more and computed prompts are
//! lost. A transfer that waits for the slow link of one engine also blocks the sound link of the
//! other one.
//!
//! All times here are in addition to those of an idle, sound link, so that decisions do not change
//! while all links are sound. See `docs/design/links.md`.

mod advice;
mod baseline;
mod evidence;
mod learning;
mod placer;
mod transfers;

use std::collections::HashMap;
use std::time::Duration;

use advice::Advice;
pub use advice::{SlowLink, SlowLinks};
use baseline::Baseline;
use evidence::Evidence;
use transfers::{Transfer, Transfers};

use crate::gateway::catalog::{Catalog, TargetKey};
use crate::gateway::prompt_owner::{HandOverOutcome, PromptRequestId};

/// A computed prompt that a decode engine is to fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandOver {
    /// Engine that keeps the prompt.
    pub source: TargetKey,
    /// Length of the prompt.
    pub tokens: u64,
}

/// A hand-over that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedHandOver {
    /// The computed prompt.
    pub hand_over: HandOver,
    /// Decode engine that got the handle.
    pub target: TargetKey,
    /// Time from sending the request with the handle until its first event or refusal.
    pub took: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: HandOverOutcome,
}

/// What a hand-over showed about the links of its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HandOverFinding {
    /// Both links are sound.
    Fast,
    /// Both links may be sound.
    Usual,
    /// It waited for other transfers that are known.
    Queued,
    /// One of the links is slower than usual.
    Late,
    /// The decode engine did not start the transfer.
    NotStarted,
    /// Nothing, for example because too few hand-overs are known.
    Nothing,
}

/// Share of a link that is slower or faster than before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkChange {
    /// Engine of the link.
    pub key: TargetKey,
    /// Factor on the time of its transfers.
    pub factor: f64,
}

/// Factor from which a link is treated as slow. Below it, a link costs less than another zone.
const SLOW_FACTOR: f64 = 1.5;

/// Time after the last report of any hand-over for which factors are held.
const REPORTS_TIME: Duration = Duration::from_millis(500);

/// Interval in which a vm is told to test a slow link. It chooses the engine in one of about a dozen
/// cases, so a slow link gets about four prompts per second, and one that is sound again is known within
/// two seconds. With 40 ms, two of ten were not known by then in `gateway_links`.
const TEST_INTERVAL: Duration = Duration::from_millis(20);

/// Number of requests at an engine that are assumed to wait for its link. More of them generate their
/// answers already, above all at engines with many slots.
const MAX_QUEUED_TRANSFERS: f64 = 4.0;

/// Number of transfers that one over a slow link delays, on the links of both engines.
const OTHERS_WEIGHT: f64 = 4.0;

/// Link of one engine.
#[derive(Debug, Default)]
struct EngineLink {
    /// Transfers that the owner of the service has put on the link and that have not ended.
    transfers: Transfers,
    evidence: Evidence,
    /// Until when the link, if it is slow, is used by prompts that this vm and, presumably, the
    /// others have sent to the engine.
    shared_until: Duration,
    /// Until when the link is used by copies of cached parts.
    copies_until: Duration,
    /// When a vm was last told to test the link.
    tested_at: Duration,
}

/// Links of all engines.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Links {
    engines: HashMap<TargetKey, EngineLink>,
    baselines: HashMap<String, Baseline>,
    /// Transfers in the queues, with their engine and the number of tokens.
    owned: HashMap<PromptRequestId, HandOver>,
    advice: Advice,
    /// When the end of a hand-over was last recorded.
    last_end: Duration,
    /// Services whose links seem to be slow for the most part, and when they were last counted.
    common: HashMap<u64, CommonDelay>,
}

impl Links {
    /// Factor on the time of transfers over the link of an engine. 1 means as usual.
    pub(in crate::gateway) fn factor(&self, key: TargetKey, now: Duration) -> f64 {
        let link = self.engines.get(&key);
        let link = link.filter(|link| !self.is_common(link));
        let own = link.map_or(1.0, |link| link.factor(now));
        own.max(self.advice.factor(key, now))
    }

    /// Factor that does not decay while hand-overs are reported, of a link that vms test when they are
    /// told to.
    fn held_factor(&self, key: TargetKey, now: Duration) -> f64 {
        let link = self.engines.get(&key);
        let has_reports = now < self.last_end + REPORTS_TIME;
        let held = link.filter(|link| has_reports && !self.is_common(link));
        let held = held.map_or(1.0, |link| link.evidence.held_factor());
        held.max(self.factor(key, now))
    }

    fn is_test_due(&self, key: TargetKey, now: Duration) -> bool {
        let link = self.engines.get(&key);
        link.is_some_and(|link| now >= link.tested_at + TEST_INTERVAL)
    }

    fn record_test(&mut self, key: TargetKey, now: Duration) {
        self.engines.entry(key).or_default().tested_at = now;
    }

    /// Takes the factor that another owner knows, if the link is slow, for evidence.
    fn succeed(&mut self, key: TargetKey, factor: Option<f64>, now: Duration) {
        match factor {
            Some(factor) => {
                let link = self.engines.entry(key).or_default();
                link.evidence.succeed(factor, now);
            }
            None => {
                if let Some(link) = self.engines.get_mut(&key) {
                    link.evidence.clear();
                }
            }
        }
    }

    /// Records that the links that another owner knows have not changed.
    fn confirm(&mut self, keys: impl Iterator<Item = TargetKey>, now: Duration) {
        for key in keys {
            if let Some(link) = self.engines.get_mut(&key) {
                link.evidence.confirm(now);
            }
        }
    }

    /// Whether most links of the service seem to be slow.
    fn is_common(&self, link: &EngineLink) -> bool {
        let common = self.common.get(&link.evidence.service);
        common.is_some_and(|common| common.is_common)
    }

    pub(super) fn is_slow(&self, key: TargetKey, now: Duration) -> bool {
        self.factor(key, now) >= SLOW_FACTOR
    }

    /// Time until the link of an engine has ended the transfers of all prompts that are computed
    /// before `ready_by`, in milliseconds.
    fn wait_ms(&self, key: TargetKey, ready_by: Duration, now: Duration) -> f64 {
        let Some(link) = self.engines.get(&key) else {
            return 0.0;
        };
        let factor = self.factor(key, now);
        let queue_ms = link.transfers.wait_ms(factor, self.last_end, ready_by, now);
        queue_ms.max(milliseconds(link.copies_until.saturating_sub(now)))
    }

    /// Additional time of handing a prompt over from an engine that has computed it after
    /// `ready_ms`, compared with an idle, sound link, in milliseconds.
    pub(super) fn delay_from_ms(
        &self,
        key: TargetKey,
        nominal_ms: f64,
        ready_ms: f64,
        now: Duration,
    ) -> f64 {
        // The engine computes one prompt after the other, so all others are ready before.
        let wait_ms = (self.wait_ms(key, Duration::MAX, now) - ready_ms).max(0.0);
        wait_ms + nominal_ms * (self.factor(key, now) - 1.0)
    }

    /// Additional time of handing a prompt over to an engine, compared with an idle, sound link, in
    /// milliseconds. `source` is the engine that has computed it, if it is known.
    pub(super) fn delay_to_ms(
        &self,
        key: TargetKey,
        source: Option<TargetKey>,
        nominal_ms: f64,
        now: Duration,
    ) -> f64 {
        let own = self.factor(key, now);
        let factor = source.map_or(own, |source| own.max(self.factor(source, now)));
        let link = self.engines.get(&key).filter(|_| own >= SLOW_FACTOR);
        let shared = link.map_or(Duration::ZERO, |l| l.shared_until.saturating_sub(now));
        milliseconds(shared) + nominal_ms * (factor - 1.0)
    }

    /// Delay of other transfers by one over a slow link, in milliseconds. While it lasts, the other
    /// engine's link cannot be used either.
    pub(super) fn delay_of_others_ms(
        &self,
        key: TargetKey,
        source: Option<TargetKey>,
        nominal_ms: f64,
        now: Duration,
    ) -> f64 {
        let own = self.factor(key, now);
        let factor = source.map_or(own, |source| own.max(self.factor(source, now)));
        nominal_ms * (factor - 1.0) * OTHERS_WEIGHT
    }

    /// Additional time for which the given number of requests at an engine keep its link, in
    /// milliseconds.
    pub(super) fn queue_to_ms(
        &self,
        key: TargetKey,
        requests: f64,
        nominal_ms: f64,
        now: Duration,
    ) -> f64 {
        let transfers = requests.min(MAX_QUEUED_TRANSFERS);
        nominal_ms * (self.factor(key, now) - 1.0) * transfers
    }

    /// Additional time of a copy of cached parts, compared with idle, sound links, in milliseconds.
    pub(super) fn copy_delay_ms(
        &self,
        from: TargetKey,
        to: TargetKey,
        nominal_ms: f64,
        now: Duration,
    ) -> f64 {
        let factor = self.factor(from, now).max(self.factor(to, now));
        let wait_ms = self.wait_ms(from, now, now).max(self.wait_ms(to, now, now));
        wait_ms + nominal_ms * (factor - 1.0)
    }

    /// Records that this vm sends a prompt to an engine whose link is slow. `vms` vms are assumed to
    /// send as many, so each uses its share of the link.
    pub(super) fn record_received(
        &mut self,
        key: TargetKey,
        nominal_ms: f64,
        vms: f64,
        now: Duration,
    ) {
        let factor = self.factor(key, now);
        if factor < SLOW_FACTOR {
            return;
        }
        let link = self.engines.entry(key).or_default();
        let time = duration(nominal_ms * factor * vms);
        link.shared_until = link.shared_until.max(now).saturating_add(time);
    }

    /// Records a copy of cached parts between two engines.
    pub(super) fn record_copy(
        &mut self,
        from: TargetKey,
        to: TargetKey,
        nominal_ms: f64,
        now: Duration,
    ) {
        let factor = self.factor(from, now).max(self.factor(to, now));
        for key in [from, to] {
            let link = self.engines.entry(key).or_default();
            let until = link.copies_until.max(now);
            link.copies_until = until.saturating_add(duration(nominal_ms * factor));
        }
    }

    /// Puts a transfer into the queue of the engine that will have computed its prompt at
    /// `ready_at`.
    pub(in crate::gateway) fn push(
        &mut self,
        id: PromptRequestId,
        hand_over: HandOver,
        nominal_ms: f64,
        ready_at: Duration,
    ) {
        self.owned.insert(id, hand_over);
        let link = self.engines.entry(hand_over.source).or_default();
        link.transfers.push(Transfer {
            id,
            nominal_ms,
            ready_at,
        });
    }

    /// Records when the prompt of a transfer was computed.
    pub(in crate::gateway) fn computed(&mut self, id: PromptRequestId, at: Duration) {
        if let Some(link) = self.link_of(id) {
            link.transfers.computed(id, at);
        }
    }

    /// Removes a transfer that will not take place.
    pub(in crate::gateway) fn cancel(&mut self, id: PromptRequestId) {
        if let Some(link) = self.link_of(id) {
            link.transfers.remove(id);
        }
        self.owned.remove(&id);
    }

    /// Removes a transfer that has ended, and those before it on the same link.
    pub(in crate::gateway) fn transferred(&mut self, id: PromptRequestId) -> Option<HandOver> {
        let hand_over = self.owned.remove(&id)?;
        let link = self.engines.get_mut(&hand_over.source)?;
        for earlier in link.transfers.ended(id) {
            self.owned.remove(&earlier);
        }
        Some(hand_over)
    }

    fn link_of(&mut self, id: PromptRequestId) -> Option<&mut EngineLink> {
        let key = self.owned.get(&id)?.source;
        self.engines.get_mut(&key)
    }

    pub(super) fn evict(&mut self, catalog: &Catalog, now: Duration) {
        self.engines.retain(|key, _| catalog.get(*key).is_some());
        for link in self.engines.values_mut() {
            for id in link.transfers.evict_lost(now) {
                self.owned.remove(&id);
            }
        }
        let engines = &self.engines;
        self.owned.retain(|_, h| engines.contains_key(&h.source));
    }
}

/// Whether most links of a service seem to be slow.
#[derive(Clone, Copy, Debug, Default)]
struct CommonDelay {
    is_common: bool,
    counted_at: Duration,
}

impl EngineLink {
    /// A link that was slow is tested with one transfer at a time.
    fn factor(&self, now: Duration) -> f64 {
        self.evidence.factor(now, !self.transfers.is_empty())
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Longest time in a queue. No caller waits for as long.
const MAX_QUEUE_MS: f64 = 60_000.0;

fn duration(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, MAX_QUEUE_MS) / 1000.0)
}
