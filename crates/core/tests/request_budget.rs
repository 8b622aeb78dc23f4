//! Guards against retries that amplify an overload, and against a route with little traffic that
//! cannot retry at all.

use std::time::Duration;

use jujubebeam_core::request::{RetryBudget, RetryBudgetConfig};

/// Guards against more retries than a tenth of the successes plus one per second.
#[test]
fn retries_follow_successes_and_time() {
    let config = RetryBudgetConfig::default();
    let mut now = Duration::from_secs(1);
    let mut budget = RetryBudget::new(config, now);
    let saved = (0..100).filter(|_| budget.take(now)).count();
    assert_eq!(saved, 10);
    // One more than 20 successes, because 0.1 has no exact binary representation.
    for _ in 0..21 {
        budget.succeeded();
    }
    assert_eq!((0..100).filter(|_| budget.take(now)).count(), 2);
    now += Duration::from_secs(1);
    assert_eq!((0..100).filter(|_| budget.take(now)).count(), 1);
}

/// Guards against retries that multiply the load during an overload.
#[test]
fn retries_stay_within_a_tenth_of_successes() {
    let now = Duration::ZERO;
    let mut budget = RetryBudget::new(RetryBudgetConfig::default(), now);
    for _ in 0..100 {
        budget.succeeded();
    }
    let retries = (0..1000).filter(|_| budget.take(now)).count();
    assert!((1..=11).contains(&retries), "{retries}");
}
