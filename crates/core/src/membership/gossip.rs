//! Gossip of heartbeats and changes.
//!
//! Traffic at 360 vms: see `membership_traffic.rs`, which measures the encoded sizes.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{Beat, Command, Membership, Message, Record};
use crate::VmId;

impl Membership {
    pub(super) fn tick_gossip(&mut self, now: Duration, out: &mut Vec<Command>) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_interval();
            self.own.heartbeat += 1;
            let news = self.news.entry(self.own.vm).or_default();
            news.0 = self.config.repeats;
        }
        if now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval;
        let peers = self.live(now).into_iter().filter(|vm| *vm != self.own.vm);
        let peers = peers.choose_multiple(&mut self.rng, self.config.fanout);
        if peers.is_empty() {
            return;
        }
        let (beats, records) = self.take_news();
        for to in peers {
            let message = Message::Gossip {
                beats: beats.clone(),
                records: records.clone(),
            };
            out.push(Command::Send { to, message });
        }
    }

    /// The news that have been passed on least, bounded. Whole records come first.
    fn take_news(&mut self) -> (Vec<Beat>, Vec<Record>) {
        let mut due: Vec<_> = self.news.iter().map(|(vm, news)| (*vm, *news)).collect();
        due.sort_by_key(|(_, (left, whole))| std::cmp::Reverse((*whole, *left)));
        due.truncate(self.config.max_records);
        let (mut beats, mut records) = (Vec::new(), Vec::new());
        for (vm, (left, whole)) in due {
            let Some(record) = self.record(vm).cloned() else {
                continue;
            };
            if whole {
                records.push(record);
            } else {
                beats.push((vm, record.incarnation, record.heartbeat));
            }
            match left {
                0 | 1 => self.news.remove(&vm),
                _ => self.news.insert(vm, (left - 1, whole)),
            };
        }
        (beats, records)
    }

    pub(super) fn on_gossip(
        &mut self,
        from: VmId,
        beats: Vec<Beat>,
        records: Vec<Record>,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        for record in records {
            self.merge(record, now);
        }
        let mut unknown = Vec::new();
        for (vm, incarnation, heartbeat) in beats {
            if vm == self.own.vm {
                continue;
            }
            let known = self.record(vm).map(|r| r.incarnation);
            if known < Some(incarnation) {
                unknown.push(vm);
            } else if known == Some(incarnation) {
                let record = self.record(vm).cloned().unwrap_or_default();
                self.merge(
                    Record {
                        heartbeat,
                        ..record
                    },
                    now,
                );
            }
        }
        if !unknown.is_empty() {
            let message = Message::Want(unknown);
            out.push(Command::Send { to: from, message });
        }
    }

    pub(super) fn answer_want(&self, to: VmId, vms: &[VmId], out: &mut Vec<Command>) {
        let known = vms.iter().filter_map(|vm| self.record(*vm)).cloned();
        let message = Message::Gossip {
            beats: Vec::new(),
            records: known.take(self.config.max_records).collect(),
        };
        out.push(Command::Send { to, message });
    }
}
