//! Who gets the digests of the schedulers and the limiter.
//!
//! Small fleets tell everything to everybody at every tick. In a large fleet that would cost each
//! vm traffic in proportion to the fleet: there a scheduler's digest is shortened and goes to a few
//! random vms, and load reports stand in for the work of vms that were not heard of. A target that
//! leaves is passed on at once by every vm that hears of it.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::peer::PeerMessage;
use crate::scheduler::Digest;
use crate::targets::TargetState;
use crate::{TargetId, VmId};

/// Options of a [`GossipFanout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipFanoutConfig {
    /// Number of other vms up to which everybody gets everything.
    pub broadcast_up_to: usize,
    /// Time between two rounds in a larger fleet.
    pub interval: Duration,
    /// Receivers of one round.
    pub fanout: usize,
    /// Receivers of the news that a target leaves. Eight reach all of 360 vms in about four hops
    /// and miss one with probability 1 - exp(-8).
    pub urgent_fanout: usize,
    /// Longest lists in one digest.
    pub max_entries: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for GossipFanoutConfig {
    fn default() -> Self {
        Self {
            broadcast_up_to: 11,
            interval: Duration::from_secs(1),
            fanout: 1,
            urgent_fanout: 8,
            max_entries: 12,
            seed: 0,
        }
    }
}

/// Chooses receivers of digests.
#[derive(Debug)]
pub struct GossipFanout {
    config: GossipFanoutConfig,
    rng: SmallRng,
    next_round: Duration,
    /// Leaving targets that were passed on.
    passed_on: BTreeSet<TargetId>,
    /// What everybody gets with the next round.
    for_all: Vec<PeerMessage>,
}

impl GossipFanout {
    /// Creates the spread of a fresh process.
    pub fn new(config: GossipFanoutConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            next_round: Duration::ZERO,
            passed_on: BTreeSet::new(),
            for_all: Vec::new(),
            config,
        }
    }

    /// Envelopes to send for the messages of one tick.
    pub fn envelopes(
        &mut self,
        messages: Vec<PeerMessage>,
        others: &[VmId],
        now: Duration,
    ) -> Vec<(VmId, Vec<PeerMessage>)> {
        if others.len() <= self.config.broadcast_up_to {
            if messages.is_empty() {
                return Vec::new();
            }
            let all = others.iter().map(|vm| (*vm, messages.clone()));
            return all.collect();
        }
        let (digests, rest): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|m| matches!(m, PeerMessage::Scheduler { .. }));
        for message in rest {
            self.keep_for_all(message);
        }
        let mut envelopes = self.urgent(&digests, others);
        if now < self.next_round {
            return envelopes;
        }
        // Vms that started together must not stay in step.
        self.next_round = now
            + self
                .config
                .interval
                .mul_f64(self.rng.random_range(0.9..1.1));
        let short: Vec<_> = digests.into_iter().map(|m| self.shorten(m)).collect();
        let for_all = std::mem::take(&mut self.for_all);
        if for_all.is_empty() {
            envelopes.extend(self.for_some(short, self.config.fanout, others));
            return envelopes;
        }
        let chosen = others
            .iter()
            .copied()
            .choose_multiple(&mut self.rng, self.config.fanout);
        for vm in others {
            let mut messages = for_all.clone();
            if chosen.contains(vm) {
                messages.extend(short.iter().cloned());
            }
            envelopes.push((*vm, messages));
        }
        envelopes
    }

    /// Shares of limits need the demand of all vms, and a target is used by those who hear of it.
    fn keep_for_all(&mut self, message: PeerMessage) {
        let kept = self.for_all.iter_mut().find_map(|kept| match kept {
            PeerMessage::Targets(news) => Some(news),
            _ => None,
        });
        match (message, kept) {
            (PeerMessage::Targets(mut news), Some(kept)) => kept.append(&mut news),
            (message, _) => self.for_all.push(message),
        }
    }

    fn for_some(
        &mut self,
        messages: Vec<PeerMessage>,
        receivers: usize,
        others: &[VmId],
    ) -> Vec<(VmId, Vec<PeerMessage>)> {
        let chosen = others.iter().choose_multiple(&mut self.rng, receivers);
        let envelopes = chosen.into_iter().map(|vm| (*vm, messages.clone()));
        envelopes.collect()
    }

    /// Digests that say only which targets leave, if some were not passed on yet.
    fn urgent(
        &mut self,
        digests: &[PeerMessage],
        others: &[VmId],
    ) -> Vec<(VmId, Vec<PeerMessage>)> {
        let mut messages = Vec::new();
        let mut leaving = BTreeSet::new();
        for message in digests {
            let PeerMessage::Scheduler { route, digest } = message else {
                continue;
            };
            let mut closed = digest.closed.clone();
            closed.retain(|(_, state)| *state == TargetState::Leaving);
            leaving.extend(closed.iter().map(|(target, _)| *target));
            closed.retain(|(target, _)| !self.passed_on.contains(target));
            if closed.is_empty() {
                continue;
            }
            let digest = Digest {
                closed,
                partial: true,
                ..Digest::default()
            };
            let route = *route;
            messages.push(PeerMessage::Scheduler { route, digest });
        }
        self.passed_on = leaving;
        if messages.is_empty() {
            return Vec::new();
        }
        self.for_some(messages, self.config.urgent_fanout, others)
    }

    /// Keeps the largest loads and a random part of the rest.
    fn shorten(&mut self, message: PeerMessage) -> PeerMessage {
        let PeerMessage::Scheduler { route, mut digest } = message else {
            return message;
        };
        let entries = self.config.max_entries;
        digest
            .loads
            .sort_by_key(|(_, load)| std::cmp::Reverse((load.suspects, load.in_flight())));
        digest.loads.truncate(entries);
        digest.service = digest
            .service
            .into_iter()
            .choose_multiple(&mut self.rng, entries);
        digest.closed = digest
            .closed
            .into_iter()
            .choose_multiple(&mut self.rng, entries);
        digest.partial = true;
        PeerMessage::Scheduler { route, digest }
    }
}
