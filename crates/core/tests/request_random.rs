//! Guards against cut, mixed and repeated answers and against a false "not run", over many seeds.
//! `JUJUBEBEAM_SEEDS=100000` runs more seeds.

mod support_requests;

use jujubebeam_core::invariant;
use jujubebeam_core::request::RequestConfig;
use support_requests::{request_world, seeds};

/// Guards against answers that are not the whole answer to the request, under engines that crash,
/// refuse, answer late, crossed or without an end, and under planned moves.
#[test]
fn every_caller_gets_its_whole_answer_or_a_true_refusal() {
    let (mut whole, mut resumed, mut moved, mut not_run) = (0, 0, 0, 0);
    for seed in seeds(3000) {
        let seen = request_world::run(seed, RequestConfig::default(), false);
        assert_eq!(seen.faults(), Vec::<&str>::new(), "seed {seed}: {seen:?}");
        whole += u32::from(seen.whole);
        resumed += u32::from(seen.whole && seen.attempts > 1);
        moved += seen.moves;
        not_run += u32::from(seen.refused_as_not_run);
    }
    assert_eq!(invariant::total(), 0);
    println!("{whole} whole, {resumed} of several attempts, {moved} moves, {not_run} not run");
    // A harness in which nothing happens would prove nothing.
    assert!(whole > 500 && resumed > 100 && moved > 100 && not_run > 20);
}
