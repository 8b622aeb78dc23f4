//! Marks in the store: group commit, read-back and the hourly lease.

use std::time::Duration;

use super::entry::Phase;
use super::{Answer, Mark, OnceCommand, OnceKey, OnceLedger, OnceOutcome, OnceRefusal};
use crate::store::{CallToken, StoreCall, StoreOp, StoreReply};

/// What a store call was made for.
#[derive(Clone, Debug)]
pub(super) enum Call {
    Lease,
    /// Keys with the serials of their entries, because a key may have a new entry by the reply.
    Create(Vec<(OnceKey, u64)>),
    ReadBack(OnceKey, u64),
    Look(OnceKey),
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

    pub(super) fn enqueue(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
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

    /// Creates the queued marks in one call, after a lease was granted if none is young enough.
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
            Some(Call::Lease) => self.lease_granted(reply, now, out),
            Some(Call::Create(keys)) => self.created(keys, reply, now, out),
            Some(Call::ReadBack(key, serial)) if self.is_marking(&key, serial) => {
                self.was_read_back(key, reply, now, out);
            }
            Some(Call::ReadBack(..)) | None => {}
            Some(Call::Look(key)) => self.looked(key, reply, now, out),
        }
    }

    fn lease_granted(&mut self, reply: StoreReply, now: Duration, out: &mut Vec<OnceCommand>) {
        self.lease_call = None;
        if let StoreReply::Granted { lease, .. } = reply {
            self.lease = Some((lease, now));
            return self.flush(now, out);
        }
        // A lease without marks harms nothing, so an unknown grant is not read back.
        for key in std::mem::take(&mut self.queue) {
            self.unavailable(key, now, out);
        }
    }

    fn created(
        &mut self,
        marked: Vec<(OnceKey, u64)>,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        // One existing mark fails the whole group, so each mark is created on its own.
        let split = marked.len() > 1 && matches!(reply, StoreReply::Conflict { .. });
        for (key, serial) in marked {
            if !self.is_marking(&key, serial) {
                continue;
            }
            match split {
                true => self.create(vec![key], out),
                false => self.key_created(key, &reply, now, out),
            }
        }
    }

    fn key_created(
        &mut self,
        key: OnceKey,
        reply: &StoreReply,
        now: Duration,
        out: &mut Vec<OnceCommand>,
    ) {
        match reply {
            StoreReply::Written { .. } => self.mark_is_ours(key, now, out),
            StoreReply::Conflict {
                current: Some(entry),
                ..
            } => self.mark_found(key, &entry.value, now, out),
            StoreReply::Conflict { current: None, .. } => self.read_back(key, out),
            StoreReply::Refused => self.unavailable(key, now, out),
            StoreReply::Expired => {
                self.lease = None;
                self.enqueue(key, now, out);
            }
            _ if !self.config.read_back => self.mark_is_ours(key, now, out),
            _ => {
                if let Some(entry) = self.entries.map.get_mut(&key) {
                    entry.create_unknown = true;
                }
                self.read_back(key, out);
            }
        }
    }

    fn was_read_back(
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
            // The same value is created again: if the first call lands late, it is still our mark.
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
            return self.forget(key, out, Answer::Outcome(OnceOutcome::Unknown));
        };
        if mark == self.mark(entry.serial) {
            return self.mark_is_ours(key, now, out);
        }
        if entry.body != Some(body) {
            return self.forget(key, out, Answer::Refuse(OnceRefusal::BodyDiffers));
        }
        if mark.vm == self.vm {
            // An earlier entry or run of this vm created it, and its outcome was not kept.
            return self.forget(key, out, Answer::Outcome(OnceOutcome::Unknown));
        }
        self.ask(key, mark, now, out);
    }

    fn mark_is_ours(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get(&key) else {
            return;
        };
        if entry.deadline <= now {
            return self.finish(key, OnceOutcome::NotRun, now, out);
        }
        self.run(key, out);
    }

    /// Refuses a key whose mark the store did not take.
    fn unavailable(&mut self, key: OnceKey, now: Duration, out: &mut Vec<OnceCommand>) {
        let Some(entry) = self.entries.map.get(&key) else {
            return;
        };
        if entry.create_unknown {
            return self.read_back_later(key, now);
        }
        self.forget(key, out, Answer::Refuse(OnceRefusal::StoreUnavailable));
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
