//! Merging of received records and heartbeats, and the resulting views of the fleet.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Heartbeat, Membership, PeerState, Record, VmState};
use crate::VmId;
use crate::authority::mix;

impl Membership {
    /// Applies a record if it is newer. Returns whether it was.
    pub(super) fn merge(&mut self, record: Record, now: Duration) -> bool {
        let vm = record.vm;
        if vm == self.own.vm {
            return false;
        }
        let present = self.others.get_mut(&vm);
        let send_complete = match present {
            Some(known) if record.version() <= known.record.version() => return false,
            Some(known) => {
                let changed = known.record.state != record.state;
                known.record = record;
                known.last_heard = now;
                changed
            }
            None => {
                self.others.insert(vm, PeerState::new(record, now, false));
                true
            }
        };
        let (_, pending_complete) = self.updates.get(&vm).copied().unwrap_or_default();
        let update = (self.config.repeats, send_complete || pending_complete);
        self.updates.insert(vm, update);
        true
    }

    /// Applies a heartbeat. Returns false if there is no record of the vm yet.
    pub(super) fn merge_heartbeat(&mut self, received: Heartbeat, now: Duration) -> bool {
        let (vm, incarnation, heartbeat) = received;
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
            known.last_heard = now;
            self.updates.entry(vm).or_default().0 = self.config.repeats;
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
            // The list does not contain incarnations, so it never replaces a record from the vm
            // itself.
            let placeholder = Record {
                incarnation: Default::default(),
                state: VmState::Live,
                heartbeat: 0,
                ..record
            };
            let capacity = placeholder.capacity_millicores;
            let known = self.others.entry(vm);
            let known = known.or_insert_with(|| PeerState::new(placeholder, now, true));
            // The capacity is missing for vms that are known only from seeds or heartbeats.
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
            known.last_heard = now;
            known.failures = 0;
            known.suspect_until = None;
            return;
        }
        known.failures += 1;
        if known.failures >= limit {
            known.suspect_until = Some(retry_at);
        }
    }

    /// Drops vms that are no longer listed and whose heartbeats have stopped.
    pub(super) fn evict_unreachable(&mut self, now: Duration) {
        let limit = self.unreachable_after();
        self.others
            .retain(|_, known| known.listed || now < known.last_heard + limit * 2);
        let others = &self.others;
        self.updates
            .retain(|vm, _| *vm == self.own.vm || others.contains_key(vm));
    }

    /// Number of vms in this vm's view, including itself.
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

    fn is_reachable(&self, known: &PeerState, now: Duration) -> bool {
        let suspect = known.suspect_until.is_some_and(|until| now < until);
        !suspect && now < known.last_heard + self.unreachable_after()
    }

    fn is_leaving(known: &PeerState) -> bool {
        known.listed_leaving || known.record.state == VmState::Leaving
    }

    /// Reachable vms, including this one. Leaving vms are included, as they still run.
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

    /// Vms that may coordinate work for the fleet: those that are reachable, not leaving, and have
    /// at least half the CPU capacity of the largest of them. If all other vms are leaving or
    /// unreachable, this vm is returned even if it is leaving itself.
    pub fn coordinator_candidates(&self, now: Duration) -> Vec<VmId> {
        let others = self.others.values();
        let mut staying: SmallVec<[&Record; 16]> = others
            .filter(|known| self.is_reachable(known, now) && !Self::is_leaving(known))
            .map(|known| &known.record)
            .collect();
        if staying.is_empty() || self.own.state != VmState::Leaving {
            staying.push(&self.own);
        }
        let max_capacity = staying
            .iter()
            .map(|record| record.capacity_millicores)
            .max();
        let min_capacity = max_capacity.unwrap_or_default() / 2;
        let eligible = staying
            .iter()
            .filter(|r| r.capacity_millicores >= min_capacity);
        let mut eligible: Vec<_> = eligible.map(|record| record.vm).collect();
        eligible.sort_unstable();
        eligible
    }

    /// Vms of the platform's list, including this one.
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
    /// rotated by `hash` so that callers are spread. Leaving and unreachable vms are omitted.
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

/// Whether `vm` is among the first `count` of `vms` in an order that is the same on all vms.
pub fn is_among_first(vm: VmId, vms: &[VmId], count: usize) -> bool {
    let own = weight(vm);
    vms.iter().filter(|other| weight(**other) < own).count() < count
}

/// The first `count` of `vms` in an order that is the same on all vms.
pub fn first_of(vms: &[VmId], count: usize) -> SmallVec<[VmId; 8]> {
    let mut first: SmallVec<[VmId; 8]> = SmallVec::new();
    for vm in vms {
        let index = first.partition_point(|known| weight(*known) < weight(*vm));
        if index < count {
            first.truncate(count - 1);
            first.insert(index, *vm);
        }
    }
    first
}

fn weight(vm: VmId) -> (u64, VmId) {
    (mix(u64::from(vm.0)), vm)
}

impl PeerState {
    fn new(record: Record, now: Duration, listed: bool) -> Self {
        Self {
            record,
            last_heard: now,
            listed,
            listed_leaving: false,
            failures: 0,
            suspect_until: None,
        }
    }
}
