//! Changes of the scopes that this vm holds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::types::{Mark, MarkCount};
use crate::authority::{Holder, Scope};
use crate::{Fence, Incarnation, TargetId, VmId};

/// A scope that this vm holds.
#[derive(Debug)]
pub(super) struct HeldScope {
    pub(super) fence: Fence,
    /// Time until which marks are repeated although there are none.
    pub(super) linger_until: Duration,
    pub(super) sent_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Count {
    incarnation: Incarnation,
    mark: Mark,
    in_flight: u32,
    /// New vms that the sender names at present.
    introduced: Vec<Holder>,
}

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Running requests end or move.
    Draining,
    /// All vms are asked to hold the mark without a time limit.
    Holding,
    /// The order was asked for, and its effect is awaited.
    Ordered,
}

/// One change.
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

    pub(super) fn hear_count(&mut self, from: Holder, count: MarkCount, introduced: &[Holder]) {
        if count.mark.change != self.number {
            return;
        }
        let known = self.counts.get(&from.vm);
        // Messages overtake one another, and a drain mark says less than an ordered one.
        let older = known.is_some_and(|k| {
            (k.incarnation, k.mark.ordered) > (from.incarnation, count.mark.ordered)
        });
        if older {
            return;
        }
        self.counts.insert(
            from.vm,
            Count {
                incarnation: from.incarnation,
                mark: count.mark,
                in_flight: count.in_flight,
                introduced: introduced.to_vec(),
            },
        );
    }

    /// Requests at the target, as far as they are known.
    pub(super) fn in_flight(&self) -> u32 {
        self.counts.values().map(|c| c.in_flight).sum()
    }

    /// Vms that have not acknowledged the present mark. New vms that others name count too, as
    /// long as they are named: one that ended is no longer named when its introduction ends.
    pub(super) fn unacknowledged(&self, vms: &BTreeSet<VmId>) -> u32 {
        let ordered = self.phase != Phase::Draining;
        let mut least: BTreeMap<VmId, Incarnation> =
            vms.iter().map(|vm| (*vm, Incarnation(0))).collect();
        let named = self.counts.iter().filter(|(vm, _)| vms.contains(vm));
        for vm in named.flat_map(|(_, count)| &count.introduced) {
            let known = least.entry(vm.vm).or_default();
            *known = (*known).max(vm.incarnation);
        }
        let silent = least.iter().filter(|(vm, least)| {
            self.counts
                .get(vm)
                .is_none_or(|c| c.incarnation < **least || (ordered && !c.mark.ordered))
        });
        silent.count() as u32
    }

    /// Whether the wait for running requests is over without an order.
    pub(super) fn is_late(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Draining | Phase::Holding)
            && now.saturating_sub(self.started_at) >= self.longest_wait
    }
}
