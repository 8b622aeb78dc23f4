//! Marks in force at this vm and its requests at marked targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::config::ChangeConfig;
use super::types::{Mark, MarkCount, Marks};
use crate::authority::{Holder, Scope};
use crate::{Incarnation, TargetId, VmId};

#[derive(Debug)]
struct ReceivedMarks {
    marks: Marks,
    received_at: Duration,
}

/// Peers that have sent a new vm the marks in force.
#[derive(Debug, Default)]
struct SyncProgress {
    /// Peers that have answered and are not syncing themselves.
    vms: BTreeSet<VmId>,
    /// Scopes whose holders have answered.
    scopes: BTreeSet<Scope>,
}

/// State of a vm as a sender of requests.
#[derive(Debug)]
pub(super) struct Participant {
    received: BTreeMap<Scope, ReceivedMarks>,
    in_flight: BTreeMap<TargetId, u32>,
    new_vms: BTreeMap<VmId, (Incarnation, Duration)>,
    /// Present until enough peers have answered.
    sync: Option<SyncProgress>,
    started_at: Option<Duration>,
    queried_at: Option<Duration>,
}

impl Participant {
    pub(super) fn new(config: &ChangeConfig) -> Self {
        Self {
            received: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            new_vms: BTreeMap::new(),
            sync: (!config.faults.skip_sync).then(SyncProgress::default),
            started_at: None,
            queried_at: None,
        }
    }

    /// True until enough peers have sent the marks that they have.
    pub(super) fn is_syncing(&self) -> bool {
        self.sync.is_some()
    }

    pub(super) fn is_marked(&self, target: TargetId) -> bool {
        let mut marks = self.received.values().flat_map(|r| &r.marks.marks);
        marks.any(|m| m.target == target)
    }

    pub(super) fn marked_targets(&self) -> impl Iterator<Item = TargetId> + '_ {
        let marks = self.received.values().flat_map(|r| &r.marks.marks);
        marks.map(|m| m.target)
    }

    pub(super) fn begin_request(&mut self, target: TargetId) -> bool {
        if self.is_syncing() || self.is_marked(target) {
            return false;
        }
        *self.in_flight.entry(target).or_default() += 1;
        true
    }

    pub(super) fn end_request(&mut self, target: TargetId) {
        let Some(count) = self.in_flight.get_mut(&target) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.in_flight.remove(&target);
        }
    }

    pub(super) fn in_flight(&self, target: TargetId) -> u32 {
        self.in_flight.get(&target).copied().unwrap_or_default()
    }

    /// Stores marks unless newer ones of the scope are stored. Returns whether they are in force
    /// now.
    pub(super) fn receive(&mut self, marks: Marks, now: Duration) -> bool {
        let order = |m: &Marks| (m.fence, m.seq);
        let stored = self.received.get(&marks.scope);
        if stored.is_some_and(|s| order(&s.marks) > order(&marks)) {
            return false;
        }
        self.received.insert(
            marks.scope.clone(),
            ReceivedMarks {
                marks,
                received_at: now,
            },
        );
        true
    }

    /// Merges the marks that a peer has. The peer may have received them before the process of their
    /// holder ended. The time to live starts again here, which only keeps requests away for longer.
    pub(super) fn merge_marks(
        &mut self,
        from: Holder,
        peer_marks: Vec<Marks>,
        syncing: bool,
        now: Duration,
    ) {
        for marks in peer_marks {
            if let Some(sync) = self.sync.as_mut().filter(|_| marks.holder == from) {
                sync.scopes.insert(marks.scope.clone());
            }
            let newer = self
                .received
                .get(&marks.scope)
                .is_none_or(|r| (r.marks.fence, r.marks.seq) < (marks.fence, marks.seq));
            if newer {
                self.receive(marks, now);
            }
        }
        // A peer that is syncing itself may lack marks, so it does not count towards the majority.
        if let Some(sync) = self.sync.as_mut().filter(|_| !syncing) {
            sync.vms.insert(from.vm);
        }
    }

    pub(super) fn mark_scope_synced(&mut self, scope: &Scope) {
        if let Some(sync) = &mut self.sync {
            sync.scopes.insert(scope.clone());
        }
    }

    pub(super) fn marks_in_force(&self) -> Vec<Marks> {
        let marked = self.received.values().filter(|r| !r.marks.marks.is_empty());
        marked.map(|r| r.marks.clone()).collect()
    }

    pub(super) fn add_new_vm(&mut self, vm: Holder, now: Duration) {
        self.new_vms.insert(vm.vm, (vm.incarnation, now));
    }

    pub(super) fn new_vms(&self) -> Vec<Holder> {
        let vms = self.new_vms.iter();
        vms.map(|(vm, (incarnation, _))| Holder {
            vm: *vm,
            incarnation: *incarnation,
        })
        .collect()
    }

    pub(super) fn counts(&self, marks: &[Mark]) -> Vec<MarkCount> {
        let count = |mark: &Mark| MarkCount {
            mark: *mark,
            in_flight: self.in_flight(mark.target),
        };
        marks.iter().map(count).collect()
    }

    /// Removes expired marks. `ended` returns whether a holder has certainly ended.
    pub(super) fn expire(
        &mut self,
        config: &ChangeConfig,
        ended: impl Fn(&Holder) -> bool,
        now: Duration,
    ) {
        for received in self.received.values_mut() {
            let age = now.saturating_sub(received.received_at);
            // The order of an ordered mark may be in flight as long as its sender may run. Time
            // alone never proves that the sender has ended, see `docs/design.md`, section 5.1.
            let all_expired = age >= config.ordered_ttl && ended(&received.marks.holder);
            let drain_expired = age >= config.mark_ttl;
            let expire_ordered = config.faults.expire_ordered;
            received
                .marks
                .marks
                .retain(|m| !all_expired && (!drain_expired || (m.ordered && !expire_ordered)));
        }
        self.new_vms
            .retain(|_, (_, at)| now.saturating_sub(*at) < config.new_vm_ttl);
    }

    /// Whether this vm should query all others for marks now, because it is new or because a mark
    /// was not renewed in time.
    pub(super) fn should_query(
        &mut self,
        config: &ChangeConfig,
        vms: &BTreeSet<VmId>,
        scopes: &BTreeSet<Scope>,
        now: Duration,
    ) -> bool {
        if vms.is_empty() {
            return false;
        }
        let started_at = *self.started_at.get_or_insert(now);
        if let Some(sync) = &self.sync {
            // This vm counts itself, as in the majority of the settings.
            let majority = 2 * (sync.vms.len() + 1) > vms.len();
            let all_holders = !scopes.is_empty() && scopes.is_subset(&sync.scopes);
            if majority || all_holders || now.saturating_sub(started_at) >= config.sync_timeout {
                self.sync = None;
            }
        }
        let stale = self.received.values().any(|r| {
            !r.marks.marks.is_empty() && now.saturating_sub(r.received_at) >= config.mark_ttl
        });
        let due = self
            .queried_at
            .is_none_or(|at| now.saturating_sub(at) >= config.repeat_every);
        if !due || !(stale || self.is_syncing()) {
            return false;
        }
        self.queried_at = Some(now);
        true
    }
}
