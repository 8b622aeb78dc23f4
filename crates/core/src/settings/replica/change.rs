//! Operator changes and status requests.
//!
//! A change has up to four phases. The probe checks that this vm reaches the store and a majority
//! of the vms; without both, the change is refused before anything is written. The write is a
//! compare-and-swap, and is read back if its answer is lost. The change is accepted once a majority
//! holds it: any later majority in outage mode then contains a vm that has it, even if this vm and
//! the store fail at the moment of the write.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::freshness::majority;
use super::message::{Message, Subtree};
use super::{Command, Replica, matches_expected, text_of};
use crate::store::{CallToken, Entry, Expected, StoreOp, StoreReply};
use crate::{Revision, VmId};

/// Time between two attempts at a store call or message that was not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A change of one subtree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Key in the store.
    pub subtree: String,
    /// State that the operator's change is based on.
    pub expected: Expected,
    /// New document, or `None` to delete the subtree.
    pub text: Option<String>,
}

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in the store, and a majority of the vms holds it.
    Accepted {
        /// Revision of the change.
        revision: Revision,
    },
    /// The subtree is not in the expected state. Nothing was written.
    Conflict {
        /// Present revision, or `None` if the subtree does not exist.
        present: Option<Revision>,
    },
    /// This vm does not reach the store, or not a majority of the vms. Nothing was written.
    NotReachable,
    /// The change is in the store and will take effect, but no majority has confirmed it.
    Unconfirmed {
        /// Revision of the change.
        revision: Revision,
    },
    /// The change may or may not have taken effect. Read the subtree before trying again.
    Unknown,
}

/// A running change or status request.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    request: Option<ChangeRequest>,
    subtree: String,
    phase: Phase,
    nonce: u64,
    answers: BTreeMap<VmId, Holder>,
    call: Option<(CallToken, Duration)>,
    next_try: Duration,
    deadline: Duration,
    /// Whether an earlier write may have taken effect.
    in_doubt: bool,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    revision: Option<Revision>,
    witness: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Status,
    Probe { store: bool },
    Write,
    ReadBack,
    Confirm { revision: Revision },
}

impl Replica {
    pub(crate) fn start_change(
        &mut self,
        ticket: u64,
        mut request: ChangeRequest,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        request.text = request.text.filter(|text| !text.is_empty());
        let subtree = request.subtree.clone();
        let deadline = now + self.config.probe_timeout;
        let phase = Phase::Probe { store: false };
        self.start_task(ticket, Some(request), subtree, phase, deadline, now, out);
    }

    pub(crate) fn start_status(
        &mut self,
        ticket: u64,
        subtree: String,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let deadline = now + self.config.probe_timeout;
        self.start_task(ticket, None, subtree, Phase::Status, deadline, now, out);
    }

    #[allow(clippy::too_many_arguments, reason = "fields of the new task")]
    fn start_task(
        &mut self,
        ticket: u64,
        request: Option<ChangeRequest>,
        subtree: String,
        phase: Phase,
        deadline: Duration,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let task = Task {
            request,
            subtree,
            phase,
            nonce: self.new_nonce(),
            answers: BTreeMap::new(),
            call: None,
            next_try: now,
            deadline,
            in_doubt: false,
        };
        self.tasks.insert(ticket, task);
        self.advance(ticket, now, out);
    }

    pub(crate) fn tick_tasks(&mut self, now: Duration, out: &mut Vec<Command>) {
        let tickets: Vec<_> = self.tasks.keys().copied().collect();
        for ticket in tickets {
            self.advance(ticket, now, out);
        }
    }

    /// Ends the task, advances it to its next phase, or repeats unanswered calls and messages.
    fn advance(&mut self, ticket: u64, now: Duration, out: &mut Vec<Command>) {
        let Some(mut task) = self.tasks.remove(&ticket) else {
            return;
        };
        if task
            .call
            .is_some_and(|(_, sent)| now >= sent + self.config.call_timeout)
        {
            task.call = None;
            self.on_call_unknown(&mut task);
        }
        self.advance_phase(&mut task, now);
        if let Some(done) = self.finished_task(ticket, &task, now) {
            out.push(done);
            return;
        }
        if now >= task.next_try {
            self.send_attempt(&mut task, now, out);
        }
        self.tasks.insert(ticket, task);
    }

    fn advance_phase(&mut self, task: &mut Task, now: Duration) {
        if task.phase == (Phase::Probe { store: true }) && self.has_majority(task, None) {
            task.phase = Phase::Write;
            task.deadline = now + self.config.write_timeout;
            task.next_try = now;
        }
    }

    fn finished_task(&self, ticket: u64, task: &Task, now: Duration) -> Option<Command> {
        let late = now >= task.deadline;
        let outcome = match task.phase {
            Phase::Status if late || task.answers.len() + 1 >= self.live.len() => {
                return Some(self.status_done(ticket, task));
            }
            Phase::Confirm { revision } if self.has_majority(task, Some(revision)) => {
                ChangeOutcome::Accepted { revision }
            }
            Phase::Confirm { revision } if self.config.omit.confirmation => {
                ChangeOutcome::Accepted { revision }
            }
            Phase::Confirm { revision } if late => ChangeOutcome::Unconfirmed { revision },
            Phase::Probe { .. } if late => ChangeOutcome::NotReachable,
            Phase::Write if late && !task.in_doubt && task.call.is_none() => {
                ChangeOutcome::NotReachable
            }
            Phase::Write | Phase::ReadBack if late => ChangeOutcome::Unknown,
            _ => return None,
        };
        Some(Command::ChangeDone { ticket, outcome })
    }

    fn status_done(&self, ticket: u64, task: &Task) -> Command {
        let own = self.set.revision(&task.subtree);
        let revisions = self.live.iter().map(|vm| match task.answers.get(vm) {
            _ if *vm == self.config.vm => (*vm, own),
            holder => (*vm, holder.and_then(|h| h.revision)),
        });
        Command::StatusDone {
            ticket,
            revisions: revisions.collect(),
        }
    }

    /// Whether a majority of the listed vms has answered and holds at least `revision`.
    fn has_majority(&self, task: &Task, revision: Option<Revision>) -> bool {
        let own = usize::from(self.fresh.counts_towards_majority(&self.config));
        let others = task.answers.iter().filter(|(vm, holder)| {
            holder.witness && holder.revision >= revision && self.listed.contains(vm)
        });
        own + others.count() >= majority(self.listed.len())
    }

    fn send_attempt(&mut self, task: &mut Task, now: Duration, out: &mut Vec<Command>) {
        task.next_try = now + RETRY_INTERVAL;
        self.send_unanswered(task, out);
        if task.call.is_some() {
            return;
        }
        let Some(request) = &task.request else {
            return;
        };
        let key = request.subtree.clone();
        let op = match task.phase {
            Phase::Probe { store: false } | Phase::ReadBack => StoreOp::Get { key },
            Phase::Write => StoreOp::Cas {
                key,
                expected: request.expected,
                value: request.text.clone().unwrap_or_default().into_bytes(),
                lease: None,
                guard: None,
            },
            _ => return,
        };
        task.call = Some((self.call(op, out), now));
    }

    fn send_unanswered(&self, task: &Task, out: &mut Vec<Command>) {
        let nonce = task.nonce;
        let message = match (task.phase, &task.request) {
            (Phase::Status | Phase::Probe { .. }, _) => Message::Query {
                nonce,
                subtree: task.subtree.clone(),
            },
            (Phase::Confirm { revision }, Some(request)) => Message::Offer {
                nonce,
                subtree: Subtree {
                    name: request.subtree.clone(),
                    revision,
                    text: request.text.clone(),
                },
            },
            _ => return,
        };
        let unanswered = self.live.iter().filter(|vm| **vm != self.config.vm);
        for to in unanswered.filter(|vm| !task.answers.contains_key(vm)) {
            let message = message.clone();
            out.push(Command::Send { to: *to, message });
        }
    }

    pub(crate) fn on_holds(
        &mut self,
        from: VmId,
        nonce: u64,
        revision: Option<Revision>,
        witness: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let found = self.tasks.iter_mut().find(|(_, t)| t.nonce == nonce);
        let Some((ticket, task)) = found else {
            return;
        };
        let ticket = *ticket;
        task.answers.insert(from, Holder { revision, witness });
        self.advance(ticket, now, out);
    }

    pub(crate) fn on_task_reply(
        &mut self,
        token: CallToken,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let waits = |task: &Task| task.call.is_some_and(|(waiting, _)| waiting == token);
        let found = self.tasks.iter().find(|(_, task)| waits(task));
        let Some(ticket) = found.map(|(ticket, _)| *ticket) else {
            return;
        };
        let Some(mut task) = self.tasks.remove(&ticket) else {
            return;
        };
        task.call = None;
        if let Some(outcome) = self.on_change_reply(&mut task, reply, now, out) {
            out.push(Command::ChangeDone { ticket, outcome });
            return;
        }
        self.tasks.insert(ticket, task);
        self.advance(ticket, now, out);
    }

    fn on_change_reply(
        &mut self,
        task: &mut Task,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command>,
    ) -> Option<ChangeOutcome> {
        let request = task.request.clone()?;
        match (task.phase, reply) {
            (Phase::Probe { .. }, StoreReply::Value { entry, .. }) => {
                if !matches_expected(entry.as_ref(), request.expected) {
                    let present = entry.map(|e| e.modified);
                    return Some(ChangeOutcome::Conflict { present });
                }
                task.phase = Phase::Probe { store: true };
            }
            (Phase::Write, StoreReply::Written { revision }) => {
                self.written(task, request, revision, now, out);
            }
            (Phase::Write, StoreReply::Conflict { current, .. }) => {
                return self.resolve_conflict(task, request, current, now, out);
            }
            (Phase::Write, StoreReply::Unknown) if self.config.omit.read_back => {
                return Some(ChangeOutcome::NotReachable);
            }
            (Phase::ReadBack, StoreReply::Value { entry, .. }) => {
                if matches_expected(entry.as_ref(), request.expected) {
                    // The write may still be in transit. Repeating it is safe, as only one of the
                    // two writes can find the expected revision.
                    task.phase = Phase::Write;
                    task.next_try = now;
                    return None;
                }
                return self.resolve_conflict(task, request, entry, now, out);
            }
            (_, StoreReply::Unknown) => self.on_call_unknown(task),
            _ => {}
        }
        None
    }

    /// Decides the outcome when the store does not hold the expected state.
    fn resolve_conflict(
        &mut self,
        task: &mut Task,
        request: ChangeRequest,
        current: Option<Entry>,
        now: Duration,
        out: &mut Vec<Command>,
    ) -> Option<ChangeOutcome> {
        let present = current.as_ref().map(|e| e.modified);
        if !task.in_doubt {
            return Some(ChangeOutcome::Conflict { present });
        }
        // An equal document that another operator wrote counts as well: the requested state is in
        // force.
        match current {
            Some(entry) if text_of(&entry.value) == request.text => {
                self.written(task, request, entry.modified, now, out);
                None
            }
            _ => Some(ChangeOutcome::Unknown),
        }
    }

    fn on_call_unknown(&self, task: &mut Task) {
        if task.phase == Phase::Write {
            task.in_doubt = true;
            task.phase = Phase::ReadBack;
        }
    }

    fn written(
        &mut self,
        task: &mut Task,
        request: ChangeRequest,
        revision: Revision,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let subtree = Subtree {
            name: request.subtree,
            revision,
            text: request.text,
        };
        self.apply(subtree, out);
        task.phase = Phase::Confirm { revision };
        task.nonce = self.new_nonce();
        task.answers.clear();
        task.deadline = now + self.config.confirm_timeout;
        task.next_try = now;
    }
}
