//! Guards against truncated, mixed and repeated answers and against a false "not run", in
//! randomized runs. `JUJUBEBEAM_SEEDS=100000` runs more seeds.

mod support_requests;

use jujubebeam_core::invariant;
use jujubebeam_core::request::RequestConfig;
use support_requests::{request_world, seeds};

/// Guards against answers that are not the complete answer to the request. Engines crash, refuse,
/// answer late, answer for another request or omit the end, and streams are moved.
#[test]
fn every_caller_gets_its_complete_answer_or_a_true_refusal() {
    let (mut complete, mut resumed, mut moved, mut not_run) = (0, 0, 0, 0);
    for seed in seeds(3000) {
        let observed = request_world::run(seed, RequestConfig::default(), false);
        assert_eq!(
            observed.faults(),
            Vec::<&str>::new(),
            "seed {seed}: {observed:?}"
        );
        complete += u32::from(observed.complete);
        resumed += u32::from(observed.complete && observed.attempts > 1);
        moved += observed.moves;
        not_run += u32::from(observed.refused_as_not_run);
    }
    assert_eq!(invariant::total(), 0);
    println!(
        "{complete} complete, {resumed} of several attempts, {moved} moves, {not_run} not run"
    );
    // The runs must exercise each case often enough for the checks to be meaningful.
    assert!(complete > 500 && resumed > 100 && moved > 100 && not_run > 20);
}
