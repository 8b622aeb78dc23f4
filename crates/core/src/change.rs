//! Planned changes of targets that interrupt no requests.
//!
//! The holder of a scope announces a mark for a target to all vms. A vm with the mark sends no new
//! requests to the target and reports how many of its requests still run there. Once all vms have
//! reported zero, the holder asks them to keep the mark without a time limit. The order is recorded
//! and sent only after all vms have acknowledged that. See `docs/design.md`, section 5.6.

mod config;
mod holder;
mod participant;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use config::{ChangeConfig, ChangeFaults};
pub use types::{ChangeCommand, ChangeEvent, ChangeMessage, ChangeStatus, Mark, MarkCount, Marks};

use crate::authority::{Holder, Scope};
use crate::invariant::{self, Invariant};
use crate::{Fence, Incarnation, Machine, TargetId, VmId};
use holder::{Change, HeldScope, Phase};
use participant::Participant;

/// Planned changes at one vm, both as holder of scopes and as sender of requests.
#[derive(Debug)]
pub struct PlannedChanges {
    config: ChangeConfig,
    me: Holder,
    vms: BTreeSet<VmId>,
    scopes: BTreeSet<Scope>,
    incarnations: BTreeMap<VmId, Incarnation>,
    participant: Participant,
    held_scopes: BTreeMap<Scope, HeldScope>,
    changes: BTreeMap<TargetId, Change>,
    last_number: u64,
}

impl PlannedChanges {
    /// Creates the machine of a new vm, which sends no requests before it has queried its peers for
    /// their marks.
    pub fn new(me: Holder, config: ChangeConfig) -> Self {
        Self {
            participant: Participant::new(&config),
            config,
            me,
            vms: BTreeSet::new(),
            scopes: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            held_scopes: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Counts a new request of this vm at a target. Returns false if no new requests may be sent to
    /// the target.
    pub fn begin_request(&mut self, target: TargetId) -> bool {
        self.participant.begin_request(target)
    }

    /// Ends a request that was counted by [`PlannedChanges::begin_request`].
    pub fn end_request(&mut self, target: TargetId) {
        self.participant.end_request(target);
    }

    /// True until enough peers have sent the marks that they have.
    pub fn is_syncing(&self) -> bool {
        self.participant.is_syncing()
    }

    /// Whether a target gets no new requests.
    pub fn is_marked(&self, target: TargetId) -> bool {
        self.participant.is_marked(target)
    }

    /// Targets that get no new requests.
    pub fn marked_targets(&self) -> Vec<TargetId> {
        self.participant.marked_targets().collect()
    }

    /// Changes that this vm carries out.
    pub fn status(&self) -> Vec<ChangeStatus> {
        let status = |(target, change): (&TargetId, &Change)| ChangeStatus {
            target: *target,
            ordered: change.phase == Phase::Ordered,
            in_flight: change.in_flight(),
            unacknowledged: change.unacknowledged(&self.vms),
        };
        self.changes.iter().map(status).collect()
    }

    /// Whether the order of a change may be sent now. Must be called directly before each send,
    /// because an order may be sent again long after it was recorded, or by a later holder.
    pub fn may_send(&self, target: TargetId) -> bool {
        let Some(change) = self.changes.get(&target) else {
            return false;
        };
        if change.phase != Phase::Ordered || !self.is_acknowledged(change) {
            return false;
        }
        let in_flight = change.in_flight();
        invariant::check(Invariant::PlannedChangeCutsNothing, in_flight == 0, || {
            format!("target {target} is changed with {in_flight} requests in flight")
        })
    }

    fn is_acknowledged(&self, change: &Change) -> bool {
        if self.config.faults.skip_acknowledgements {
            return true;
        }
        !self.vms.is_empty() && change.unacknowledged(&self.vms) == 0 && change.in_flight() == 0
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn update_held_scope(
        &mut self,
        scope: Scope,
        fence: Option<Fence>,
        pending: Vec<TargetId>,
        now: Duration,
    ) {
        let previous = self.held_scopes.get(&scope).map(|h| h.fence);
        if previous != fence {
            self.changes.retain(|_, c| c.scope != scope);
            self.held_scopes.remove(&scope);
        }
        let Some(fence) = fence else {
            return;
        };
        if previous != Some(fence) {
            let held = HeldScope {
                fence,
                announce_until: now + self.config.linger,
                sent_at: None,
            };
            self.held_scopes.insert(scope.clone(), held);
        }
        // Earlier holders can only have sent orders that are listed as pending.
        self.participant.mark_scope_synced(&scope);
        for target in pending {
            if !self.changes.contains_key(&target) {
                let number = self.next_number();
                let change = Change::taken_over(scope.clone(), number, now);
                self.changes.insert(target, change);
            }
        }
    }

    fn begin(&mut self, scope: Scope, target: TargetId, longest_wait: Duration, now: Duration) {
        if !self.held_scopes.contains_key(&scope) || self.changes.contains_key(&target) {
            return;
        }
        let number = self.next_number();
        if let Some(held) = self.held_scopes.get_mut(&scope) {
            held.sent_at = None;
        }
        let change = Change::new(scope, number, longest_wait, now);
        self.changes.insert(target, change);
    }

    fn withdraw(&mut self, target: TargetId, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(change) = self.changes.get(&target) else {
            return;
        };
        if change.phase != Phase::Ordered {
            self.end(target, now, out);
        }
    }

    fn end(&mut self, target: TargetId, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(change) = self.changes.remove(&target) else {
            return;
        };
        if let Some(held) = self.held_scopes.get_mut(&change.scope) {
            held.announce_until = now + self.config.linger;
            held.sent_at = None;
        }
        out.push(ChangeCommand::Done(target));
    }

    fn receive(
        &mut self,
        from: Holder,
        message: ChangeMessage,
        now: Duration,
        out: &mut Vec<ChangeCommand>,
    ) {
        let reply = |message| ChangeCommand::Send {
            to: Some(from.vm),
            message,
        };
        match message {
            ChangeMessage::Marks(marks) => {
                let (scope, fence, list) = (marks.scope.clone(), marks.fence, marks.marks.clone());
                if self.participant.receive(marks, now) && !list.is_empty() {
                    out.push(reply(self.counts(scope, fence, &list)));
                }
            }
            ChangeMessage::Counts {
                scope,
                fence,
                counts,
                new_vms,
            } => self.receive_counts(from, (&scope, fence), counts, &new_vms),
            ChangeMessage::QueryMarks => {
                self.participant.add_new_vm(from, now);
                let mut marks = self.participant.marks_in_force();
                // A holder also sends empty marks, which remove those of its predecessor.
                let scopes: Vec<Scope> = self.held_scopes.keys().cloned().collect();
                marks.retain(|m| !scopes.contains(&m.scope));
                for scope in scopes {
                    marks.extend(self.marks(&scope));
                }
                let syncing = self.participant.is_syncing();
                out.push(reply(ChangeMessage::KnownMarks { marks, syncing }));
            }
            ChangeMessage::KnownMarks { marks, syncing } => {
                self.participant.merge_marks(from, marks, syncing, now);
            }
        }
    }

    fn counts(&self, scope: Scope, fence: Fence, marks: &[Mark]) -> ChangeMessage {
        ChangeMessage::Counts {
            scope,
            fence,
            counts: self.participant.counts(marks),
            new_vms: self.participant.new_vms(),
        }
    }

    fn receive_counts(
        &mut self,
        from: Holder,
        (scope, fence): (&Scope, Fence),
        counts: Vec<MarkCount>,
        new_vms: &[Holder],
    ) {
        let held = self.held_scopes.get(scope);
        if held.is_none_or(|h| h.fence != fence) {
            return;
        }
        for count in counts {
            if let Some(change) = self.changes.get_mut(&count.mark.target) {
                change.record_count(from, count, new_vms);
            }
        }
    }

    /// Marks of a scope that this vm holds.
    fn marks(&mut self, scope: &Scope) -> Option<Marks> {
        // The numbering continues when a scope is held again with the same fence.
        let seq = self.next_number();
        let held = self.held_scopes.get(scope)?;
        let changes = self.changes.iter().filter(|(_, c)| c.scope == *scope);
        Some(Marks {
            scope: scope.clone(),
            fence: held.fence,
            holder: self.me,
            seq,
            marks: changes.map(|(t, c)| c.mark(*t)).collect(),
        })
    }

    fn advance(&mut self, now: Duration, out: &mut Vec<ChangeCommand>) {
        let targets: Vec<TargetId> = self.changes.keys().copied().collect();
        for target in targets {
            self.advance_one(target, now, out);
        }
        let scopes: Vec<Scope> = self.held_scopes.keys().cloned().collect();
        for scope in scopes {
            self.announce(&scope, now, out);
        }
    }

    fn advance_one(&mut self, target: TargetId, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(change) = self.changes.get(&target) else {
            return;
        };
        if change.wait_expired(now) {
            out.push(ChangeCommand::Postponed {
                target,
                in_flight: change.in_flight(),
                unacknowledged: change.unacknowledged(&self.vms),
            });
            return self.end(target, now, out);
        }
        if !self.is_acknowledged(change) {
            return;
        }
        let phase = change.phase;
        let Some(change) = self.changes.get_mut(&target) else {
            return;
        };
        match phase {
            Phase::Draining => {
                change.phase = Phase::Holding;
                if let Some(held) = self.held_scopes.get_mut(&change.scope) {
                    held.sent_at = None;
                }
            }
            Phase::Holding => {
                change.phase = Phase::Ordered;
                let scope = change.scope.clone();
                out.push(ChangeCommand::Ready { scope, target });
            }
            Phase::Ordered => {}
        }
    }

    fn announce(&mut self, scope: &Scope, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(held) = self.held_scopes.get_mut(scope) else {
            return;
        };
        let due = held
            .sent_at
            .is_none_or(|at| now.saturating_sub(at) >= self.config.repeat_every);
        let is_over =
            now >= held.announce_until && !self.changes.values().any(|c| c.scope == *scope);
        if !due || is_over {
            return;
        }
        held.sent_at = Some(now);
        let Some(marks) = self.marks(scope) else {
            return;
        };
        let (fence, list) = (marks.fence, marks.marks.clone());
        if self.participant.receive(marks.clone(), now) {
            let counts = self.participant.counts(&list);
            let new_vms = self.participant.new_vms();
            self.receive_counts(self.me, (scope, fence), counts, &new_vms);
        }
        out.push(ChangeCommand::Send {
            to: None,
            message: ChangeMessage::Marks(marks),
        });
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<ChangeCommand>) {
        self.advance(now, out);
        let (vms, incarnations, me) = (&self.vms, &self.incarnations, self.me);
        let ended = |holder: &Holder| {
            let newer = incarnations
                .get(&holder.vm)
                .is_some_and(|r| *r > holder.incarnation);
            let own = holder.vm == me.vm && holder.incarnation < me.incarnation;
            newer || own || (!vms.is_empty() && !vms.contains(&holder.vm))
        };
        self.participant.expire(&self.config, ended, now);
        if self
            .participant
            .should_query(&self.config, &self.vms, &self.scopes, now)
        {
            out.push(ChangeCommand::Send {
                to: None,
                message: ChangeMessage::QueryMarks,
            });
        }
    }
}

impl Machine for PlannedChanges {
    type Event = ChangeEvent;
    type Command = ChangeCommand;

    fn step(&mut self, event: ChangeEvent, now: Duration, out: &mut Vec<ChangeCommand>) {
        match event {
            ChangeEvent::Tick => self.tick(now, out),
            ChangeEvent::Vms(vms) => self.vms = vms.into_iter().collect(),
            ChangeEvent::Scopes(scopes) => self.scopes = scopes.into_iter().collect(),
            ChangeEvent::VmIncarnation(run) => {
                let latest = self.incarnations.entry(run.vm).or_default();
                *latest = (*latest).max(run.incarnation);
            }
            ChangeEvent::Held {
                scope,
                fence,
                pending,
            } => self.update_held_scope(scope, fence, pending, now),
            ChangeEvent::Begin {
                scope,
                target,
                longest_wait,
            } => self.begin(scope, target, longest_wait, now),
            ChangeEvent::Withdraw(target) => self.withdraw(target, now, out),
            ChangeEvent::Ended(target) => self.end(target, now, out),
            ChangeEvent::Message { from, message } => self.receive(from, message, now, out),
        }
    }
}
