//! Disables each mechanism of the authority machine: the checks of the histories must then report
//! violations. Most tests ignore the violations that the program itself counts, because the machine
//! is made faulty on purpose.

mod support;

use jujubebeam_core::authority::AuthorityFaults;
use jujubebeam_core::invariant::{self, Invariant};
use support::order_world::{OrderWorldConfig, run};
use support::receivers::violations;

fn first_seed_with(faults: AuthorityFaults, prefix: &str) -> Option<u64> {
    (0..100).find(|seed| {
        let mut config = OrderWorldConfig::new(*seed);
        config.faults = faults;
        let found = violations(&run(config).history);
        found.iter().any(|v| v.starts_with(prefix))
    })
}

fn expect_violation(faults: AuthorityFaults, prefix: &str) {
    let seed = first_seed_with(faults, prefix);
    println!("{faults:?}: {prefix} at seed {seed:?}");
    assert!(seed.is_some(), "no seed shows {prefix:?} with {faults:?}");
}

/// Guards against a simulation in which a pause between the check and the send does no harm.
#[test]
fn orders_conflict_without_intents() {
    let faults = AuthorityFaults {
        skip_intents: true,
        ..Default::default()
    };
    expect_violation(faults, "conflicting order");
    expect_violation(faults, "order of a stale holder");
    expect_violation(faults, "platform received orders of two holders");
}

/// Guards against a check in the program that misses a send after the lease has expired. The
/// histories stay correct, because a later holder also waits for the intent.
#[test]
fn program_reports_sends_without_validity_check() {
    let before = invariant::count(Invariant::StaleHolderHasNoEffect);
    let seed = (0..100).find(|seed| {
        let mut config = OrderWorldConfig::new(*seed);
        config.faults.skip_validity_check = true;
        run(config);
        invariant::count(Invariant::StaleHolderHasNoEffect) > before
    });
    println!("skip_validity_check: stale_holder_has_no_effect at seed {seed:?}");
    assert!(seed.is_some());
}

/// Guards against a simulation in which paused earlier holders never resume.
#[test]
fn platform_gets_orders_of_two_holders_without_waiting_for_earlier_ones() {
    let faults = AuthorityFaults {
        ignore_earlier_holders: true,
        ..Default::default()
    };
    expect_violation(faults, "platform received orders of two holders");
    expect_violation(faults, "conflicting order");
}

/// Guards against taking a new incarnation of a target as proof that earlier orders cannot arrive:
/// an order that was delayed before it was sent reaches the new incarnation.
#[test]
fn orders_conflict_if_a_restarted_target_counts_as_free() {
    let seed = (0..300).find(|seed| {
        let mut config = OrderWorldConfig::new(*seed);
        config.trust_target_incarnation = true;
        let found = violations(&run(config).history);
        found.iter().any(|v| v.starts_with("conflicting order"))
    });
    println!("trust_target_incarnation: conflicting order at seed {seed:?}");
    assert!(seed.is_some());
}
