//! Entries of the ledger.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::{BodyHash, Mark, OnceKey, OnceOutcome, StoredAnswer};
use crate::RequestId;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The mark waits for the next group commit.
    Queued,
    /// A store call about the mark is under way.
    Marking,
    /// The fate of the mark is unknown; read it back at this time.
    ReadBack { at: Duration },
    /// The mark is another vm's; it was asked for the outcome.
    Asking { mark: Mark, at: Duration },
    /// The request is being executed.
    Running,
    /// The mark is ours, and nothing was sent.
    Held,
    /// The fate of the mark is unknown, and the request is never sent.
    GivenUp,
    /// The outcome is final.
    Final(OnceOutcome),
}

/// One key in the ledger.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) phase: Phase,
    /// `None` if only questions have been asked so far.
    pub(super) body: Option<BodyHash>,
    pub(super) serial: u64,
    pub(super) deadline: Duration,
    /// The entry must stay until then, because the ticket could start a request.
    pub(super) keep_until: Duration,
    /// Requests that wait for the outcome. The first one runs if the mark is ours.
    pub(super) waiters: SmallVec<[RequestId; 2]>,
    /// True after a create call without an answer, which may still take effect.
    pub(super) create_unknown: bool,
    /// Runs that were handed out and not reported as not sent.
    pub(super) runs: u32,
}

impl Entry {
    fn is_resting(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::GivenUp | Phase::Final(_))
    }

    /// All requests that wait for the key; the list is emptied.
    pub(super) fn take_waiters(&mut self) -> SmallVec<[RequestId; 2]> {
        std::mem::take(&mut self.waiters)
    }
}

/// All entries, with bounded memory for answers.
#[derive(Debug, Default)]
pub(super) struct Entries {
    pub(super) map: HashMap<OnceKey, Entry>,
    kept: VecDeque<(OnceKey, u64)>,
    kept_bytes: usize,
    ends: VecDeque<(Duration, OnceKey, u64)>,
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
        entry.keep_until = entry.keep_until.max(end);
        self.ends.push_back((entry.keep_until, key, serial));
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

    /// Sets a phase in which the entry may be removed when its time is over.
    pub(super) fn rest(&mut self, key: OnceKey, phase: Phase, end: Duration) {
        let Some(entry) = self.map.get_mut(&key) else {
            return;
        };
        entry.phase = phase;
        entry.keep_until = entry.keep_until.max(end);
        self.ends.push_back((entry.keep_until, key, entry.serial));
    }

    /// Removes entries whose time is over.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some(&(until, key, serial)) = self.ends.front() {
            if until > now {
                return;
            }
            self.ends.pop_front();
            let over = |e: &Entry| e.serial == serial && e.keep_until <= now && e.is_resting();
            if self.map.get(&key).is_some_and(over) {
                self.drop_body(&key, serial);
                self.map.remove(&key);
            }
        }
    }

    /// Bytes of all kept bodies.
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
