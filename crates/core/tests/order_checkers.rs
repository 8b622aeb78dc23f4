//! Hand-written histories: the checks must report the incorrect ones and accept the correct one.

mod support;

use std::time::Duration;

use jujubebeam_core::authority::{Holder, Scope};
use jujubebeam_core::{Incarnation, VmId};
use support::receivers::{Arrival, TestOrder, violations};

fn arrival(scope: &Scope, vm: u32, fence: u64, order_id: u64, decision_fence: u64) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        scope: scope.clone(),
        target: "t".into(),
        from: Holder {
            vm: VmId(vm),
            incarnation: Incarnation(1),
        },
        fence,
        order_id,
        order: TestOrder {
            number: order_id,
            decision_fence,
        },
        executed: true,
    }
}

fn engines() -> Scope {
    Scope::Engines {
        group: "g".into(),
        zone: "a".into(),
    }
}

/// Guards against false reports on correct histories, which would hide real ones.
#[test]
fn correct_history_is_accepted() {
    let scope = engines();
    let history = [
        arrival(&scope, 1, 1, 1, 1),
        arrival(&scope, 2, 5, 2, 1),
        arrival(&scope, 2, 5, 3, 5),
    ];
    assert!(violations(&history).is_empty());
}

/// Guards against a check that misses an order executed after that of a later holder.
#[test]
fn stale_and_conflicting_orders_are_reported() {
    let scope = engines();
    let history = [arrival(&scope, 2, 5, 2, 5), arrival(&scope, 1, 1, 1, 1)];
    let found = violations(&history);
    assert!(found.iter().any(|v| v.starts_with("conflicting order")));
    assert!(
        found
            .iter()
            .any(|v| v.starts_with("order of a stale holder"))
    );
}

/// Guards against a check that misses two different orders with one id.
#[test]
fn one_id_with_two_orders_is_reported() {
    let scope = engines();
    let mut second = arrival(&scope, 1, 1, 1, 1);
    second.order.number = 9;
    let found = violations(&[arrival(&scope, 1, 1, 1, 1), second]);
    assert!(
        found
            .iter()
            .any(|v| v.starts_with("two orders with one id"))
    );
}

/// Guards against a check that covers only the executed orders of the platform.
#[test]
fn refused_order_of_an_earlier_holder_is_reported() {
    let mut refused = arrival(&Scope::Ordering, 1, 1, 1, 1);
    refused.executed = false;
    let found = violations(&[arrival(&Scope::Ordering, 2, 5, 2, 5), refused]);
    assert!(
        found
            .iter()
            .any(|v| v.starts_with("platform received orders of two"))
    );
}
