//! The tree in which large fleets distribute settings.
//!
//! All vms compute the same ranking. The vms with the highest ranks are the watchers, and the vm at
//! position `p` sends its requests to the one at `(p - watchers) / children`. The parent holds a
//! request until it has a newer proof or a change, so each hop costs one exchange per proof and adds
//! no more age than the network delay. With 360 vms, four children and three watchers there are
//! four hops. A vm whose proof is ageing sends requests to random vms as well, so a parent that has
//! crashed or is partitioned does not make its descendants stale.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::exchange::PageRequest;
use super::freshness::majority;
use super::{Command, Replica, rank};
use crate::VmId;

/// Requests that this vm holds for its children, and its own request to its parent.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    waiting: Vec<(VmId, PageRequest, Duration)>,
    /// Digest and proof of the last answers to held requests.
    answered_digest: u64,
    answered_at: Duration,
    requested: Option<(VmId, Duration)>,
    next_random: Duration,
}

impl Replica {
    pub(crate) fn uses_tree(&self) -> bool {
        self.config.omit.pairs || self.live.len() > self.config.tree_above
    }

    /// Vms by rank, highest first.
    pub(crate) fn ranked(live: &[VmId]) -> Vec<VmId> {
        let mut ranked = live.to_vec();
        ranked.sort_by_cached_key(|vm| std::cmp::Reverse(rank(*vm)));
        ranked
    }

    /// The vm that this vm sends its requests to, or `None` for a watcher.
    pub fn parent(&self) -> Option<VmId> {
        let own = self.ranked.iter().position(|vm| *vm == self.config.vm)?;
        let below = own.checked_sub(self.config.watchers)?;
        self.ranked
            .get(below / self.config.tree_children.max(1))
            .copied()
    }

    pub(crate) fn exchange_in_tree(&mut self, now: Duration, out: &mut Vec<Command>) {
        if let Some(parent) = self.parent() {
            let waits = self
                .tree
                .requested
                .is_some_and(|(to, at)| to == parent && now < at + self.config.parent_timeout);
            if !waits {
                self.request_from_parent(parent, now, out);
            }
        }
        let age = self.age(now);
        let is_ageing = age.is_none_or(|a| a > self.config.fallback_after);
        let due = now >= self.tree.next_random;
        if self.config.omit.tree_fallback || !(is_ageing || due) {
            return;
        }
        self.tree.next_random = now + self.config.random_interval;
        let mut count = 1;
        // When the store is unreachable, every vm must collect proofs of a majority within the
        // second that remains. Each round multiplies the number of vms with a known proof, and
        // rounds of one or two answers are too few at 360 vms. A minority, which cannot succeed,
        // returns to the usual interval.
        if age.is_some_and(|a| a > self.config.fallback_after && a < self.config.stale_limit * 2)
            && !self.has_recent_majority(now)
            && !self.config.omit.tree_burst
        {
            self.next_exchange = now + self.config.exchange_interval / 3;
            count = self.config.burst_requests;
        }
        let own = self.config.vm;
        let others = self.live.iter().copied().filter(|vm| *vm != own);
        let mut receivers = others.choose_multiple(&mut self.rng, count);
        if is_ageing {
            // There are enough inner vms to share the requests of a whole fleet that lost its
            // watchers or the store.
            let inner = self.live.len() / self.config.tree_children.max(1);
            let inner = self.ranked.iter().take(inner.max(self.config.watchers));
            let inner = inner.copied().filter(|vm| *vm != own);
            receivers.extend(inner.choose(&mut self.rng));
            receivers.sort_unstable();
            receivers.dedup();
        }
        for to in receivers {
            self.request_page(to, self.set.cursor, false, now, out);
        }
    }

    fn has_recent_majority(&self, now: Duration) -> bool {
        self.fresh.recent_peers(now, &self.config).len() >= majority(self.listed.len())
    }

    fn request_from_parent(&mut self, parent: VmId, now: Duration, out: &mut Vec<Command>) {
        self.tree.requested = Some((parent, now));
        self.request_page(parent, self.set.cursor, true, now, out);
    }

    /// Requests the next update from the parent as soon as it has answered. Sends nothing if the
    /// parent did not hold the last request or the sets differ: the parent would answer at once,
    /// and the two vms would exchange messages without pause.
    pub(crate) fn request_from_parent_again(
        &mut self,
        from: VmId,
        waited: Duration,
        digest: u64,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        if !self.uses_tree() || self.parent() != Some(from) {
            return;
        }
        self.tree.requested = None;
        if !waited.is_zero() && digest == self.set.digest() {
            self.request_from_parent(from, now, out);
        }
    }

    /// Holds a request until there is an update, or answers it at once.
    pub(crate) fn answer_or_hold(
        &mut self,
        from: VmId,
        request: PageRequest,
        wait: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let fresh = self
            .age(now)
            .is_some_and(|a| a < self.config.fallback_after);
        let is_same_set = request.digest == self.set.digest() && self.set.full;
        if !(wait && is_same_set && fresh) {
            return self.answer_request(from, request, Duration::ZERO, now, out);
        }
        self.tree.waiting.retain(|(vm, ..)| *vm != from);
        self.tree.waiting.push((from, request, now));
    }

    /// Answers the held requests if there is an update.
    pub(crate) fn answer_waiting_requests(&mut self, now: Duration, out: &mut Vec<Command>) {
        let proof = now.saturating_sub(self.age(now).unwrap_or(now));
        let digest = self.set.digest();
        let changed = digest != self.tree.answered_digest;
        // Answering for a proof that is only slightly newer would double the number of exchanges.
        let newer = proof >= self.tree.answered_at + self.config.read_interval / 2;
        if !changed && !newer {
            return;
        }
        self.tree.answered_digest = digest;
        self.tree.answered_at = proof.max(self.tree.answered_at);
        for (to, request, received) in std::mem::take(&mut self.tree.waiting) {
            let waited = now.saturating_sub(received);
            self.answer_request(to, request, waited, now, out);
        }
    }
}
