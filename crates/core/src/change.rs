//! Planned changes of targets without cut requests.
//!
//! The holder of a scope marks a target at all vms. A vm with the mark sends no new work there and
//! tells how many of its requests still run. Once all vms have told zero, the holder asks them to
//! hold the mark without a time limit, and only when all have done so is the order recorded and
//! sent. See `docs/design.md`, section 5.6.

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

/// Planned changes at one vm, both as holder of scopes and as sender of work.
#[derive(Debug)]
pub struct PlannedChanges {
    config: ChangeConfig,
    me: Holder,
    vms: BTreeSet<VmId>,
    scopes: BTreeSet<Scope>,
    runs: BTreeMap<VmId, Incarnation>,
    participant: Participant,
    held_scopes: BTreeMap<Scope, HeldScope>,
    changes: BTreeMap<TargetId, Change>,
    next: u64,
}

impl PlannedChanges {
    /// Creates a machine of a new vm, which sends no work before it has asked its peers for marks.
    pub fn new(me: Holder, config: ChangeConfig) -> Self {
        Self {
            participant: Participant::new(&config),
            config,
            me,
            vms: BTreeSet::new(),
            scopes: BTreeSet::new(),
            runs: BTreeMap::new(),
            held_scopes: BTreeMap::new(),
            changes: BTreeMap::new(),
            next: 0,
        }
    }

    /// Counts a request of this vm at a target, unless new work must not go there.
    pub fn begin_request(&mut self, target: TargetId) -> bool {
        self.participant.enter(target)
    }

    /// Ends a request that [`PlannedChanges::begin_request`] counted.
    pub fn end_request(&mut self, target: TargetId) {
        self.participant.leave(target);
    }

    /// True until enough peers have told the marks that they know.
    pub fn is_syncing(&self) -> bool {
        self.participant.is_syncing()
    }

    /// Whether new work must not go to a target.
    pub fn is_marked(&self, target: TargetId) -> bool {
        self.participant.is_marked(target)
    }

    /// Targets that get no new work.
    pub fn marked_targets(&self) -> Vec<TargetId> {
        self.participant.marked().collect()
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

    /// Whether the order of a change may be sent now. To be called directly before each send, as
    /// an order may be sent again long after it was recorded, or by a later holder.
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

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn held(&mut self, scope: Scope, fence: Option<Fence>, pending: Vec<TargetId>, now: Duration) {
        let present = self.held_scopes.get(&scope).map(|o| o.fence);
        if present != fence {
            self.changes.retain(|_, c| c.scope != scope);
            self.held_scopes.remove(&scope);
        }
        let Some(fence) = fence else {
            return;
        };
        if present != Some(fence) {
            let held = HeldScope {
                fence,
                linger_until: now + self.config.linger,
                sent_at: None,
            };
            self.held_scopes.insert(scope.clone(), held);
        }
        // The listed orders of a scope are all that earlier holders may have sent.
        self.participant.learn_own(&scope);
        for target in pending {
            if !self.changes.contains_key(&target) {
                let number = self.number();
                let change = Change::taken_over(scope.clone(), number, now);
                self.changes.insert(target, change);
            }
        }
    }

    fn begin(&mut self, scope: Scope, target: TargetId, longest_wait: Duration, now: Duration) {
        if !self.held_scopes.contains_key(&scope) || self.changes.contains_key(&target) {
            return;
        }
        let number = self.number();
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
            held.linger_until = now + self.config.linger;
            held.sent_at = None;
        }
        out.push(ChangeCommand::Done(target));
    }

    fn hear(
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
                if self.participant.hear(marks, now) && !list.is_empty() {
                    out.push(reply(self.counts(scope, fence, &list)));
                }
            }
            ChangeMessage::Counts {
                scope,
                fence,
                counts,
                introduced,
            } => self.hear_counts(from, (&scope, fence), counts, &introduced),
            ChangeMessage::Ask => {
                self.participant.introduce(from, now);
                let mut known = self.participant.known();
                // A holder also tells that it has no marks, which ends those of its predecessor.
                let scopes: Vec<Scope> = self.held_scopes.keys().cloned().collect();
                known.retain(|m| !scopes.contains(&m.scope));
                for scope in scopes {
                    known.extend(self.marks(&scope));
                }
                let syncing = self.participant.is_syncing();
                out.push(reply(ChangeMessage::Known {
                    marks: known,
                    syncing,
                }));
            }
            ChangeMessage::Known { marks, syncing } => {
                self.participant.learn(from, marks, syncing, now);
            }
        }
    }

    fn counts(&self, scope: Scope, fence: Fence, marks: &[Mark]) -> ChangeMessage {
        ChangeMessage::Counts {
            scope,
            fence,
            counts: self.participant.counts(marks),
            introduced: self.participant.introduced(),
        }
    }

    fn hear_counts(
        &mut self,
        from: Holder,
        (scope, fence): (&Scope, Fence),
        counts: Vec<MarkCount>,
        introduced: &[Holder],
    ) {
        let held = self.held_scopes.get(scope);
        if held.is_none_or(|o| o.fence != fence) {
            return;
        }
        for count in counts {
            if let Some(change) = self.changes.get_mut(&count.mark.target) {
                change.hear_count(from, count, introduced);
            }
        }
    }

    /// Marks of a scope that this vm holds.
    fn marks(&mut self, scope: &Scope) -> Option<Marks> {
        // Numbers go on when an held is regained with the same fence.
        let seq = self.number();
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
            self.tell(&scope, now, out);
        }
    }

    fn advance_one(&mut self, target: TargetId, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(change) = self.changes.get(&target) else {
            return;
        };
        if change.is_late(now) {
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

    fn tell(&mut self, scope: &Scope, now: Duration, out: &mut Vec<ChangeCommand>) {
        let Some(held) = self.held_scopes.get_mut(scope) else {
            return;
        };
        let due = held
            .sent_at
            .is_none_or(|at| now.saturating_sub(at) >= self.config.repeat_every);
        let quiet = now >= held.linger_until && !self.changes.values().any(|c| c.scope == *scope);
        if !due || quiet {
            return;
        }
        held.sent_at = Some(now);
        let Some(marks) = self.marks(scope) else {
            return;
        };
        let (fence, list) = (marks.fence, marks.marks.clone());
        if self.participant.hear(marks.clone(), now) {
            let counts = self.participant.counts(&list);
            let introduced = self.participant.introduced();
            self.hear_counts(self.me, (scope, fence), counts, &introduced);
        }
        out.push(ChangeCommand::Send {
            to: None,
            message: ChangeMessage::Marks(marks),
        });
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<ChangeCommand>) {
        self.advance(now, out);
        let (vms, runs, me) = (&self.vms, &self.runs, self.me);
        let ended = |holder: &Holder| {
            let newer = runs
                .get(&holder.vm)
                .is_some_and(|r| *r > holder.incarnation);
            let own = holder.vm == me.vm && holder.incarnation < me.incarnation;
            newer || own || (!vms.is_empty() && !vms.contains(&holder.vm))
        };
        self.participant.expire(&self.config, ended, now);
        if self
            .participant
            .should_ask(&self.config, &self.vms, &self.scopes, now)
        {
            out.push(ChangeCommand::Send {
                to: None,
                message: ChangeMessage::Ask,
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
                let known = self.runs.entry(run.vm).or_default();
                *known = (*known).max(run.incarnation);
            }
            ChangeEvent::Held {
                scope,
                fence,
                pending,
            } => self.held(scope, fence, pending, now),
            ChangeEvent::Begin {
                scope,
                target,
                longest_wait,
            } => self.begin(scope, target, longest_wait, now),
            ChangeEvent::Withdraw(target) => self.withdraw(target, now, out),
            ChangeEvent::Ended(target) => self.end(target, now, out),
            ChangeEvent::Message { from, message } => self.hear(from, message, now, out),
        }
    }
}
