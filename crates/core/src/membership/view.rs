//! Merging of what is heard, and the views that others use.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Heartbeat, Known, Membership, Record, VmState};
use crate::VmId;
use crate::authority::mix;

impl Membership {
    /// Takes a record over if it is newer. Returns whether it was.
    pub(super) fn merge(&mut self, record: Record, now: Duration) -> bool {
        let vm = record.vm;
        if vm == self.own.vm {
            return false;
        }
        let present = self.others.get_mut(&vm);
        let whole = match present {
            Some(known) if record.version() <= known.record.version() => return false,
            Some(known) => {
                let changed = known.record.state != record.state;
                known.record = record;
                known.heard = now;
                changed
            }
            None => {
                self.others.insert(vm, Known::new(record, now, false));
                true
            }
        };
        let (_, pending_whole) = self.news.get(&vm).copied().unwrap_or_default();
        let news = (self.config.repeats, whole || pending_whole);
        self.news.insert(vm, news);
        true
    }

    /// Takes a heartbeat over. Returns false if the vm is not known yet.
    pub(super) fn beat(&mut self, beat: Heartbeat, now: Duration) -> bool {
        let (vm, incarnation, heartbeat) = beat;
        if vm == self.own.vm {
            return true;
        }
        let Some(known) = self.others.get_mut(&vm) else {
            return false;
        };
        if known.record.incarnation > incarnation {
            return true;
        }
        if known.record.incarnation < incarnation {
            // A vm keeps its number and addresses when its process restarts.
            known.record.incarnation = incarnation;
            known.record.state = VmState::Live;
            known.record.heartbeat = 0;
        }
        if heartbeat > known.record.heartbeat {
            known.record.heartbeat = heartbeat;
            known.heard = now;
            self.news.entry(vm).or_default().0 = self.config.repeats;
        }
        true
    }

    pub(super) fn on_listed(&mut self, records: Vec<Record>, now: Duration) {
        self.list_read = true;
        for known in self.others.values_mut() {
            known.listed = false;
        }
        for record in records {
            let vm = record.vm;
            if vm == self.own.vm {
                continue;
            }
            let leaving = record.state == VmState::Leaving;
            // The list knows no runs, so what it says never replaces what the vm says itself.
            let placeholder = Record {
                incarnation: Default::default(),
                state: VmState::Live,
                heartbeat: 0,
                ..record
            };
            let capacity = placeholder.capacity_millicores;
            let known = self.others.entry(vm);
            let known = known.or_insert_with(|| Known::new(placeholder, now, true));
            // Vms that are known from seeds or heartbeats alone have not told it yet.
            if known.record.capacity_millicores == 0 {
                known.record.capacity_millicores = capacity;
            }
            known.listed = true;
            known.listed_leaving = leaving;
        }
    }

    pub(super) fn on_exchanged(&mut self, with: VmId, answered: bool, now: Duration) {
        let limit = self.config.failures;
        let retry_at = now + self.config.retry_after;
        let Some(known) = self.others.get_mut(&with) else {
            return;
        };
        if answered {
            known.heard = now;
            known.failures = 0;
            known.suspect_until = None;
            return;
        }
        known.failures += 1;
        if known.failures >= limit {
            known.suspect_until = Some(retry_at);
        }
    }

    /// Drops vms that neither the list nor their heartbeats show any more.
    pub(super) fn forget_gone(&mut self, now: Duration) {
        let limit = self.unreachable_after();
        self.others
            .retain(|_, known| known.listed || now < known.heard + limit * 2);
        let others = &self.others;
        self.news
            .retain(|vm, _| *vm == self.own.vm || others.contains_key(vm));
    }

    /// Number of vms that this vm knows, itself included.
    pub(super) fn size(&self) -> u32 {
        self.others.len() as u32 + 1
    }

    pub(super) fn heartbeat_interval(&self) -> Duration {
        let scaled = self.config.heartbeat_per_vm * self.size();
        scaled.max(self.config.heartbeat_min)
    }

    fn unreachable_after(&self) -> Duration {
        let missed = self.heartbeat_interval() * self.config.missed_heartbeats;
        missed + self.config.gossip_allowance
    }

    fn is_reachable(&self, known: &Known, now: Duration) -> bool {
        let suspect = known.suspect_until.is_some_and(|until| now < until);
        !suspect && now < known.heard + self.unreachable_after()
    }

    fn is_leaving(known: &Known) -> bool {
        known.listed_leaving || known.record.state == VmState::Leaving
    }

    /// Vms that can be reached, this one included. Leaving vms are among them, as they still run.
    pub fn live(&self, now: Duration) -> Vec<VmId> {
        let others = self.others.iter();
        let mut live: Vec<_> = others
            .filter(|(_, known)| self.is_reachable(known, now))
            .map(|(vm, _)| *vm)
            .chain([self.own.vm])
            .collect();
        live.sort_unstable();
        live
    }

    /// Vms that may decide for all others: those that can be reached, do not leave, and have at least
    /// half the processor of the largest of them. This one is among them if no other stays.
    pub fn coordinator_candidates(&self, now: Duration) -> Vec<VmId> {
        let others = self.others.values();
        let mut staying: SmallVec<[&Record; 16]> = others
            .filter(|known| self.is_reachable(known, now) && !Self::is_leaving(known))
            .map(|known| &known.record)
            .collect();
        if staying.is_empty() || self.own.state != VmState::Leaving {
            staying.push(&self.own);
        }
        let largest = staying
            .iter()
            .map(|record| record.capacity_millicores)
            .max();
        let least = largest.unwrap_or_default() / 2;
        let able = staying.iter().filter(|r| r.capacity_millicores >= least);
        let mut able: Vec<_> = able.map(|record| record.vm).collect();
        able.sort_unstable();
        able
    }

    /// Vms of the platform's list, this one included.
    pub fn listed(&self) -> Vec<VmId> {
        let others = self.others.iter().filter(|(_, known)| known.listed);
        let mut listed: Vec<_> = others.map(|(vm, _)| *vm).chain([self.own.vm]).collect();
        listed.sort_unstable();
        listed
    }

    /// Record of a vm.
    pub fn record(&self, vm: VmId) -> Option<&Record> {
        if vm == self.own.vm {
            return Some(&self.own);
        }
        self.others.get(&vm).map(|known| &known.record)
    }

    /// Vms that a caller may use, best first: the caller's zone before the others, each part
    /// rotated by `hash` so that callers spread. Leaving and unreachable vms are left out.
    pub fn addresses(&self, zone: &str, hash: u64, now: Duration) -> Vec<&Record> {
        let others = self.others.values();
        let usable = others.filter(|k| !Self::is_leaving(k) && self.is_reachable(k, now));
        let mut usable: Vec<_> = usable.map(|known| &known.record).collect();
        if self.own.state == VmState::Live {
            usable.push(&self.own);
        }
        usable.sort_by_key(|record| record.vm);
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|r| r.zone == zone);
        for part in [&mut near, &mut far] {
            if !part.is_empty() {
                let shift = (hash % part.len() as u64) as usize;
                part.rotate_left(shift);
            }
        }
        near.append(&mut far);
        near
    }

    /// How long callers may keep an address answer.
    pub fn address_lifetime(&self) -> Duration {
        self.config.address_lifetime
    }
}

/// Whether `vm` is among the first `count` of `vms` in an order that all vms compute alike.
pub fn is_among_first(vm: VmId, vms: &[VmId], count: usize) -> bool {
    let weight = |vm: VmId| (mix(u64::from(vm.0)), vm);
    let own = weight(vm);
    vms.iter().filter(|other| weight(**other) < own).count() < count
}

impl Known {
    fn new(record: Record, now: Duration, listed: bool) -> Self {
        Self {
            record,
            heard: now,
            listed,
            listed_leaving: false,
            failures: 0,
            suspect_until: None,
        }
    }
}
