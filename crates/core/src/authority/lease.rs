//! The lease of one scope: acquisition, renewal, expiry and release.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::intent::{Holder, Intent, IntentState};
use super::machine::{Command, Common, Outcome, Purpose, Refusal, SendResult};
use super::scope::Scope;
use super::slot::{QueuedOrder, Slot, SlotAction, SlotContext};
use crate::invariant::{Invariant, check};
use crate::store::{CallToken, Entry, Expected, Guard, LeaseId, StoreOp, StoreReply};
use crate::{Fence, Incarnation, Revision};

/// Value of a lease key. The lease id distinguishes the attempts of one vm to create the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseValue {
    #[serde(flatten)]
    holder: Holder,
    lease: LeaseId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits until `not_before` and then reads whether the lease key exists.
    Idle,
    /// Requests a lease from the store.
    Granting,
    /// Creates the lease key.
    Creating,
    /// Reads the lease key after its creation got no answer.
    ReadingBack,
    /// Reads the intents of the scope.
    Listing,
    Holding,
    /// Revokes the lease.
    Revoking,
    /// Marks the intents of this process as released until a listing shows none.
    Releasing,
}

/// State of one scope at one vm.
#[derive(Debug)]
pub(super) struct ScopeState<O> {
    scope: Scope,
    pub(super) checks_fencing: bool,
    phase: Phase,
    not_before: Duration,
    /// Era of the store when this process last read the lease key.
    seen_era: Option<u64>,
    /// False until the first probe of the scope is scheduled.
    probe_scheduled: bool,
    /// Pending lease call and the time at which it was requested.
    pending_call: Option<(CallToken, Duration)>,
    renewal: Option<(CallToken, Duration)>,
    renew_at: Duration,
    lease: Option<LeaseId>,
    fence: Fence,
    valid_until: Duration,
    /// No release is written before this time, because an unanswered send may still arrive.
    release_not_before: Duration,
    /// Time from which an arriving vm list is newer than the intents of earlier holders.
    fresh_list_from: Duration,
    pending_releases: u32,
    slots: BTreeMap<String, Slot<O>>,
}

impl<O> ScopeState<O> {
    pub(super) fn new(scope: Scope) -> Self {
        Self {
            scope,
            checks_fencing: false,
            phase: Phase::Idle,
            not_before: Duration::ZERO,
            seen_era: None,
            probe_scheduled: false,
            pending_call: None,
            renewal: None,
            renew_at: Duration::ZERO,
            lease: None,
            fence: Fence(0),
            valid_until: Duration::ZERO,
            release_not_before: Duration::ZERO,
            fresh_list_from: Duration::ZERO,
            pending_releases: 0,
            slots: BTreeMap::new(),
        }
    }

    pub(super) fn fence_at(&self, now: Duration) -> Option<Fence> {
        let holds = self.phase == Phase::Holding && now < self.valid_until;
        holds.then_some(self.fence)
    }

    pub(super) fn remaining_validity(&self, now: Duration) -> Option<Duration> {
        self.fence_at(now)?;
        Some(self.valid_until.saturating_sub(now))
    }

    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.pending_call.is_none()
    }

    pub(super) fn set_target_incarnation(&mut self, target: &str, incarnation: Incarnation) {
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        slot.latest_target_incarnation = slot.latest_target_incarnation.max(incarnation);
    }
}

impl<O> ScopeState<O>
where
    O: Clone + PartialEq + Serialize + DeserializeOwned,
{
    /// Orders that are queued or recorded, and not settled.
    pub(super) fn unsettled(&self) -> Vec<(String, O)> {
        let order = |slot: &Slot<O>| {
            let pending = slot.record.as_ref();
            let pending = pending.filter(|r| r.state == IntentState::Pending);
            let queued = slot.queued.as_ref().map(|q| q.order.clone());
            pending.map(|r| r.order.clone()).or(queued)
        };
        let slots = self.slots.iter();
        slots
            .filter_map(|(target, slot)| Some((target.clone(), order(slot)?)))
            .collect()
    }

    pub(super) fn request(
        &mut self,
        target: String,
        queued: QueuedOrder<O>,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        let reason = if self.fence_at(now).is_none() {
            Some(Refusal::NotHolder)
        } else if self.slots.get(&target).is_some_and(Slot::is_taken) {
            Some(Refusal::Unsettled)
        } else {
            None
        };
        if let Some(reason) = reason {
            out.push(Command::Refused {
                scope: self.scope.clone(),
                target,
                order: queued.order,
                reason,
            });
            return;
        }
        self.slots.entry(target).or_default().queued = Some(queued);
    }

    pub(super) fn send_ended(
        &mut self,
        common: &Common,
        target: &str,
        order_id: u64,
        result: SendResult,
        now: Duration,
    ) {
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        if slot.sending != Some(order_id) {
            return;
        }
        slot.sending = None;
        match result {
            SendResult::Accepted => slot.unrecorded_outcome = Some((order_id, Outcome::Accepted)),
            SendResult::Rejected => slot.unrecorded_outcome = Some((order_id, Outcome::Rejected)),
            SendResult::StaleFence => self.valid_until = Duration::ZERO,
            SendResult::Busy | SendResult::NotSent => {
                slot.not_before = now + common.config.retry_delay;
            }
            SendResult::Unknown => {
                slot.not_before = now + common.config.retry_delay;
                self.release_not_before = now + common.config.max_delivery_delay;
            }
        }
    }

    /// Requests the store calls and sends that are due.
    pub(super) fn drive(&mut self, common: &mut Common, now: Duration, out: &mut Vec<Command<O>>) {
        if self.phase == Phase::Holding {
            self.drive_held(common, now, out);
        }
        if self.pending_call.is_some() || now < self.not_before {
            return;
        }
        match self.phase {
            Phase::Idle if common.stopping || !common.vms.contains(&common.me.vm) => {}
            Phase::Idle if !self.probe_scheduled => {
                // Without this delay, all vms of a starting fleet would contend at the same time.
                self.probe_scheduled = true;
                let delay = common.probe_delay(&self.scope);
                self.not_before = now + delay.saturating_sub(common.config.probe_interval);
            }
            Phase::Idle => {
                let key = self.scope.lease_key();
                self.lease_call(common, StoreOp::Get { key }, now, out);
            }
            Phase::Granting => {
                let ttl = common.config.ttl;
                self.lease_call(common, StoreOp::GrantLease { ttl }, now, out);
            }
            Phase::Creating => self.create_lease_key(common, now, out),
            Phase::ReadingBack => {
                let key = self.scope.lease_key();
                self.lease_call(common, StoreOp::Get { key }, now, out);
            }
            Phase::Listing => self.list_intents(common, now, out),
            Phase::Holding => {}
            Phase::Revoking => match self.lease {
                Some(lease) => self.lease_call(common, StoreOp::Revoke { lease }, now, out),
                None => self.phase = Phase::Idle,
            },
            Phase::Releasing => {
                let sending = self.slots.values().any(|s| s.sending.is_some());
                if !sending && self.pending_releases == 0 && now >= self.release_not_before {
                    self.list_intents(common, now, out);
                }
            }
        }
    }

    fn drive_held(&mut self, common: &mut Common, now: Duration, out: &mut Vec<Command<O>>) {
        if now >= self.valid_until && !common.config.faults.skip_validity_check {
            return self.step_down(out);
        }
        if common.stopping {
            let busy = |s: &Slot<O>| s.sending.is_some() || s.call.is_some();
            if !self.slots.values().any(busy) {
                return self.step_down(out);
            }
        } else if self.renewal.is_none()
            && now >= self.renew_at
            && let Some(lease) = self.lease
        {
            let op = StoreOp::KeepAlive { lease };
            let token = common.call(&self.scope, Purpose::Renew, op, out);
            self.renewal = Some((token, now));
        }
        let targets: Vec<String> = self.slots.keys().cloned().collect();
        for target in targets {
            self.drive_slot(common, &target, now, out);
        }
    }

    fn drive_slot(
        &mut self,
        common: &mut Common,
        target: &str,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        let context = SlotContext {
            common,
            fence: self.fence,
            checks_fencing: self.checks_fencing,
            exclusive: self.scope.is_exclusive(),
            fresh_list_from: self.fresh_list_from,
        };
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        let key = format!("{}{target}", self.scope.intent_prefix());
        let purpose = Purpose::Slot(target.to_owned());
        match slot.next_action(&context, now) {
            SlotAction::Wait => {}
            SlotAction::Read => {
                let token = common.call(&self.scope, purpose, StoreOp::Get { key }, out);
                slot.call = Some((token, None));
                slot.not_before = now + common.config.probe_interval;
            }
            SlotAction::Write(record) if common.config.faults.skip_intents => {
                slot.written(record, Revision(0));
                if slot.unrecorded_outcome.is_none() {
                    self.send(common, target, now, out);
                }
            }
            SlotAction::Write(record) => {
                let op = StoreOp::Cas {
                    key,
                    expected: slot.expected(),
                    value: record.encode(),
                    lease: None,
                    guard: Some(Guard {
                        key: self.scope.lease_key(),
                        created: Revision(self.fence.0),
                    }),
                };
                let token = common.call(&self.scope, purpose, op, out);
                slot.call = Some((token, Some(record)));
            }
            SlotAction::Send if common.stopping => {}
            SlotAction::Send => self.send(common, target, now, out),
        }
    }

    fn send(&mut self, common: &Common, target: &str, now: Duration, out: &mut Vec<Command<O>>) {
        let valid = now < self.valid_until;
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        let Some(record) = slot.record.clone() else {
            return;
        };
        if !check(Invariant::StaleHolderHasNoEffect, valid, || {
            format!(
                "order to {target} in {} after the lease expired",
                self.scope
            )
        }) && !common.config.faults.skip_validity_check
        {
            return;
        }
        let own = record.state == IntentState::Pending
            && record.fence == self.fence
            && slot.sending.is_none();
        check(Invariant::NoConflictingOrders, own, || {
            format!(
                "order to {target} in {} without an intent of this holder",
                self.scope
            )
        });
        let alone = !self.scope.is_exclusive() || record.earlier_holders.is_empty();
        let name = match self.scope {
            Scope::Usage => Invariant::OneUsageFigure,
            _ => Invariant::OnePlatformOrderer,
        };
        check(name, alone, || {
            format!(
                "order in {} while an earlier holder may still send",
                self.scope
            )
        });
        slot.sending = Some(record.order_id);
        out.push(Command::Send {
            scope: self.scope.clone(),
            target: target.to_owned(),
            order_id: record.order_id,
            fence: self.fence,
            order: record.order,
            deadline: now + common.config.send_timeout,
        });
    }

    /// Stops acting as holder. The lease is revoked before the intents of this process are
    /// released, so that a delayed write of an intent cannot take effect afterwards.
    fn step_down(&mut self, out: &mut Vec<Command<O>>) {
        self.phase = Phase::Revoking;
        self.renewal = None;
        self.pending_call = None;
        self.not_before = Duration::ZERO;
        for (target, slot) in &mut self.slots {
            slot.call = None;
            if let Some(queued) = slot.queued.take() {
                out.push(Command::Refused {
                    scope: self.scope.clone(),
                    target: target.clone(),
                    order: queued.order,
                    reason: Refusal::NotHolder,
                });
            }
        }
        out.push(Command::Lost(self.scope.clone()));
    }

    fn create_lease_key(&mut self, common: &mut Common, now: Duration, out: &mut Vec<Command<O>>) {
        let Some(lease) = self.lease else {
            self.phase = Phase::Idle;
            return;
        };
        let op = StoreOp::Cas {
            key: self.scope.lease_key(),
            expected: Expected::Absent,
            value: lease_value(common, lease),
            lease: Some(lease),
            guard: None,
        };
        self.lease_call(common, op, now, out);
    }

    fn list_intents(&mut self, common: &mut Common, now: Duration, out: &mut Vec<Command<O>>) {
        let prefix = self.scope.intent_prefix();
        self.lease_call(common, StoreOp::List { prefix }, now, out);
    }

    fn lease_call(
        &mut self,
        common: &mut Common,
        op: StoreOp,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        let token = common.call(&self.scope, Purpose::Lease, op, out);
        self.pending_call = Some((token, now));
    }

    /// Handles the reply of a store call.
    pub(super) fn reply(
        &mut self,
        common: &mut Common,
        token: CallToken,
        purpose: Purpose,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        match purpose {
            Purpose::Slot(target) => self.slot_reply(token, &target, reply, now, common, out),
            Purpose::Release => self.pending_releases = self.pending_releases.saturating_sub(1),
            Purpose::Renew => {
                let Some((_, sent)) = self.renewal.take_if(|(t, _)| *t == token) else {
                    return;
                };
                self.renewed(common, sent, reply, now);
            }
            Purpose::Lease => {
                let Some((_, sent)) = self.pending_call.take_if(|(t, _)| *t == token) else {
                    return;
                };
                self.lease_reply(common, sent, reply, now, out);
            }
        }
    }

    fn renewed(&mut self, common: &Common, sent: Duration, reply: StoreReply, now: Duration) {
        let config = &common.config;
        match reply {
            StoreReply::Alive { ttl } => {
                let until = (sent + ttl).saturating_sub(config.margin);
                self.valid_until = self.valid_until.max(until);
                self.renew_at = sent + config.renew_interval;
            }
            StoreReply::Expired => self.valid_until = Duration::ZERO,
            _ => self.renew_at = now + config.retry_delay,
        }
    }

    fn lease_reply(
        &mut self,
        common: &mut Common,
        sent: Duration,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        let retry = now + common.config.retry_delay;
        match (self.phase, reply) {
            (Phase::Idle, StoreReply::Value { entry, store }) => {
                let era = store.era();
                let is_restored = self.seen_era.replace(era).is_some_and(|seen| seen < era);
                match entry {
                    // The copy may lack the key of a holder whose lease is still valid.
                    None if is_restored => self.not_before = now + common.config.ttl,
                    None => self.phase = Phase::Granting,
                    Some(_) => self.not_before = now + common.probe_delay(&self.scope),
                }
            }
            (Phase::Idle, _) => self.not_before = now + common.probe_delay(&self.scope),
            (Phase::Granting, StoreReply::Granted { lease, ttl }) => {
                self.lease = Some(lease);
                self.valid_until = (sent + ttl).saturating_sub(common.config.margin);
                self.renew_at = sent + common.config.renew_interval;
                self.phase = Phase::Creating;
            }
            (Phase::Granting, _) => self.back_off(common, now),
            (Phase::Creating, StoreReply::Written { revision }) => self.lease_key_created(revision),
            (Phase::Creating, StoreReply::Unknown) => {
                self.phase = Phase::ReadingBack;
                self.not_before = retry;
            }
            (Phase::Creating, StoreReply::Conflict { current, .. }) => {
                self.handle_lease_key(common, current, now);
            }
            (Phase::Creating, _) => self.abandon_lease(),
            (Phase::ReadingBack, StoreReply::Value { entry, .. }) => match entry {
                // The first creation may still take effect; a second one is harmless.
                None if now < self.valid_until => self.phase = Phase::Creating,
                entry => self.handle_lease_key(common, entry, now),
            },
            (Phase::ReadingBack, _) if now >= self.valid_until => self.abandon_lease(),
            (Phase::ReadingBack, _) => self.not_before = retry,
            (Phase::Listing, _) if now >= self.valid_until => self.abandon_lease(),
            // The store was restored after the key had been created, so the key may be lost.
            (Phase::Listing, StoreReply::Values { store, .. })
                if store.era() > Revision(self.fence.0).era() =>
            {
                self.abandon_lease();
            }
            (Phase::Listing, StoreReply::Values { entries, .. }) => {
                self.fresh_list_from = now + common.config.max_vm_list_age;
                self.become_holder(entries, out);
            }
            (Phase::Listing, _) => self.not_before = retry,
            (Phase::Revoking, StoreReply::Revoked | StoreReply::Expired) => {
                self.lease = None;
                self.phase = Phase::Releasing;
            }
            (Phase::Revoking, _) => self.not_before = retry,
            (Phase::Releasing, StoreReply::Values { entries, .. }) => {
                self.release(common, &entries, now, out);
            }
            (Phase::Releasing, _) => self.not_before = retry,
            (Phase::Holding, _) => {}
        }
    }

    fn back_off(&mut self, common: &mut Common, now: Duration) {
        self.phase = Phase::Idle;
        self.not_before = now + common.probe_delay(&self.scope);
    }

    fn abandon_lease(&mut self) {
        self.phase = Phase::Revoking;
    }

    fn handle_lease_key(&mut self, common: &Common, entry: Option<Entry>, _now: Duration) {
        let own = self.lease.map(|lease| lease_value(common, lease));
        match entry {
            Some(entry) if Some(&entry.value) == own.as_ref() => {
                self.lease_key_created(entry.created)
            }
            _ => self.abandon_lease(),
        }
    }

    fn lease_key_created(&mut self, revision: Revision) {
        self.fence = Fence(revision.0);
        self.phase = Phase::Listing;
    }

    fn become_holder(&mut self, entries: Vec<Entry>, out: &mut Vec<Command<O>>) {
        let prefix = self.scope.intent_prefix();
        self.slots.clear();
        for entry in entries {
            let Some(target) = entry.key.strip_prefix(&prefix) else {
                continue;
            };
            let target = target.to_owned();
            self.slots.entry(target).or_default().refresh(Some(entry));
        }
        self.phase = Phase::Holding;
        out.push(Command::Acquired(self.scope.clone(), self.fence));
    }

    fn release(
        &mut self,
        common: &mut Common,
        entries: &[Entry],
        now: Duration,
        out: &mut Vec<Command<O>>,
    ) {
        for entry in entries {
            let Some(record) = Intent::<O>::decode(&entry.value) else {
                continue;
            };
            let Some(released) = released_by(common.me, record) else {
                continue;
            };
            let op = StoreOp::Cas {
                key: entry.key.clone(),
                expected: Expected::At(entry.modified),
                value: released.encode(),
                lease: None,
                guard: None,
            };
            common.call::<O>(&self.scope, Purpose::Release, op, out);
            self.pending_releases += 1;
        }
        if self.pending_releases > 0 {
            // The next listing shows whether the releases took effect.
            self.not_before = now + common.config.retry_delay;
            return;
        }
        self.slots.clear();
        self.back_off(common, now);
    }

    fn slot_reply(
        &mut self,
        token: CallToken,
        target: &str,
        reply: StoreReply,
        now: Duration,
        common: &Common,
        out: &mut Vec<Command<O>>,
    ) {
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        let Some((_, written)) = slot.call.take_if(|(t, _)| *t == token) else {
            return;
        };
        match (written, reply) {
            (Some(record), StoreReply::Written { revision }) => {
                slot.written(record, revision);
                self.report_settled(target, out);
            }
            (Some(_), StoreReply::Conflict { current, .. }) => {
                let revision = current.as_ref().map_or(Revision(0), |e| e.modified);
                if revision == slot.revision {
                    // Only the guard can have failed, so the lease key no longer exists.
                    self.valid_until = Duration::ZERO;
                    return;
                }
                slot.refresh(current);
                self.report_settled(target, out);
            }
            (None, StoreReply::Value { entry, .. }) => {
                slot.refresh(entry);
                self.report_settled(target, out);
            }
            (written, _) => {
                slot.write_unconfirmed |= written.is_some();
                slot.not_before = now + common.config.retry_delay;
            }
        }
    }

    /// Reports the end of an order once its record is settled.
    fn report_settled(&mut self, target: &str, out: &mut Vec<Command<O>>) {
        let Some(slot) = self.slots.get_mut(target) else {
            return;
        };
        let Some(record) = &slot.record else {
            return;
        };
        let settled = record.state == IntentState::Settled && record.fence == self.fence;
        let unrecorded_outcome = slot.unrecorded_outcome;
        let Some((order_id, outcome)) =
            unrecorded_outcome.filter(|(id, _)| settled && *id == record.order_id)
        else {
            return;
        };
        let order = record.order.clone();
        slot.unrecorded_outcome = None;
        out.push(Command::Finished {
            scope: self.scope.clone(),
            target: target.to_owned(),
            order_id,
            order,
            outcome,
        });
    }
}

fn lease_value(common: &Common, lease: LeaseId) -> Vec<u8> {
    let holder = common.me;
    serde_json::to_vec(&LeaseValue { holder, lease }).unwrap_or_default()
}

/// Returns the record without the given holder, or `None` if it does not name the holder as a
/// possible sender.
fn released_by<O>(me: Holder, mut record: Intent<O>) -> Option<Intent<O>> {
    let named = record.earlier_holders.contains(&me);
    let pending = record.holder == me && record.state == IntentState::Pending;
    if !named && !pending {
        return None;
    }
    record.earlier_holders.retain(|h| *h != me);
    if pending {
        record.state = IntentState::Released;
    }
    Some(record)
}
