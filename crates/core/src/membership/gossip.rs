//! Gossip of heartbeats and updated records.
//!
//! `membership_traffic.rs` measures the encoded sizes over one period of heartbeats at 360 vms,
//! starting 2 s after a restart of the whole fleet; the figures are in `docs/CAPACITY.md`.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Command, Heartbeat, Membership, Message, Record};
use crate::VmId;

/// Interval, in rounds, at which a message is also sent to an unreachable vm.
const RETRY_ROUNDS: u32 = 4;

impl Membership {
    pub(super) fn tick_gossip(&mut self, now: Duration, out: &mut Vec<Command>) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_interval();
            self.own.heartbeat += 1;
            let update = self.updates.entry(self.own.vm).or_default();
            update.0 = self.config.repeats;
        }
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval * self.interval_factor();
        let peers = self.choose_peers(now);
        if peers.is_empty() {
            return;
        }
        let (beats, records) = self.take_updates();
        for to in peers {
            let message = Message::Gossip {
                beats: beats.clone(),
                records: records.clone(),
            };
            out.push(Command::Send { to, message });
        }
    }

    /// Returns random reachable vms and, every [`RETRY_ROUNDS`] rounds, one unreachable vm. Without
    /// it, two groups that were partitioned from each other would never detect that the network has
    /// recovered.
    fn choose_peers(&mut self, now: Duration) -> Vec<VmId> {
        let mut live = self.live(now);
        live.retain(|vm| *vm != self.own.vm);
        self.rounds += 1;
        let unreachable = self.others.keys().filter(|vm| !live.contains(vm)).copied();
        let unreachable = if self.rounds.is_multiple_of(RETRY_ROUNDS) {
            unreachable.choose(&mut self.rng)
        } else {
            None
        };
        let fanout = self.config.fanout;
        let mut peers = live.into_iter().choose_multiple(&mut self.rng, fanout);
        peers.extend(unreachable);
        peers
    }

    /// Factor for the gossip interval and the message size.
    fn interval_factor(&self) -> u32 {
        if self.size() > self.config.slow_above {
            2
        } else {
            1
        }
    }

    /// Takes the updates that have been sent least often, up to the limits, complete records first.
    fn take_updates(&mut self) -> (Vec<Heartbeat>, Vec<Record>) {
        let mut due: Vec<_> = self
            .updates
            .iter()
            .map(|(vm, update)| (*vm, *update))
            .collect();
        due.sort_by_key(|(_, (left, is_complete))| std::cmp::Reverse((*is_complete, *left)));
        let complete_count = due
            .iter()
            .filter(|(_, (_, is_complete))| *is_complete)
            .count();
        due.drain(self.config.max_whole.min(complete_count)..complete_count);
        due.truncate(self.config.max_records * self.interval_factor() as usize);
        let (mut beats, mut records) = (Vec::new(), Vec::new());
        for (vm, (left, is_complete)) in due {
            let Some(record) = self.record(vm).cloned() else {
                continue;
            };
            if is_complete {
                records.push(record);
            } else {
                beats.push((vm, record.incarnation, record.heartbeat));
            }
            match left {
                0 | 1 => self.updates.remove(&vm),
                _ => self.updates.insert(vm, (left - 1, is_complete)),
            };
        }
        (beats, records)
    }

    pub(super) fn on_gossip(
        &mut self,
        from: VmId,
        beats: Vec<Heartbeat>,
        records: Vec<Record>,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        for record in records {
            self.merge(record, now);
        }
        let mut unknown = Vec::new();
        for heartbeat in beats {
            if !self.merge_heartbeat(heartbeat, now) {
                unknown.push(heartbeat.0);
            }
        }
        if !unknown.is_empty() {
            let message = Message::Want(unknown);
            out.push(Command::Send { to: from, message });
        }
    }

    pub(super) fn send_requested_records(&self, to: VmId, vms: &[VmId], out: &mut Vec<Command>) {
        let known = vms.iter().filter_map(|vm| self.record(*vm)).cloned();
        let message = Message::Gossip {
            beats: Vec::new(),
            records: known.take(self.config.max_whole).collect(),
        };
        out.push(Command::Send { to, message });
    }
}
