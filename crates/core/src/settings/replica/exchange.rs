//! Anti-entropy between vms.
//!
//! The store numbers revisions across all keys, so one cursor describes what a vm has: every
//! subtree as of that revision. The digest reveals a change that was missed nevertheless.

use std::time::Duration;

use rand::Rng;

use super::message::{Message, Page};
use super::{Command, Replica};
use crate::{Revision, VmId};

/// Time after which an unanswered request is dropped.
const REQUEST_EXPIRY: Duration = Duration::from_secs(5);

/// A peer's request for the subtrees that it lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PageRequest {
    pub(crate) nonce: u64,
    pub(crate) digest: u64,
    pub(crate) cursor: Revision,
}

/// A page request that was sent to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    to: VmId,
    sent: Duration,
}

impl Replica {
    pub(crate) fn tick_exchange(&mut self, now: Duration, out: &mut Vec<Command>) {
        if now < self.next_exchange || self.config.omit.anti_entropy {
            return;
        }
        self.next_exchange = now + self.config.exchange_interval;
        self.pending_requests
            .retain(|_, pending| now < pending.sent + REQUEST_EXPIRY);
        if self.uses_tree() {
            return self.exchange_in_tree(now, out);
        }
        let own = self.config.vm;
        let watchers = self.watchers().into_iter().filter(|vm| *vm != own);
        let watcher = self.pick(watchers.collect());
        let others = self.live.iter().copied();
        let others = others.filter(|vm| *vm != own && Some(*vm) != watcher);
        let other = self.pick(others.collect());
        for to in watcher.into_iter().chain(other) {
            self.request_page(to, self.set.cursor, false, now, out);
        }
    }

    fn pick(&mut self, vms: Vec<VmId>) -> Option<VmId> {
        if vms.is_empty() {
            return None;
        }
        Some(vms[self.rng.random_range(0..vms.len())])
    }

    pub(crate) fn request_page(
        &mut self,
        to: VmId,
        cursor: Revision,
        wait: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let nonce = self.new_nonce();
        self.pending_requests
            .insert(nonce, PendingRequest { to, sent: now });
        let message = Message::Ask {
            nonce,
            digest: self.set.digest(),
            cursor,
            wait,
        };
        out.push(Command::Send { to, message });
    }

    /// Answers a request that this vm has held for `waited`.
    pub(crate) fn answer_request(
        &self,
        to: VmId,
        request: PageRequest,
        waited: Duration,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let PageRequest {
            nonce,
            digest,
            cursor,
        } = request;
        let (subtrees, last) = if digest == self.set.digest() {
            (Vec::new(), true)
        } else {
            self.set.page(cursor, self.config.page_bytes)
        };
        let age = self.fresh.age(now);
        // Sent from half of the limit on, so that peers can count a majority before they are stale.
        let ageing = age.is_none_or(|age| age > self.config.stale_limit / 2);
        let heard = if ageing && self.set.full {
            self.fresh.recent_peers(now, &self.config)
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
        let Some(pending) = self.pending_requests.remove(&page.nonce) else {
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
            return self.request_page(pending.to, reached, false, now, out);
        }
        if page.digest != self.set.digest() && self.set.highest() <= page.cursor {
            // The peer's cursor covers all subtrees of this vm, so different digests mean that this
            // vm missed a subtree. Start again from the first revision.
            self.set.cursor = Revision(0);
            return;
        }
        self.set.cursor = self.set.cursor.max(page.cursor);
        self.set.full = true;
        // The peer computed its ages when it answered, at least `waited` after `sent`.
        let at = pending.sent + page.waited;
        if let Some(age) = page.age {
            self.fresh.record_proof(at, age);
        }
        for (vm, age_ms) in page.heard {
            let age = Duration::from_millis(u64::from(age_ms));
            if self.listed.contains(&vm) && vm != self.config.vm {
                self.fresh.record_peer(vm, at, age);
            }
        }
        self.request_from_parent_again(pending.to, page.waited, page.digest, now, out);
    }
}
