//! Model of the receivers of orders, and the checks of the orders that they received.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::authority::{Holder, Scope, SendResult};
use serde::{Deserialize, Serialize};

/// Order of the tests. `decision_fence` is the fence of the holder that decided it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TestOrder {
    pub(crate) number: u64,
    pub(crate) decision_fence: u64,
}

/// One order that arrived at a receiver.
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

/// A target or the platform. It executes one order at a time and no order twice.
#[derive(Default)]
pub(crate) struct Receiver {
    pub(crate) checks_fencing: bool,
    highest_fence: u64,
    received_ids: BTreeSet<u64>,
    pub(crate) restarts: u64,
    busy_until: Duration,
}

impl Receiver {
    pub(crate) fn was_received(&self, order_id: u64) -> bool {
        self.received_ids.contains(&order_id)
    }

    pub(crate) fn receive(
        &mut self,
        order_id: u64,
        fence: u64,
        now: Duration,
        execution: Duration,
    ) -> SendResult {
        if self.checks_fencing && fence < self.highest_fence {
            return SendResult::StaleFence;
        }
        self.highest_fence = self.highest_fence.max(fence);
        if self.received_ids.contains(&order_id) {
            return SendResult::Accepted;
        }
        if now < self.busy_until {
            return SendResult::Busy;
        }
        self.received_ids.insert(order_id);
        self.busy_until = now + execution;
        SendResult::Accepted
    }

    /// Restarts the target, which loses the record of the orders that it executed.
    pub(crate) fn restart(&mut self) {
        self.received_ids.clear();
        self.restarts += 1;
        self.busy_until = Duration::ZERO;
    }
}

/// Returns the violations in a history.
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

/// An executed order must not be older than any order executed before, neither by the fence under
/// which it was decided nor by the fence of its sender, and one id must always carry one order. A
/// repetition of the last order is not reported: a restarted target no longer has the record that
/// it executed the order, and the order is also the one that the current holder requests.
fn check_executions(arrivals: &[&Arrival]) -> Vec<String> {
    let mut found = Vec::new();
    let mut orders: BTreeMap<u64, &TestOrder> = BTreeMap::new();
    let (mut decision_fence, mut fence, mut last) = (0, 0, 0);
    for arrival in arrivals {
        let first = orders.entry(arrival.order_id).or_insert(&arrival.order);
        if **first != arrival.order {
            found.push(format!("two orders with one id: {arrival:?}"));
        }
        if !arrival.executed {
            continue;
        }
        if arrival.order.decision_fence < decision_fence {
            found.push(format!("conflicting order executed: {arrival:?}"));
        }
        if arrival.fence < fence && arrival.order_id != last {
            found.push(format!("order of a stale holder executed: {arrival:?}"));
        }
        decision_fence = decision_fence.max(arrival.order.decision_fence);
        fence = fence.max(arrival.fence);
        last = arrival.order_id;
    }
    found
}

/// The platform must not get an order of an earlier holder after one of a later holder.
fn check_senders(arrivals: &[&Arrival]) -> Vec<String> {
    let mut found = Vec::new();
    let mut fence = 0;
    for arrival in arrivals {
        if arrival.fence < fence {
            found.push(format!(
                "platform received orders of two holders: {arrival:?}"
            ));
        }
        fence = fence.max(arrival.fence);
    }
    found
}
