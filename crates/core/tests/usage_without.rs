//! Checks that the usage tests fail when a mechanism of usage metering is disabled.

mod support;

use jujubebeam_core::usage::UsageFaults;
use support::usage_world::{UsageWorldConfig, run, violations};

fn first_seed_with(faults: UsageFaults, word: &str) -> Option<u64> {
    (0..100).find(|seed| {
        let mut config = UsageWorldConfig::new(*seed);
        config.faults = faults;
        violations(&run(config)).iter().any(|v| v.contains(word))
    })
}

/// Guards against a test harness in which a mechanism of usage metering is not needed.
#[test]
fn every_mechanism_is_needed() {
    let all = UsageFaults::default;
    let cases = [
        (
            UsageFaults {
                skip_freeze: true,
                ..all()
            },
            "two figures",
        ),
        (
            UsageFaults {
                skip_copies: true,
                ..all()
            },
            "lost",
        ),
        (
            UsageFaults {
                skip_carry_over: true,
                ..all()
            },
            "lost",
        ),
        (
            UsageFaults {
                add_copies: true,
                ..all()
            },
            "is billed",
        ),
    ];
    for (faults, word) in cases {
        let seed = first_seed_with(faults, word);
        println!("{faults:?}: {word} at seed {seed:?}");
        assert!(seed.is_some(), "no seed shows {word:?} with {faults:?}");
    }
}
