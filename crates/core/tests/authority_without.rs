//! Each mechanism of the authority machine, switched off: the checks must notice. The violations
//! that the program itself counts are not looked at here, because the machine is made faulty.

mod support;

use jujubebeam_core::authority::AuthorityFaults;
use jujubebeam_core::invariant::{self, Invariant};
use support::order_world::{OrderWorldConfig, run};
use support::receivers::violations;

fn first_seed_with(faults: AuthorityFaults, word: &str) -> Option<u64> {
    (0..100).find(|seed| {
        let mut config = OrderWorldConfig::new(*seed);
        config.faults = faults;
        let found = violations(&run(config).history);
        found.iter().any(|v| v.starts_with(word))
    })
}

fn expect_violation(faults: AuthorityFaults, word: &str) {
    let seed = first_seed_with(faults, word);
    println!("{faults:?}: {word} at seed {seed:?}");
    assert!(seed.is_some(), "no seed shows {word:?} with {faults:?}");
}

/// Guards against a harness in which a pause between check and send does no harm.
#[test]
fn orders_conflict_without_intents() {
    let faults = AuthorityFaults {
        skip_intents: true,
        ..Default::default()
    };
    expect_violation(faults, "conflicting order");
    expect_violation(faults, "order of a stale holder");
    expect_violation(faults, "platform heard two holders");
}

/// Guards against a check in the program that misses a send after the lease has lapsed. The
/// histories stay correct, because a successor also waits for the intent.
#[test]
fn program_reports_sends_without_validity_check() {
    let before = invariant::count(Invariant::StaleHolderHasNoEffect);
    let seed = (0..100).find(|seed| {
        let mut config = OrderWorldConfig::new(*seed);
        config.faults.skip_validity = true;
        run(config);
        invariant::count(Invariant::StaleHolderHasNoEffect) > before
    });
    println!("skip_validity: stale_holder_has_no_effect at seed {seed:?}");
    assert!(seed.is_some());
}

/// Guards against a harness in which earlier holders never wake up.
#[test]
fn platform_hears_two_holders_without_waiting_for_earlier_ones() {
    let faults = AuthorityFaults {
        ignore_earlier: true,
        ..Default::default()
    };
    expect_violation(faults, "platform heard two holders");
    expect_violation(faults, "conflicting order");
}

/// Guards against taking a new incarnation of a target as proof that earlier orders cannot arrive:
/// an order that was held up before it was sent reaches the new incarnation.
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
