//! The intent of one target and what happens to it next.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::intent::{Holder, Intent, IntentState};
use super::machine::{Common, Outcome};
use crate::store::{CallToken, Entry, Expected};
use crate::{Fence, Incarnation, Revision};

/// What to do next with the intent of a target.
#[derive(Debug, PartialEq)]
pub(super) enum Next<O> {
    /// Nothing can be done now.
    Wait,
    /// Reads the record again, because an earlier holder may have released it.
    Read,
    /// Writes a record.
    Write(Intent<O>),
    /// Sends the order of the record.
    Send,
}

/// An order that has no record yet. The id is fixed from the start, so that a record whose write
/// had no answer is recognized when it appears late.
#[derive(Clone, Debug)]
pub(super) struct Wanted<O> {
    pub(super) order_id: u64,
    pub(super) target_incarnation: Incarnation,
    pub(super) order: O,
}

/// The intent of one target, as the holder of its scope last saw it.
#[derive(Debug)]
pub(super) struct Slot<O> {
    pub(super) record: Option<Intent<O>>,
    pub(super) revision: Revision,
    /// Order that waits until the present one is settled.
    pub(super) wanted: Option<Wanted<O>>,
    /// Pending store call with the record it writes, or `None` for a read.
    pub(super) call: Option<(CallToken, Option<Intent<O>>)>,
    /// True if a write had no answer, so that nothing is done before a read.
    pub(super) doubtful: bool,
    /// Order whose send has not ended.
    pub(super) sending: Option<u64>,
    /// Answer of the receiver that is not recorded yet.
    pub(super) answered: Option<(u64, Outcome)>,
    pub(super) target_runs: Incarnation,
    pub(super) not_before: Duration,
}

impl<O> Default for Slot<O> {
    fn default() -> Self {
        Self {
            record: None,
            revision: Revision(0),
            wanted: None,
            call: None,
            doubtful: false,
            sending: None,
            answered: None,
            target_runs: Incarnation(0),
            not_before: Duration::ZERO,
        }
    }
}

/// What a decision about a slot depends on.
pub(super) struct SlotView<'a> {
    pub(super) common: &'a Common,
    pub(super) fence: Fence,
    pub(super) checks_fencing: bool,
    pub(super) exclusive: bool,
    pub(super) list_from: Duration,
}

impl<O: Clone + PartialEq + Serialize + DeserializeOwned> Slot<O> {
    /// Takes over what the store holds.
    pub(super) fn refresh(&mut self, entry: Option<Entry>) {
        self.doubtful = false;
        self.revision = entry.as_ref().map_or(Revision(0), |e| e.modified);
        self.record = entry.and_then(|e| Intent::decode(&e.value));
        self.note_written();
    }

    /// Takes over a record that this vm has written.
    pub(super) fn written(&mut self, record: Intent<O>, revision: Revision) {
        self.revision = revision;
        self.record = Some(record);
        self.note_written();
    }

    fn note_written(&mut self) {
        let id = self.record.as_ref().map(|r| r.order_id);
        self.wanted = self.wanted.take().filter(|w| Some(w.order_id) != id);
    }

    /// Present state that a write requires.
    pub(super) fn expected(&self) -> Expected {
        if self.revision == Revision(0) {
            return Expected::Absent;
        }
        Expected::At(self.revision)
    }

    /// True if a new order would have to wait for another one.
    pub(super) fn is_taken(&self) -> bool {
        let pending = self
            .record
            .as_ref()
            .is_some_and(|r| r.state == IntentState::Pending || !r.earlier.is_empty());
        self.wanted.is_some() || self.sending.is_some() || pending
    }

    /// Decides what to do next.
    pub(super) fn next(&mut self, view: &SlotView<'_>, now: Duration) -> Next<O> {
        if self.call.is_some() || self.sending.is_some() || now < self.not_before {
            return Next::Wait;
        }
        if self.doubtful {
            return Next::Read;
        }
        let Some(record) = self.record.clone() else {
            return self.start(view);
        };
        if record.state != IntentState::Pending {
            return self.after_settled(&record, view);
        }
        if record.fence == view.fence && record.holder == view.common.me {
            return self.continue_own(&record, view);
        }
        self.take_over(record, view)
    }

    fn continue_own(&mut self, record: &Intent<O>, view: &SlotView<'_>) -> Next<O> {
        let Some((order_id, _)) = self.answered else {
            return Next::Send;
        };
        if order_id != record.order_id {
            self.answered = None;
            return Next::Send;
        }
        let mut settled = record.clone();
        settled.state = IntentState::Settled;
        if view.checks_fencing {
            // The receiver has seen this fence and refuses the earlier holders.
            settled.earlier.clear();
        }
        Next::Write(settled)
    }

    fn after_settled(&mut self, record: &Intent<O>, view: &SlotView<'_>) -> Next<O> {
        if record.earlier.is_empty() {
            return self.start(view);
        }
        if !view.checks_fencing && !self.still_sending(record, view).is_empty() {
            return Next::Read;
        }
        // Without this write the target would refuse every new order.
        let mut freed = record.clone();
        freed.earlier.clear();
        Next::Write(freed)
    }

    /// Continues an order of an earlier holder with the same id.
    fn take_over(&mut self, record: Intent<O>, view: &SlotView<'_>) -> Next<O> {
        let mut earlier = self.still_sending(&record, view);
        if !self.has_ended(&record, &record.holder, view) && !earlier.contains(&record.holder) {
            earlier.push(record.holder);
        }
        if view.exclusive && !earlier.is_empty() && !view.common.config.faults.ignore_earlier {
            return Next::Read;
        }
        Next::Write(Intent {
            fence: view.fence,
            holder: view.common.me,
            earlier,
            ..record
        })
    }

    fn start(&mut self, view: &SlotView<'_>) -> Next<O> {
        // The order stays in `wanted` until its record is known to be written.
        let Some(wanted) = self.wanted.clone() else {
            return Next::Wait;
        };
        self.answered = None;
        Next::Write(Intent {
            order_id: wanted.order_id,
            fence: view.fence,
            holder: view.common.me,
            order: wanted.order,
            target_incarnation: wanted.target_incarnation,
            state: IntentState::Pending,
            earlier: Vec::new(),
        })
    }

    fn still_sending(&self, record: &Intent<O>, view: &SlotView<'_>) -> Vec<Holder> {
        if view.common.config.faults.ignore_earlier {
            return Vec::new();
        }
        let earlier = record.earlier.iter().copied();
        earlier
            .filter(|h| !self.has_ended(record, h, view))
            .collect()
    }

    fn has_ended(&self, record: &Intent<O>, holder: &Holder, view: &SlotView<'_>) -> bool {
        let restarted = record.target_incarnation != Incarnation(0)
            && self.target_runs > record.target_incarnation;
        view.common.has_ended(holder, view.list_from)
            || (view.common.config.trust_target_incarnation && restarted)
    }
}
