//! Entries of the ledger.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::{BodyHash, Mark, OnceKey, OnceOutcome, StoredAnswer};
use crate::RequestId;

/// Phase of the request of one key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The mark waits for the next group commit.
    Queued,
    /// A store call for the mark is in flight.
    Marking,
    /// It is unknown whether the mark was created. It is read back at this time.
    ReadBack { at: Duration },
    /// The mark belongs to another vm, which was queried for the outcome.
    Querying { mark: Mark, at: Duration },
    /// The request is being executed.
    Running,
    /// The mark belongs to this entry, and nothing was sent to a target.
    Held,
    /// It is unknown whether the mark was created, and the request is never sent.
    GivenUp,
    /// The outcome is final.
    Final(OnceOutcome),
}

/// One key in the ledger.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) phase: Phase,
    /// `None` if only the outcome was queried so far.
    pub(super) body: Option<BodyHash>,
    pub(super) serial: u64,
    pub(super) deadline: Duration,
    /// The entry is retained at least until this time. For a ticket this is its expiry, because the
    /// ticket could start a request until then.
    pub(super) retain_until: Duration,
    /// Requests that wait for the outcome. The first one runs if the mark belongs to this entry.
    pub(super) waiters: SmallVec<[RequestId; 2]>,
    /// Whether a create call had no known result and may still take effect.
    pub(super) create_unknown: bool,
    /// Number of executions that were handed out, except those reported as not sent.
    pub(super) runs: u32,
}

impl Entry {
    fn is_settled(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::GivenUp | Phase::Final(_))
    }

    /// Removes and returns all requests that wait for the key.
    pub(super) fn take_waiters(&mut self) -> SmallVec<[RequestId; 2]> {
        std::mem::take(&mut self.waiters)
    }
}

/// All entries, with bounded memory for stored answers.
#[derive(Debug, Default)]
pub(super) struct Entries {
    pub(super) map: HashMap<OnceKey, Entry>,
    kept: VecDeque<(OnceKey, u64)>,
    kept_bytes: usize,
    expirations: VecDeque<(Duration, OnceKey, u64)>,
}

impl Entries {
    /// Stores the final outcome of an entry and drops the oldest bodies beyond `limit_bytes`.
    pub(super) fn finish(
        &mut self,
        key: OnceKey,
        outcome: OnceOutcome,
        end: Duration,
        limit: usize,
    ) {
        let Some(entry) = self.map.get_mut(&key) else {
            return;
        };
        let serial = entry.serial;
        let size = body_bytes(&outcome);
        entry.phase = Phase::Final(outcome);
        entry.retain_until = entry.retain_until.max(end);
        self.expirations
            .push_back((entry.retain_until, key, serial));
        if size > 0 {
            self.kept.push_back((key, serial));
            self.kept_bytes += size;
        }
        while self.kept_bytes > limit {
            let Some((oldest, serial)) = self.kept.pop_front() else {
                break;
            };
            self.drop_body(&oldest, serial);
        }
    }

    /// Sets a phase in which the entry may be removed at the end of its retention.
    pub(super) fn settle(&mut self, key: OnceKey, phase: Phase, end: Duration) {
        let Some(entry) = self.map.get_mut(&key) else {
            return;
        };
        entry.phase = phase;
        entry.retain_until = entry.retain_until.max(end);
        self.expirations
            .push_back((entry.retain_until, key, entry.serial));
    }

    /// Removes entries at the end of their retention.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some(&(until, key, serial)) = self.expirations.front() {
            if until > now {
                return;
            }
            self.expirations.pop_front();
            let expired = |e: &Entry| e.serial == serial && e.retain_until <= now && e.is_settled();
            if self.map.get(&key).is_some_and(expired) {
                self.drop_body(&key, serial);
                self.map.remove(&key);
            }
        }
    }

    /// Returns the total size of the stored bodies.
    pub(super) fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn drop_body(&mut self, key: &OnceKey, serial: u64) {
        let Some(entry) = self.map.get_mut(key).filter(|e| e.serial == serial) else {
            return;
        };
        if let Phase::Final(OnceOutcome::Done(stored)) = &mut entry.phase
            && let Some(body) = stored.body.take()
        {
            self.kept_bytes -= body.len();
        }
    }
}

fn body_bytes(outcome: &OnceOutcome) -> usize {
    match outcome {
        OnceOutcome::Done(StoredAnswer {
            body: Some(body), ..
        }) => body.len(),
        _ => 0,
    }
}
