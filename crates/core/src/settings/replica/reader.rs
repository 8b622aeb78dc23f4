//! Reading and watching the store.

use std::time::Duration;

use super::message::Subtree;
use super::{Command, Replica, text_of};
use crate::Revision;
use crate::store::{CallToken, Entry, StoreOp, StoreReply};

/// Factor for the watch retry interval if the store does not support watches.
const UNSUPPORTED_FACTOR: u32 = 60;

/// State of the store reads and the watch.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reader {
    watching: bool,
    watch_at: Duration,
    pending: Option<PendingRead>,
    next_read: Duration,
    next_full: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    token: CallToken,
    sent: Duration,
    full: bool,
}

impl Replica {
    pub(crate) fn tick_reader(&mut self, now: Duration, out: &mut Vec<Command>) {
        if !self.watchers().contains(&self.config.vm) {
            if std::mem::take(&mut self.reader.watching) {
                out.push(Command::StopWatch);
            }
            return;
        }
        if !self.reader.watching && self.set.full && now >= self.reader.watch_at {
            self.reader.watching = true;
            let from = Revision(self.set.cursor.0 + 1);
            out.push(Command::StartWatch { from });
        }
        let timeout = self.config.call_timeout;
        if self.reader.pending.is_some_and(|p| now < p.sent + timeout) {
            return;
        }
        if now >= self.reader.next_read {
            self.read(now, out);
        }
    }

    fn read(&mut self, now: Duration, out: &mut Vec<Command>) {
        let full = !self.set.full || now >= self.reader.next_full;
        let prefix = self.config.prefix.clone();
        let op = if full {
            StoreOp::List { prefix }
        } else {
            StoreOp::ListSince {
                prefix,
                after: self.set.cursor,
            }
        };
        let token = self.call(op, out);
        self.reader.next_read = now + self.config.read_interval;
        self.reader.pending = Some(PendingRead {
            token,
            sent: now,
            full,
        });
    }

    pub(crate) fn on_reply(
        &mut self,
        token: CallToken,
        reply: StoreReply,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let Some(read) = self.reader.pending.filter(|p| p.token == token) else {
            return self.on_task_reply(token, reply, now, out);
        };
        self.reader.pending = None;
        let StoreReply::Values { entries, store } = reply else {
            return;
        };
        if read.full {
            self.reader.next_full = now + self.config.full_read_interval;
            self.delete_missing(&entries, store, out);
        }
        for entry in entries {
            self.apply_entry(&entry, false, out);
        }
        self.set.full = true;
        self.set.cursor = self.set.cursor.max(store);
        self.fresh.record_proof(read.sent, Duration::ZERO);
    }

    /// Applies tombstones for subtrees that a full read does not contain: they were deleted in the
    /// store directly, not through this system.
    fn delete_missing(&mut self, entries: &[Entry], store: Revision, out: &mut Vec<Command>) {
        let names: Vec<_> = entries.iter().map(|e| e.key.as_str()).collect();
        for name in self.set.missing_from(&names) {
            let tombstone = Subtree {
                name,
                revision: store,
                text: None,
            };
            self.apply(tombstone, out);
        }
    }

    fn apply_entry(&mut self, entry: &Entry, deleted: bool, out: &mut Vec<Command>) {
        let subtree = Subtree {
            name: entry.key.clone(),
            revision: entry.modified,
            text: text_of(&entry.value).filter(|_| !deleted),
        };
        self.apply(subtree, out);
    }

    pub(crate) fn on_watched(&mut self, entries: Vec<(Entry, bool)>, out: &mut Vec<Command>) {
        for (entry, deleted) in entries {
            self.apply_entry(&entry, deleted, out);
        }
    }

    pub(crate) fn on_watch_ended(&mut self, supported: bool, now: Duration) {
        self.reader.watching = false;
        let factor = if supported { 1 } else { UNSUPPORTED_FACTOR };
        self.reader.watch_at = now + self.config.watch_retry * factor;
    }
}
