//! Guards against a request that runs twice and against a false "not run", in randomized runs.
//! `JUJUBEBEAM_SEEDS=5000` runs more seeds.

mod support_requests;

use jujubebeam_core::invariant;
use jujubebeam_core::once::OnceConfig;
use support_requests::{once_world, seeds};

/// Guards against double execution and a false "not run" under store faults, lost messages,
/// restarts and requests that are repeated at other vms.
#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    let (mut executions, mut refusals, mut closed, mut done) = (0, 0, 0, 0);
    for seed in seeds(400) {
        let record = once_world::run(seed, OnceConfig::default());
        assert_eq!(record.faults(), Vec::<String>::new(), "seed {seed}");
        executions += record.executions.len();
        refusals += record.not_run.len();
        closed += record.keys_not_run.len();
        done += record.done;
    }
    assert_eq!(invariant::total(), 0);
    println!("{executions} executions, {refusals} refusals, {closed} closed keys, {done} stored");
    // The runs must exercise each case often enough for the checks to be meaningful.
    assert!(executions > 100 && refusals > 100 && closed > 10 && done > 100);
}
