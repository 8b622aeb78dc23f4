//! Planned changes in the scopes that this vm holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::types::{Mark, MarkCount};
use crate::authority::{Holder, Scope};
use crate::{Fence, Incarnation, TargetId, VmId};

/// A scope that this vm holds.
#[derive(Debug)]
pub(super) struct HeldScope {
    pub(super) fence: Fence,
    /// Time until which the list of marks is announced even if it is empty.
    pub(super) announce_until: Duration,
    pub(super) sent_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Count {
    incarnation: Incarnation,
    mark: Mark,
    in_flight: u32,
    /// New vms that the sender currently reports.
    new_vms: Vec<Holder>,
}

/// Phase of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits until the running requests have ended or moved.
    Draining,
    /// Waits until all vms have acknowledged that they keep the mark without a time limit.
    Holding,
    /// The order was requested, and its effect is awaited.
    Ordered,
}

/// A change of one target.
#[derive(Debug)]
pub(super) struct Change {
    pub(super) scope: Scope,
    pub(super) number: u64,
    pub(super) phase: Phase,
    pub(super) started_at: Duration,
    pub(super) longest_wait: Duration,
    counts: BTreeMap<VmId, Count>,
}

impl Change {
    pub(super) fn new(scope: Scope, number: u64, longest_wait: Duration, now: Duration) -> Self {
        Self {
            scope,
            number,
            phase: Phase::Draining,
            started_at: now,
            longest_wait,
            counts: BTreeMap::new(),
        }
    }

    /// A change whose order an earlier holder has recorded and may have sent.
    pub(super) fn taken_over(scope: Scope, number: u64, now: Duration) -> Self {
        Self {
            phase: Phase::Ordered,
            ..Self::new(scope, number, Duration::MAX, now)
        }
    }

    pub(super) fn mark(&self, target: TargetId) -> Mark {
        Mark {
            target,
            change: self.number,
            ordered: self.phase != Phase::Draining,
        }
    }

    pub(super) fn record_count(&mut self, from: Holder, count: MarkCount, new_vms: &[Holder]) {
        if count.mark.change != self.number {
            return;
        }
        let previous = self.counts.get(&from.vm);
        // Messages can be reordered, and a count for an ordered mark supersedes one for a drain mark.
        let outdated = previous.is_some_and(|p| {
            (p.incarnation, p.mark.ordered) > (from.incarnation, count.mark.ordered)
        });
        if outdated {
            return;
        }
        self.counts.insert(
            from.vm,
            Count {
                incarnation: from.incarnation,
                mark: count.mark,
                in_flight: count.in_flight,
                new_vms: new_vms.to_vec(),
            },
        );
    }

    /// Requests at the target that vms have reported.
    pub(super) fn in_flight(&self) -> u32 {
        self.counts.values().map(|c| c.in_flight).sum()
    }

    /// Number of vms that have not acknowledged the current mark. New vms that others report count
    /// too, as long as they are reported: one that has ended is no longer reported once its entry
    /// expires.
    pub(super) fn unacknowledged(&self, vms: &BTreeSet<VmId>) -> u32 {
        let ordered = self.phase != Phase::Draining;
        let mut min_incarnations: BTreeMap<VmId, Incarnation> =
            vms.iter().map(|vm| (*vm, Incarnation(0))).collect();
        let listed = self.counts.iter().filter(|(vm, _)| vms.contains(vm));
        for vm in listed.flat_map(|(_, count)| &count.new_vms) {
            let incarnation = min_incarnations.entry(vm.vm).or_default();
            *incarnation = (*incarnation).max(vm.incarnation);
        }
        let missing = min_incarnations.iter().filter(|(vm, min)| {
            self.counts
                .get(vm)
                .is_none_or(|c| c.incarnation < **min || (ordered && !c.mark.ordered))
        });
        missing.count() as u32
    }

    /// Whether the longest wait is over before the order was requested.
    pub(super) fn wait_expired(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Draining | Phase::Holding)
            && now.saturating_sub(self.started_at) >= self.longest_wait
    }
}
