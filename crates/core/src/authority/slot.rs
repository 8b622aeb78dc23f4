//! The intent of one target and the next action on it.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::intent::{Holder, Intent, IntentState};
use super::machine::{Common, Outcome};
use crate::store::{CallToken, Entry, Expected};
use crate::{Fence, Incarnation, Revision};

/// Next action on the intent of a target.
#[derive(Debug, PartialEq)]
pub(super) enum SlotAction<O> {
    /// Nothing is due.
    Wait,
    /// Reads the record again, because an earlier holder may have released it.
    Read,
    /// Writes a record.
    Write(Intent<O>),
    /// Sends the order of the record.
    Send,
}

/// An order that has no record yet. Its id is assigned before the first write, so that a record
/// whose write had no answer is recognized when a later read returns it.
#[derive(Clone, Debug)]
pub(super) struct QueuedOrder<O> {
    pub(super) order_id: u64,
    pub(super) target_incarnation: Incarnation,
    pub(super) order: O,
}

/// The intent of one target, as the holder of its scope last read or wrote it.
#[derive(Debug)]
pub(super) struct Slot<O> {
    pub(super) record: Option<Intent<O>>,
    pub(super) revision: Revision,
    /// Order that is not recorded yet.
    pub(super) queued: Option<QueuedOrder<O>>,
    /// Pending store call with the record it writes, or `None` for a read.
    pub(super) call: Option<(CallToken, Option<Intent<O>>)>,
    /// True if a write had no answer. The record is read before anything else is done.
    pub(super) write_unconfirmed: bool,
    /// Order whose send has not ended.
    pub(super) sending: Option<u64>,
    /// Order id and the receiver's answer, until the answer is recorded.
    pub(super) unrecorded_outcome: Option<(u64, Outcome)>,
    pub(super) latest_target_incarnation: Incarnation,
    pub(super) not_before: Duration,
}

impl<O> Default for Slot<O> {
    fn default() -> Self {
        Self {
            record: None,
            revision: Revision(0),
            queued: None,
            call: None,
            write_unconfirmed: false,
            sending: None,
            unrecorded_outcome: None,
            latest_target_incarnation: Incarnation(0),
            not_before: Duration::ZERO,
        }
    }
}

/// State outside of a slot on which its next action depends.
pub(super) struct SlotContext<'a> {
    pub(super) common: &'a Common,
    pub(super) fence: Fence,
    pub(super) checks_fencing: bool,
    pub(super) exclusive: bool,
    pub(super) fresh_list_from: Duration,
}

impl<O: Clone + PartialEq + Serialize + DeserializeOwned> Slot<O> {
    /// Replaces the record by the one that the store returned.
    pub(super) fn refresh(&mut self, entry: Option<Entry>) {
        self.write_unconfirmed = false;
        self.revision = entry.as_ref().map_or(Revision(0), |e| e.modified);
        self.record = entry.and_then(|e| Intent::decode(&e.value));
        self.drop_recorded_order();
    }

    /// Replaces the record by one that this vm has written.
    pub(super) fn written(&mut self, record: Intent<O>, revision: Revision) {
        self.revision = revision;
        self.record = Some(record);
        self.drop_recorded_order();
    }

    fn drop_recorded_order(&mut self) {
        let id = self.record.as_ref().map(|r| r.order_id);
        self.queued = self.queued.take().filter(|q| Some(q.order_id) != id);
    }

    /// State of the key that a write requires.
    pub(super) fn expected(&self) -> Expected {
        if self.revision == Revision(0) {
            return Expected::Absent;
        }
        Expected::At(self.revision)
    }

    /// True if an earlier order is not settled, so that a new one is refused.
    pub(super) fn is_taken(&self) -> bool {
        let pending = self
            .record
            .as_ref()
            .is_some_and(|r| r.state == IntentState::Pending || !r.earlier_holders.is_empty());
        self.queued.is_some() || self.sending.is_some() || pending
    }

    /// Decides the next action.
    pub(super) fn next_action(
        &mut self,
        context: &SlotContext<'_>,
        now: Duration,
    ) -> SlotAction<O> {
        if self.call.is_some() || self.sending.is_some() || now < self.not_before {
            return SlotAction::Wait;
        }
        if self.write_unconfirmed {
            return SlotAction::Read;
        }
        let Some(record) = self.record.clone() else {
            return self.start(context);
        };
        if record.state != IntentState::Pending {
            return self.after_settled(&record, context);
        }
        if record.fence == context.fence && record.holder == context.common.me {
            return self.continue_own(&record, context);
        }
        self.take_over(record, context)
    }

    fn continue_own(&mut self, record: &Intent<O>, context: &SlotContext<'_>) -> SlotAction<O> {
        let Some((order_id, _)) = self.unrecorded_outcome else {
            return SlotAction::Send;
        };
        if order_id != record.order_id {
            self.unrecorded_outcome = None;
            return SlotAction::Send;
        }
        let mut settled = record.clone();
        settled.state = IntentState::Settled;
        if context.checks_fencing {
            // The receiver has received this fence and refuses orders of earlier holders.
            settled.earlier_holders.clear();
        }
        SlotAction::Write(settled)
    }

    fn after_settled(&mut self, record: &Intent<O>, context: &SlotContext<'_>) -> SlotAction<O> {
        if record.earlier_holders.is_empty() {
            return self.start(context);
        }
        if !context.checks_fencing && !self.possible_senders(record, context).is_empty() {
            return SlotAction::Read;
        }
        // Without this write, every new order to the target would be refused as unsettled.
        let mut cleared = record.clone();
        cleared.earlier_holders.clear();
        SlotAction::Write(cleared)
    }

    /// Takes over an order of an earlier holder under the same id.
    fn take_over(&mut self, record: Intent<O>, context: &SlotContext<'_>) -> SlotAction<O> {
        let mut earlier_holders = self.possible_senders(&record, context);
        if !self.has_ended(&record, &record.holder, context)
            && !earlier_holders.contains(&record.holder)
        {
            earlier_holders.push(record.holder);
        }
        if context.exclusive
            && !earlier_holders.is_empty()
            && !context.common.config.faults.ignore_earlier_holders
        {
            return SlotAction::Read;
        }
        SlotAction::Write(Intent {
            fence: context.fence,
            holder: context.common.me,
            earlier_holders,
            ..record
        })
    }

    fn start(&mut self, context: &SlotContext<'_>) -> SlotAction<O> {
        // The order stays in `queued` until the write of its record is confirmed.
        let Some(queued) = self.queued.clone() else {
            return SlotAction::Wait;
        };
        self.unrecorded_outcome = None;
        SlotAction::Write(Intent {
            order_id: queued.order_id,
            fence: context.fence,
            holder: context.common.me,
            order: queued.order,
            target_incarnation: queued.target_incarnation,
            state: IntentState::Pending,
            earlier_holders: Vec::new(),
        })
    }

    /// Earlier holders that may still send the order.
    fn possible_senders(&self, record: &Intent<O>, context: &SlotContext<'_>) -> Vec<Holder> {
        if context.common.config.faults.ignore_earlier_holders {
            return Vec::new();
        }
        let earlier_holders = record.earlier_holders.iter().copied();
        earlier_holders
            .filter(|h| !self.has_ended(record, h, context))
            .collect()
    }

    fn has_ended(&self, record: &Intent<O>, holder: &Holder, context: &SlotContext<'_>) -> bool {
        let restarted = record.target_incarnation != Incarnation(0)
            && self.latest_target_incarnation > record.target_incarnation;
        context.common.has_ended(holder, context.fresh_list_from)
            || (context.common.config.trust_target_incarnation && restarted)
    }
}
