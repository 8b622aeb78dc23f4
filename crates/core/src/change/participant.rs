//! Marks in force at this vm and its work at marked targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::config::ChangeConfig;
use super::types::{Mark, MarkCount, Marks};
use crate::authority::{Holder, Scope};
use crate::{Incarnation, TargetId, VmId};

#[derive(Debug)]
struct Heard {
    marks: Marks,
    at: Duration,
}

/// Who told a new vm the marks in force.
#[derive(Debug, Default)]
struct Answered {
    /// Vms that know all marks themselves.
    vms: BTreeSet<VmId>,
    /// Scopes whose holders answered.
    scopes: BTreeSet<Scope>,
}

/// What a vm knows of marks.
#[derive(Debug)]
pub(super) struct Participant {
    heard: BTreeMap<Scope, Heard>,
    in_flight: BTreeMap<TargetId, u32>,
    introduced: BTreeMap<VmId, (Incarnation, Duration)>,
    /// Peers that answered, until enough of them did.
    answered: Option<Answered>,
    started_at: Option<Duration>,
    asked_at: Option<Duration>,
}

impl Participant {
    pub(super) fn new(config: &ChangeConfig) -> Self {
        Self {
            heard: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            introduced: BTreeMap::new(),
            answered: (!config.faults.skip_asking).then(Answered::default),
            started_at: None,
            asked_at: None,
        }
    }

    /// True until enough peers have told the marks that they know.
    pub(super) fn is_syncing(&self) -> bool {
        self.answered.is_some()
    }

    pub(super) fn is_marked(&self, target: TargetId) -> bool {
        let mut marks = self.heard.values().flat_map(|h| &h.marks.marks);
        marks.any(|m| m.target == target)
    }

    pub(super) fn marked(&self) -> impl Iterator<Item = TargetId> + '_ {
        let marks = self.heard.values().flat_map(|h| &h.marks.marks);
        marks.map(|m| m.target)
    }

    pub(super) fn enter(&mut self, target: TargetId) -> bool {
        if self.is_syncing() || self.is_marked(target) {
            return false;
        }
        *self.in_flight.entry(target).or_default() += 1;
        true
    }

    pub(super) fn leave(&mut self, target: TargetId) {
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

    /// Takes over marks unless they are older than what is known. Returns whether they hold now.
    pub(super) fn hear(&mut self, marks: Marks, now: Duration) -> bool {
        let order = |m: &Marks| (m.fence, m.seq);
        let known = self.heard.get(&marks.scope);
        if known.is_some_and(|k| order(&k.marks) > order(&marks)) {
            return false;
        }
        self.heard
            .insert(marks.scope.clone(), Heard { marks, at: now });
        true
    }

    /// Takes over what a peer knows. The peer may have heard it before its holder's process ended,
    /// so the time to live starts anew here, which only keeps work away for longer.
    pub(super) fn learn(&mut self, from: Holder, known: Vec<Marks>, syncing: bool, now: Duration) {
        for marks in known {
            if let Some(answered) = self.answered.as_mut().filter(|_| marks.holder == from) {
                answered.scopes.insert(marks.scope.clone());
            }
            let newer = self
                .heard
                .get(&marks.scope)
                .is_none_or(|k| (k.marks.fence, k.marks.seq) < (marks.fence, marks.seq));
            if newer {
                self.hear(marks, now);
            }
        }
        // Another new vm knows as little as this one.
        if let Some(answered) = self.answered.as_mut().filter(|_| !syncing) {
            answered.vms.insert(from.vm);
        }
    }

    pub(super) fn learn_own(&mut self, scope: &Scope) {
        if let Some(answered) = &mut self.answered {
            answered.scopes.insert(scope.clone());
        }
    }

    pub(super) fn known(&self) -> Vec<Marks> {
        let marked = self.heard.values().filter(|h| !h.marks.marks.is_empty());
        marked.map(|h| h.marks.clone()).collect()
    }

    pub(super) fn introduce(&mut self, vm: Holder, now: Duration) {
        self.introduced.insert(vm.vm, (vm.incarnation, now));
    }

    pub(super) fn introduced(&self) -> Vec<Holder> {
        let vms = self.introduced.iter();
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

    /// Ends marks whose time is over. `ended` tells whether a run of a vm has ended for certain.
    pub(super) fn expire(
        &mut self,
        config: &ChangeConfig,
        ended: impl Fn(&Holder) -> bool,
        now: Duration,
    ) {
        for heard in self.heard.values_mut() {
            let age = now.saturating_sub(heard.at);
            // The order of an ordered mark may be under way as long as its sender may run. Time
            // alone never proves that it has ended, see `docs/design.md`, section 5.1.
            let over = age >= config.ordered_ttl && ended(&heard.marks.holder);
            let drained = age >= config.mark_ttl;
            let expire_ordered = config.faults.expire_ordered;
            heard
                .marks
                .marks
                .retain(|m| !over && (!drained || (m.ordered && !expire_ordered)));
        }
        self.introduced
            .retain(|_, (_, at)| now.saturating_sub(*at) < config.introduction_ttl);
    }

    /// Whether this vm should ask all others now: it is new, or an ordered mark is not renewed.
    pub(super) fn should_ask(
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
        if let Some(answered) = &self.answered {
            // This vm counts itself, as the settings do for their majority.
            let many = 2 * (answered.vms.len() + 1) > vms.len();
            let holders = !scopes.is_empty() && scopes.is_subset(&answered.scopes);
            if many || holders || now.saturating_sub(started_at) >= config.ask_limit {
                self.answered = None;
            }
        }
        let stale = self
            .heard
            .values()
            .any(|h| !h.marks.marks.is_empty() && now.saturating_sub(h.at) >= config.mark_ttl);
        let due = self
            .asked_at
            .is_none_or(|at| now.saturating_sub(at) >= config.repeat_every);
        if !due || !(stale || self.is_syncing()) {
            return false;
        }
        self.asked_at = Some(now);
        true
    }
}
