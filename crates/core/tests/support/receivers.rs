//! Model receivers of orders, and the checks of what they received.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::authority::{Holder, Scope, SendResult};
use serde::{Deserialize, Serialize};

/// Order of the tests. `decided` is the fence under which it was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TestOrder {
    pub(crate) number: u64,
    pub(crate) decided: u64,
}

/// One order as a receiver saw it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) scope: Scope,
    pub(crate) target: String,
    pub(crate) from: Holder,
    pub(crate) fence: u64,
    pub(crate) order_id: u64,
    pub(crate) order: TestOrder,
    pub(crate) executed: bool,
}

/// A target or the platform. It executes one order at a time and none twice.
#[derive(Default)]
pub(crate) struct Receiver {
    pub(crate) checks_fencing: bool,
    highest: u64,
    known: BTreeSet<u64>,
    pub(crate) restarts: u64,
    busy_until: Duration,
}

impl Receiver {
    pub(crate) fn knows(&self, order_id: u64) -> bool {
        self.known.contains(&order_id)
    }

    pub(crate) fn receive(
        &mut self,
        order_id: u64,
        fence: u64,
        now: Duration,
        execution: Duration,
    ) -> SendResult {
        if self.checks_fencing && fence < self.highest {
            return SendResult::StaleFence;
        }
        self.highest = self.highest.max(fence);
        if self.known.contains(&order_id) {
            return SendResult::Accepted;
        }
        if now < self.busy_until {
            return SendResult::Busy;
        }
        self.known.insert(order_id);
        self.busy_until = now + execution;
        SendResult::Accepted
    }

    /// A restarted target has forgotten all orders.
    pub(crate) fn restart(&mut self) {
        self.known.clear();
        self.restarts += 1;
        self.busy_until = Duration::ZERO;
    }
}

/// Returns what is wrong with a history, or nothing.
pub(crate) fn violations(history: &[Arrival]) -> Vec<String> {
    let mut by_target: BTreeMap<(&Scope, &str), Vec<&Arrival>> = BTreeMap::new();
    for arrival in history {
        let key = (&arrival.scope, arrival.target.as_str());
        by_target.entry(key).or_default().push(arrival);
    }
    let mut found = Vec::new();
    for ((scope, _), arrivals) in by_target {
        found.extend(check_executions(&arrivals));
        if scope.is_exclusive() {
            found.extend(check_senders(&arrivals));
        }
    }
    found
}

/// An executed order must be newer than all orders executed before, by the fence under which it
/// was decided and by the fence of its sender; one id must always carry one order. A repetition of
/// the last order is not reported: a restarted target has forgotten that it executed the order,
/// which the present holder wants in force too.
fn check_executions(arrivals: &[&Arrival]) -> Vec<String> {
    let mut found = Vec::new();
    let mut orders: BTreeMap<u64, &TestOrder> = BTreeMap::new();
    let (mut decided, mut fence, mut last) = (0, 0, 0);
    for arrival in arrivals {
        let first = orders.entry(arrival.order_id).or_insert(&arrival.order);
        if **first != arrival.order {
            found.push(format!("two orders with one id: {arrival:?}"));
        }
        if !arrival.executed {
            continue;
        }
        if arrival.order.decided < decided {
            found.push(format!("conflicting order executed: {arrival:?}"));
        }
        if arrival.fence < fence && arrival.order_id != last {
            found.push(format!("order of a stale holder executed: {arrival:?}"));
        }
        decided = decided.max(arrival.order.decided);
        fence = fence.max(arrival.fence);
        last = arrival.order_id;
    }
    found
}

/// The platform must not hear from a process after it has heard from its successor.
fn check_senders(arrivals: &[&Arrival]) -> Vec<String> {
    let mut found = Vec::new();
    let mut fence = 0;
    for arrival in arrivals {
        if arrival.fence < fence {
            found.push(format!("platform heard two holders: {arrival:?}"));
        }
        fence = fence.max(arrival.fence);
    }
    found
}
