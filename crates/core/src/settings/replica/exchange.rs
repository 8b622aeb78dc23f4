//! Anti-entropy between vms.
//!
//! Revisions are numbered by the store as a whole, so one cursor says what a vm has: every subtree
//! as of that revision. The digest makes a change visible that was missed all the same.

use std::time::Duration;

use rand::Rng;

use super::message::{Message, Page};
use super::{Command, Replica};
use crate::{Revision, VmId};

/// Time after which an unanswered question is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// A question of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) nonce: u64,
    pub(crate) digest: u64,
    pub(crate) cursor: Revision,
}

/// A question that was sent to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingAsk {
    to: VmId,
    sent: Duration,
}

impl Replica {
    pub(crate) fn tick_asks(&mut self, now: Duration, out: &mut Vec<Command>) {
        if now < self.next_ask || self.config.omit.anti_entropy {
            return;
        }
        self.next_ask = now + self.config.ask_interval;
        self.asks.retain(|_, ask| now < ask.sent + FORGET_AFTER);
        if self.uses_tree() {
            return self.ask_in_tree(now, out);
        }
        let own = self.config.vm;
        let watchers = self.watchers().into_iter().filter(|vm| *vm != own);
        let watcher = self.pick(watchers.collect());
        let others = self.live.iter().copied();
        let others = others.filter(|vm| *vm != own && Some(*vm) != watcher);
        let other = self.pick(others.collect());
        for to in watcher.into_iter().chain(other) {
            self.ask(to, self.set.cursor, false, now, out);
        }
    }

    fn pick(&mut self, vms: Vec<VmId>) -> Option<VmId> {
        if vms.is_empty() {
            return None;
        }
        Some(vms[self.rng.random_range(0..vms.len())])
    }

    pub(crate) fn ask(
        &mut self,
        to: VmId,
        cursor: Revision,
        wait: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let nonce = self.new_nonce();
        self.asks.insert(nonce, PendingAsk { to, sent: now });
        let message = Message::Ask {
            nonce,
            digest: self.set.digest(),
            cursor,
            wait,
        };
        out.push(Command::Send { to, message });
    }

    /// Answers a question that has waited here for `waited`.
    pub(crate) fn answer_ask(
        &self,
        to: VmId,
        question: Question,
        waited: Duration,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let Question {
            nonce,
            digest,
            cursor,
        } = question;
        let (subtrees, last) = if digest == self.set.digest() {
            (Vec::new(), true)
        } else {
            self.set.page(cursor, self.config.page_bytes)
        };
        let age = self.fresh.age(now);
        // Sent from half the limit on, so that peers know a majority before they turn stale.
        let ageing = age.is_none_or(|age| age > self.config.stale_limit / 2);
        let heard = if ageing && self.set.full {
            self.fresh.heard(now, &self.config)
        } else {
            Vec::new()
        };
        let page = Page {
            nonce,
            subtrees,
            cursor: self.set.cursor,
            last,
            full: self.set.full,
            digest: self.set.digest(),
            age,
            waited,
            heard,
        };
        let message = Message::Page(page);
        out.push(Command::Send { to, message });
    }

    pub(crate) fn on_page(&mut self, page: Page, now: Duration, out: &mut Vec<Command>) {
        let Some(ask) = self.asks.remove(&page.nonce) else {
            return;
        };
        let reached = page.subtrees.last().map(|s| s.revision);
        for subtree in page.subtrees {
            self.apply(subtree, out);
        }
        if !page.full {
            return;
        }
        if !page.last {
            let reached = reached.unwrap_or_default();
            self.set.cursor = self.set.cursor.max(reached.min(page.cursor));
            return self.ask(ask.to, reached, false, now, out);
        }
        if page.digest != self.set.digest() && self.set.highest() <= page.cursor {
            // The peer has all that this vm knows, so a difference means that a subtree was missed.
            self.set.cursor = Revision(0);
            return;
        }
        self.set.cursor = self.set.cursor.max(page.cursor);
        self.set.full = true;
        // The peer computed its ages when it answered, which is at least `waited` after `sent`.
        let at = ask.sent + page.waited;
        if let Some(age) = page.age {
            self.fresh.prove(at, age);
        }
        for (vm, age_ms) in page.heard {
            let age = Duration::from_millis(u64::from(age_ms));
            if self.listed.contains(&vm) && vm != self.config.vm {
                self.fresh.hear(vm, at, age);
            }
        }
        self.ask_parent_again(ask.to, page.waited, page.digest, now, out);
    }
}
