//! Checks that the test in `request_random.rs` can fail: it must find a fault with each protection
//! disabled, and its checker must report hand-written bad records.

mod support_requests;

use jujubebeam_core::request::RequestConfig;
use support_requests::request_world::{self, Observed, expected};

fn first_seed_with_faults(config: RequestConfig, claim_not_run: bool) -> Option<(u64, Observed)> {
    (0..500).find_map(|seed| {
        let observed = request_world::run(seed, config, claim_not_run);
        (!observed.faults().is_empty()).then_some((seed, observed))
    })
}

/// Without the check of the attempt id, text of another request or attempt reaches the caller.
#[test]
fn mismatched_responses_corrupt_the_text_if_not_dropped() {
    let config = RequestConfig {
        drop_mismatched: false,
        ..RequestConfig::default()
    };
    let found = first_seed_with_faults(config, false);
    println!("without dropping mismatched responses: {found:?}");
    assert!(found.is_some());
}

/// Without the check of the finish reason and `[DONE]`, a truncated answer counts as complete.
#[test]
fn truncated_answer_passes_without_the_completeness_check() {
    let config = RequestConfig {
        require_complete: false,
        ..RequestConfig::default()
    };
    let found = first_seed_with_faults(config, false);
    println!("without the completeness check: {found:?}");
    assert!(found.is_some());
}

/// Without resumption, the caller gets the start of the answer twice.
#[test]
fn without_resume_text_is_repeated() {
    let config = RequestConfig {
        resume: false,
        ..RequestConfig::default()
    };
    let found = first_seed_with_faults(config, false);
    println!("without resume: {found:?}");
    assert!(found.is_some());
}

/// A refusal that says "not run" regardless of sent attempts is reported.
#[test]
fn false_not_run_is_reported() {
    let found = first_seed_with_faults(RequestConfig::default(), true);
    println!("false not run: {found:?}");
    assert!(found.is_some_and(|(_, s)| s.refused_as_not_run && s.executions > 0));
}

/// The checker reports a truncated and a mixed answer, two and no final answers, and a false
/// "not run".
#[test]
fn checker_reports_bad_records() {
    let good = Observed {
        delivered: expected(),
        complete: true,
        final_answers: 1,
        ..Observed::default()
    };
    assert!(good.faults().is_empty());
    let bad = [
        Observed {
            delivered: "t0 ".into(),
            ..good.clone()
        },
        Observed {
            delivered: "t0 other ".into(),
            complete: false,
            ..good.clone()
        },
        Observed {
            final_answers: 2,
            ..good.clone()
        },
        Observed {
            final_answers: 0,
            ..good.clone()
        },
        Observed {
            refused_as_not_run: true,
            executions: 1,
            ..good
        },
    ];
    assert!(bad.iter().all(|observed| !observed.faults().is_empty()));
}
