//! Shows that the proof of `request_random.rs` fails without each mechanism, and that its checker
//! reports hand-written bad records.

mod support_requests;

use jujubebeam_core::request::RequestConfig;
use support_requests::request_world::{self, Seen, expected};

fn first_failing_seed(config: RequestConfig, claim_not_run: bool) -> Option<(u64, Seen)> {
    (0..500).find_map(|seed| {
        let seen = request_world::run(seed, config, claim_not_run);
        (!seen.faults().is_empty()).then_some((seed, seen))
    })
}

/// Without the attempt check, text of another request or attempt reaches the caller.
#[test]
fn without_dropping_crossed_answers_the_text_is_wrong() {
    let config = RequestConfig {
        drop_mismatched: false,
        ..RequestConfig::default()
    };
    let found = first_failing_seed(config, false);
    println!("without dropping crossed answers: {found:?}");
    assert!(found.is_some());
}

/// Without the check for finish reason and end mark, a cut answer is passed off as whole.
#[test]
fn without_the_whole_answer_check_a_cut_answer_passes() {
    let config = RequestConfig {
        require_complete: false,
        ..RequestConfig::default()
    };
    let found = first_failing_seed(config, false);
    println!("without the whole-answer check: {found:?}");
    assert!(found.is_some());
}

/// Without resume, the caller gets the start of the answer twice.
#[test]
fn without_resume_text_is_repeated() {
    let config = RequestConfig {
        resume: false,
        ..RequestConfig::default()
    };
    let found = first_failing_seed(config, false);
    println!("without resume: {found:?}");
    assert!(found.is_some());
}

/// A refusal that says "not run" without counting sent attempts is caught.
#[test]
fn unfounded_not_run_is_caught() {
    let found = first_failing_seed(RequestConfig::default(), true);
    println!("unfounded not run: {found:?}");
    assert!(found.is_some_and(|(_, s)| s.refused_as_not_run && s.executions > 0));
}

/// The checker reports a cut, a mixed, a repeated and a missing final answer.
#[test]
fn checker_reports_bad_records() {
    let good = Seen {
        delivered: expected(),
        whole: true,
        finals: 1,
        ..Seen::default()
    };
    assert!(good.faults().is_empty());
    let bad = [
        Seen {
            delivered: "t0 ".into(),
            ..good.clone()
        },
        Seen {
            delivered: "t0 other ".into(),
            whole: false,
            ..good.clone()
        },
        Seen {
            finals: 2,
            ..good.clone()
        },
        Seen {
            finals: 0,
            ..good.clone()
        },
        Seen {
            refused_as_not_run: true,
            executions: 1,
            ..good
        },
    ];
    assert!(bad.iter().all(|seen| !seen.faults().is_empty()));
}
