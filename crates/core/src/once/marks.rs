//! Marks in the store: group commit, read-back and the lease.

use std::time::Duration;

use super::entry::Phase;
use super::{Answer, Mark, OnceCommand, OnceKey, OnceLedger, OnceOutcome, OnceRefusal};
use crate::store::{CallToken, StoreCall, StoreOp, StoreReply};

/// Purpose of a store call.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Lease,
    /// Keys with the serials of their entries, because a key may have a new entry when the reply
    /// arrives.
    Create(Vec<(OnceKey, u64)>),
    ReadBack(OnceKey, u64),
    Lookup(OnceKey),
}

impl OnceLedger {
    pub(super) fn call(&mut self, call: Call, op: StoreOp, out: &mut Vec<OnceCommand>) {
        let token = CallToken(self.next_token);
        self.next_token += 1;
        if matches!(call, Call::Lease) {
            self.lease_call = Some(token);
        }
        self.calls.insert(token, call);
        out.push(OnceCommand::Store(StoreCall { token, op }));
    }

    pub(super) fn queue_mark(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.phase = Phase::Queued;
        }
        self.queue.push(key);
        if !self.pending.contains(&key) {
            self.pending.push(key);
        }
        self.flush_at.get_or_insert(now + self.config.linger);
        if self.queue.len() >= self.config.batch {
            self.flush(now, out);
        }
    }

    /// Creates the queued marks in as few calls as possible. If the lease is missing or too old, a
    /// new one is requested first.
    pub(super) fn flush(&mut self, now: Duration, out: &mut Vec<OnceCommand>) {
        self.flush_at = None;
        if self.queue.is_empty() || self.lease_call.is_some() {
            return;
        }
        let period = self.config.lease_period;
        if self.lease.is_none_or(|(_, at)| now >= at + period) {
            let ttl = self.config.lease_ttl;
            return self.call(Call::Lease, StoreOp::GrantLease { ttl }, out);
        }
        while !self.queue.is_empty() {
            let size = self.queue.len().min(self.config.batch);
            let keys = self.queue.drain(..size).collect();
            self.create(keys, out);
        }
    }

    fn create(&mut self, keys: Vec<OnceKey>, out: &mut Vec<OnceCommand>) {
        let mut marked = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(entry) = self.entries.map.get_mut(&key) {
                entry.phase = Phase::Marking;
                marked.push((key, entry.serial, entry.body.unwrap_or_default()));
            }
        }
        let entries = marked
            .iter()
            .map(|(key, serial, body)| (key.store_key(), self.mark(*serial).encode(body)))
            .collect();
        let keys = marked
            .into_iter()
            .map(|(key, serial, _)| (key, serial))
            .collect();
        let lease = self.lease.map(|(lease, _)| lease);
        self.call(
            Call::Create(keys),
            StoreOp::CreateAll { entries, lease },
            out,
        );
    }

    pub(super) fn read_back(&mut self, key: OnceKey, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get_mut(&key) else {
            return;
        };
        entry.phase = Phase::Marking;
        let serial = entry.serial;
        let op = StoreOp::Get {
            key: key.store_key(),
        };
        self.call(Call::ReadBack(key, serial), op, out);
    }

    pub(super) fn stored(
        &mut self,
        token: CallToken,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        match self.calls.remove(&token) {
            Some(Call::Lease) => self.lease_call_completed(reply, now, out),
            Some(Call::Create(keys)) => self.create_completed(keys, reply, now, out),
            Some(Call::ReadBack(key, serial)) if self.is_marking(&key, serial) => {
                self.read_back_completed(key, reply, now, out);
            }
            Some(Call::ReadBack(..)) | None => {}
            Some(Call::Lookup(key)) => self.lookup_completed(key, reply, now, out),
        }
    }

    fn lease_call_completed(
        &mut self,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        self.lease_call = None;
        if let StoreReply::Granted { lease, .. } = reply {
            self.lease = Some((lease, now));
            return self.flush(now, out);
        }
        // A lease without marks is harmless, so a grant with an unknown result is not read back.
        for key in std::mem::take(&mut self.queue) {
            self.handle_store_refusal(key, now, out);
        }
    }

    fn create_completed(
        &mut self,
        marked: Vec<(OnceKey, u64)>,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        // One existing mark makes the whole transaction fail, so each mark is created separately.
        let split = marked.len() > 1 && matches!(reply, StoreReply::Conflict { .. });
        for (key, serial) in marked {
            if !self.is_marking(&key, serial) {
                continue;
            }
            match split {
                true => self.create(vec![key], out),
                false => self.key_create_completed(key, &reply, now, out),
            }
        }
    }

    fn key_create_completed(
        &mut self,
        key: OnceKey,
        reply: &StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        match reply {
            StoreReply::Written { .. } => self.mark_acquired(key, now, out),
            StoreReply::Conflict {
                current: Some(entry),
                ..
            } => self.mark_found(key, &entry.value, now, out),
            StoreReply::Conflict { current: None, .. } => self.read_back(key, out),
            StoreReply::Refused => self.handle_store_refusal(key, now, out),
            StoreReply::Expired => {
                self.lease = None;
                self.queue_mark(key, now, out);
            }
            _ if !self.config.read_back => self.mark_acquired(key, now, out),
            _ => {
                if let Some(entry) = self.entries.map.get_mut(&key) {
                    entry.create_unknown = true;
                }
                self.read_back(key, out);
            }
        }
    }

    fn read_back_completed(
        &mut self,
        key: OnceKey,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        match reply {
            StoreReply::Value {
                entry: Some(entry), ..
            } => self.mark_found(key, &entry.value, now, out),
            // The same value is created again. If the first call takes effect late, the mark still
            // belongs to this entry.
            StoreReply::Value { entry: None, .. } => self.create(vec![key], out),
            _ => self.read_back_later(key, now),
        }
    }

    fn mark_found(
        &mut self,
        key: OnceKey,
        value: &[u8],
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        let Some(entry) = self.entries.map.get(&key) else {
            return;
        };
        let Some((mark, body)) = Mark::decode(value) else {
            return self.remove_entry(key, out, Answer::Outcome(OnceOutcome::Unknown));
        };
        if mark == self.mark(entry.serial) {
            return self.mark_acquired(key, now, out);
        }
        if entry.body != Some(body) {
            return self.remove_entry(key, out, Answer::Refuse(OnceRefusal::BodyDiffers));
        }
        if mark.vm == self.vm {
            // An earlier entry or process run of this vm created the mark, and its outcome is no
            // longer available.
            return self.remove_entry(key, out, Answer::Outcome(OnceOutcome::Unknown));
        }
        self.query_holder(key, mark, now, out);
    }

    fn mark_acquired(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get(&key) else {
            return;
        };
        if entry.deadline <= now {
            return self.finish(key, OnceOutcome::NotRun, now, out);
        }
        self.run(key, out);
    }

    /// Refuses a key because the store did not accept its mark. If an earlier create call may still
    /// take effect, the mark is read back instead.
    fn handle_store_refusal(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get(&key) else {
            return;
        };
        if entry.create_unknown {
            return self.read_back_later(key, now);
        }
        self.remove_entry(key, out, Answer::Refuse(OnceRefusal::StoreUnavailable));
    }

    fn read_back_later(&mut self, key: OnceKey, now: Duration) {
        let at = now + self.config.retry_interval;
        if let Some(entry) = self.entries.map.get_mut(&key) {
            entry.phase = Phase::ReadBack { at };
        }
    }

    fn is_marking(&self, key: &OnceKey, serial: u64) -> bool {
        let entry = self.entries.map.get(key);
        entry.is_some_and(|e| e.phase == Phase::Marking && e.serial == serial)
    }
}
