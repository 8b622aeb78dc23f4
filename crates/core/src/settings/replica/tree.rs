//! The tree in which large fleets distribute settings.
//!
//! All vms rank each other in the same order. The highest ranks are the watchers, and the vm at
//! position `p` asks the one at `(p - watchers) / children`. A question waits at the parent until
//! the parent has a newer proof or a change, so that each hop costs one exchange per proof and adds
//! no more age than the network's delay: with 360 vms, four children and three watchers there are
//! four hops. A vm whose proof ages asks random vms as well, so a parent that is dead or cut off
//! does not make its descendants stale.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::exchange::Question;
use super::freshness::majority;
use super::{Command, Replica, rank};
use crate::VmId;

/// Questions that wait at a vm, and its own question that waits at its parent.
#[derive(Debug, Default)]
pub(crate) struct Tree {
    waiting: Vec<(VmId, Question, Duration)>,
    /// Digest and proof of the last answers to waiting questions.
    answered_digest: u64,
    answered_at: Duration,
    asked: Option<(VmId, Duration)>,
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

    /// The vm that this vm asks, or `None` for a watcher.
    pub fn parent(&self) -> Option<VmId> {
        let own = self.ranked.iter().position(|vm| *vm == self.config.vm)?;
        let below = own.checked_sub(self.config.watchers)?;
        self.ranked
            .get(below / self.config.tree_children.max(1))
            .copied()
    }

    pub(crate) fn ask_in_tree(&mut self, now: Duration, out: &mut Vec<Command>) {
        if let Some(parent) = self.parent() {
            let waits = self
                .tree
                .asked
                .is_some_and(|(asked, at)| asked == parent && now < at + self.config.wait_limit);
            if !waits {
                self.ask_parent(parent, now, out);
            }
        }
        let age = self.age(now);
        let hurries = age.is_none_or(|a| a > self.config.hurry_after);
        let due = now >= self.tree.next_random;
        if self.config.omit.tree_fallback || !(hurries || due) {
            return;
        }
        self.tree.next_random = now + self.config.random_interval;
        let mut count = 1;
        // When the store is lost, all vms must hear of a majority in the second that is left. Each
        // round multiplies the vms heard of, and rounds of one or two answers are too few at 360
        // vms. A minority that cannot succeed goes back to the usual pace.
        if age.is_some_and(|a| a > self.config.hurry_after && a < self.config.stale_limit * 2)
            && !self.hears_majority(now)
            && !self.config.omit.tree_burst
        {
            self.next_ask = now + self.config.ask_interval / 3;
            count = self.config.burst_asks;
        }
        let own = self.config.vm;
        let others = self.live.iter().copied().filter(|vm| *vm != own);
        let mut asked = others.choose_multiple(&mut self.rng, count);
        if hurries {
            // Inner vms are many enough to share the questions of a whole fleet that lost its
            // watchers or the store.
            let inner = self.live.len() / self.config.tree_children.max(1);
            let inner = self.ranked.iter().take(inner.max(self.config.watchers));
            let inner = inner.copied().filter(|vm| *vm != own);
            asked.extend(inner.choose(&mut self.rng));
            asked.sort_unstable();
            asked.dedup();
        }
        for to in asked {
            self.ask(to, self.set.cursor, false, now, out);
        }
    }

    fn hears_majority(&self, now: Duration) -> bool {
        self.fresh.heard(now, &self.config).len() >= majority(self.listed.len())
    }

    fn ask_parent(&mut self, parent: VmId, now: Duration, out: &mut Vec<Command>) {
        self.tree.asked = Some((parent, now));
        self.ask(parent, self.set.cursor, true, now, out);
    }

    /// Asks the parent for the next news as soon as it has answered. Not if the answer did not
    /// wait or the sets differ, as the parent would answer at once and the two would not stop.
    pub(crate) fn ask_parent_again(
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
        self.tree.asked = None;
        if !waited.is_zero() && digest == self.set.digest() {
            self.ask_parent(from, now, out);
        }
    }

    /// Keeps a question until there is news, or answers it at once.
    pub(crate) fn answer_or_wait(
        &mut self,
        from: VmId,
        question: Question,
        wait: bool,
        now: Duration,
        out: &mut Vec<Command>,
    ) {
        let fresh = self.age(now).is_some_and(|a| a < self.config.hurry_after);
        let same = question.digest == self.set.digest() && self.set.full;
        if !(wait && same && fresh) {
            return self.answer_ask(from, question, Duration::ZERO, now, out);
        }
        self.tree.waiting.retain(|(vm, ..)| *vm != from);
        self.tree.waiting.push((from, question, now));
    }

    /// Answers the questions that wait, if there is news.
    pub(crate) fn answer_waiting(&mut self, now: Duration, out: &mut Vec<Command>) {
        let proof = now.saturating_sub(self.age(now).unwrap_or(now));
        let digest = self.set.digest();
        let changed = digest != self.tree.answered_digest;
        // A proof that is hardly newer would only double the exchanges.
        let newer = proof >= self.tree.answered_at + self.config.read_interval / 2;
        if !changed && !newer {
            return;
        }
        self.tree.answered_digest = digest;
        self.tree.answered_at = proof.max(self.tree.answered_at);
        for (to, question, received) in std::mem::take(&mut self.tree.waiting) {
            let waited = now.saturating_sub(received);
            self.answer_ask(to, question, waited, now, out);
        }
    }
}
