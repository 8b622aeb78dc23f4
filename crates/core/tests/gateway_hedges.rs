//! Decisions on targets that are asked beside a running attempt.

use jujubebeam_core::gateway::{AttemptEnd, FinalAnswer, NextStep, Repeatability, RequestProgress};

const ASK: NextStep = NextStep::Retry { uses_budget: true };
const KEEP: NextStep = NextStep::Answer(FinalAnswer::CutOff);

/// Guards against more arrivals than the route allows, and against fewer, because the attempt that
/// is still running is not counted, or is counted twice.
#[test]
fn attempts_beside_a_running_one_stay_within_those_of_the_route() {
    for max_attempts in 1..=5 {
        for end in [
            AttemptEnd::NotRun,
            AttemptEnd::Broken,
            AttemptEnd::BrokenMidway,
            AttemptEnd::Superseded,
        ] {
            let mut progress = RequestProgress::new(Repeatability::Resumable, max_attempts);
            let (mut arrivals, mut last) = (1, None);
            while progress.next_beside_running(last.take()) == ASK {
                arrivals += 1;
                last = Some(end);
            }
            assert_eq!(arrivals, max_attempts, "{end}");
            // The running attempt ends as the last one.
            let step = progress.ended(AttemptEnd::BrokenMidway);
            assert_eq!(step, KEEP, "{end}");
        }
    }
}

/// Guards against a second run of a request that may run once, and against one that starts anew
/// because a part of its answer was delivered.
#[test]
fn only_a_resumable_request_is_sent_beside_a_running_attempt() {
    for repeatability in [Repeatability::Once, Repeatability::Idempotent] {
        let mut progress = RequestProgress::new(repeatability, 5);
        assert_eq!(progress.next_beside_running(None), KEEP);
    }
}

/// Guards against a connection that is refused using up an attempt, and against endless ones.
#[test]
fn unsent_attempts_beside_a_running_one_are_no_arrivals_but_end() {
    let mut progress = RequestProgress::new(Repeatability::Resumable, 2);
    assert_eq!(progress.next_beside_running(None), ASK);
    let mut unsent = 0;
    while matches!(
        progress.next_beside_running(Some(AttemptEnd::NotSent)),
        NextStep::Retry { .. }
    ) {
        unsent += 1;
        assert!(unsent < 100);
    }
    assert!(unsent > 0);
}
