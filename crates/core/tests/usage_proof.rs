//! Randomised test of `one_usage_figure` and of correct bills. `JUJUBEBEAM_SEEDS` sets the number
//! of seeds.

mod support;

use jujubebeam_core::invariant;
use jujubebeam_core::usage::{Counts, FrozenWindow};
use support::seeds;
use support::usage_world::{UsageRun, UsageWorldConfig, run, violations};

/// Guards against windows with two different figures, records that are lost when one vm fails, and
/// records that are billed twice, under pauses, partitions, kills and store faults.
#[test]
fn bills_equal_what_was_served() {
    let (mut kills, mut acquisitions, mut reports) = (0, 0, 0);
    for seed in 0..seeds::count(200) {
        let run = run(UsageWorldConfig::new(seed));
        let found = violations(&run);
        assert!(found.is_empty(), "seed {seed}: {found:#?}");
        assert_eq!(invariant::total(), 0, "seed {seed}");
        // Three windows are kept, and a few deletions may fail.
        assert!(run.kept_windows < 10, "seed {seed}: {}", run.kept_windows);
        kills += run.kills;
        acquisitions += run.acquisitions;
        reports += run.reports.len();
    }
    println!("kills {kills}, leases {acquisitions}, reports {reports}");
    assert!(kills > 0 && reports > 0, "the faults did not occur");
}

fn bill(window: u64, requests: u64) -> FrozenWindow {
    let counts = Counts {
        requests,
        ..Counts::default()
    };
    FrozenWindow {
        window,
        workspaces: vec![("team/a".into(), counts)],
        included: Vec::new(),
    }
}

fn history(served: u64, reports: Vec<FrozenWindow>) -> UsageRun {
    let counts = bill(0, served).workspaces;
    UsageRun {
        served: counts.iter().cloned().collect(),
        acknowledged: counts.into_iter().collect(),
        reports,
        ..UsageRun::default()
    }
}

/// Guards against a check that misses a wrong bill.
#[test]
fn bad_histories_are_reported() {
    let report = |served, reports| violations(&history(served, reports));
    assert!(report(5, vec![bill(1, 3), bill(2, 2), bill(2, 2)]).is_empty());
    let two_figures = report(5, vec![bill(1, 5), bill(1, 4)]);
    assert!(two_figures.iter().any(|v| v.contains("two figures")));
    let lost = report(5, vec![bill(1, 4)]);
    assert!(lost.iter().any(|v| v.contains("lost")));
    let too_much = report(5, vec![bill(1, 3), bill(2, 3)]);
    assert!(too_much.iter().any(|v| v.contains("is billed")));
}
