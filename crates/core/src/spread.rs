//! Selection of the receivers of the schedulers' and the limiter's digests.
//!
//! In a small fleet, each vm sends each message to all others at every tick. In a large fleet, the
//! traffic per vm would grow with the fleet. There, scheduler digests are truncated and sent to a
//! few random vms; load reports cover the work of vms whose digests did not arrive. Each vm that
//! learns of a leaving target forwards this at once.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::peer::PeerMessage;
use crate::scheduler::Digest;
use crate::targets::TargetState;
use crate::{TargetId, VmId};

/// Configuration of a [`GossipFanout`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipFanoutConfig {
    /// Number of other vms up to which each message is sent to all of them.
    pub broadcast_up_to: usize,
    /// Interval between gossip rounds in a larger fleet.
    pub interval: Duration,
    /// Number of vms that receive the scheduler digests of one round.
    pub fanout: usize,
    /// Number of vms that receive the notice of a leaving target. With eight, a notice reaches 360
    /// vms in about four hops and misses one with probability 1 - exp(-8).
    pub urgent_fanout: usize,
    /// Maximum length of each list in a truncated digest.
    pub max_entries: usize,
    /// Seed of the random number generator.
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

/// Chooses the receivers of digests.
#[derive(Debug)]
pub struct GossipFanout {
    config: GossipFanoutConfig,
    rng: SmallRng,
    next_round: Duration,
    /// Leaving targets whose notice was already forwarded.
    forwarded: BTreeSet<TargetId>,
    /// Messages that are sent to all vms in the next round.
    broadcast_queue: Vec<PeerMessage>,
}

impl GossipFanout {
    /// Creates the state of a new process.
    pub fn new(config: GossipFanoutConfig) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(config.seed),
            next_round: Duration::ZERO,
            forwarded: BTreeSet::new(),
            broadcast_queue: Vec::new(),
            config,
        }
    }

    /// Returns the envelopes to send for the messages of one tick.
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
        let (digests, other_messages): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|m| matches!(m, PeerMessage::Scheduler { .. }));
        for message in other_messages {
            self.queue_for_broadcast(message);
        }
        let mut envelopes = self.urgent_envelopes(&digests, others);
        if now < self.next_round {
            return envelopes;
        }
        // The jitter keeps vms that started together from sending at the same time.
        self.next_round = now
            + self
                .config
                .interval
                .mul_f64(self.rng.random_range(0.9..1.1));
        let truncated: Vec<_> = digests
            .into_iter()
            .map(|m| self.truncate_digest(m))
            .collect();
        let broadcasts = std::mem::take(&mut self.broadcast_queue);
        if broadcasts.is_empty() {
            envelopes.extend(self.address_to_random(truncated, self.config.fanout, others));
            return envelopes;
        }
        let chosen = others
            .iter()
            .copied()
            .choose_multiple(&mut self.rng, self.config.fanout);
        for vm in others {
            let mut messages = broadcasts.clone();
            if chosen.contains(vm) {
                messages.extend(truncated.iter().cloned());
            }
            envelopes.push((*vm, messages));
        }
        envelopes
    }

    /// Queues a message for all vms. The shares of limits depend on the demand of all vms, and each
    /// vm needs the updates of all targets.
    fn queue_for_broadcast(&mut self, message: PeerMessage) {
        let queued = self.broadcast_queue.iter_mut().find_map(|m| match m {
            PeerMessage::Targets(updates) => Some(updates),
            _ => None,
        });
        match (message, queued) {
            (PeerMessage::Targets(mut updates), Some(queued)) => queued.append(&mut updates),
            (message, _) => self.broadcast_queue.push(message),
        }
    }

    /// Addresses the messages to some random vms.
    fn address_to_random(
        &mut self,
        messages: Vec<PeerMessage>,
        receivers: usize,
        others: &[VmId],
    ) -> Vec<(VmId, Vec<PeerMessage>)> {
        let chosen = others.iter().choose_multiple(&mut self.rng, receivers);
        let envelopes = chosen.into_iter().map(|vm| (*vm, messages.clone()));
        envelopes.collect()
    }

    /// Returns partial digests with the leaving targets that were not forwarded yet.
    fn urgent_envelopes(
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
            closed.retain(|(target, _)| !self.forwarded.contains(target));
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
        self.forwarded = leaving;
        if messages.is_empty() {
            return Vec::new();
        }
        self.address_to_random(messages, self.config.urgent_fanout, others)
    }

    /// Truncates a digest to the largest loads and a random selection of the other entries.
    fn truncate_digest(&mut self, message: PeerMessage) -> PeerMessage {
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
