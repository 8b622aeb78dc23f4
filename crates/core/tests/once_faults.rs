//! Checks that the test in `once_random.rs` can fail: it must find a fault with each protection
//! disabled, and its checkers must report hand-written bad histories.

mod support_requests;

use jujubebeam_core::RequestId;
use jujubebeam_core::once::{OnceConfig, OnceKey};
use support_requests::once_world::{self, KeyOp, Record, is_linearizable};
use todc_utils::Action::{Call, Response};

fn first_seed_with_faults(config: OnceConfig) -> Option<(u64, Vec<String>)> {
    (0..200).find_map(|seed| {
        let faults = once_world::run(seed, config).faults();
        (!faults.is_empty()).then_some((seed, faults))
    })
}

/// Without marks, a request that is repeated at another vm runs again.
#[test]
fn without_marks_a_key_runs_twice() {
    let found = first_seed_with_faults(OnceConfig {
        marks: false,
        ..OnceConfig::default()
    });
    println!("without marks: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("executed twice"))));
}

/// Without read-back, a request runs although its create call had an unknown result and another
/// vm's mark was created first.
#[test]
fn without_read_back_a_key_runs_twice() {
    let found = first_seed_with_faults(OnceConfig {
        read_back: false,
        ..OnceConfig::default()
    });
    println!("without read-back: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("executed twice"))));
}

/// If giving up is not final, a request runs after its caller received "not run".
#[test]
fn not_run_is_false_if_giving_up_is_not_final() {
    let found = first_seed_with_faults(OnceConfig {
        give_up_is_final: false,
        ..OnceConfig::default()
    });
    println!("without final giving up: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("not run and executed"))));
}

/// The linearizability checker reports a second run, a run after "not run", an answer without a run
/// and a "not run" after a run.
#[test]
fn checker_reports_bad_histories() {
    use KeyOp::{ObservedDone, ObservedNotRun, Run};
    let sequence = |ops: &[KeyOp]| {
        let pairs = ops.iter().enumerate();
        pairs
            .flat_map(|(p, op)| [(p, Call(*op)), (p, Response(*op))])
            .collect()
    };
    assert!(!is_linearizable(sequence(&[Run, Run])));
    assert!(!is_linearizable(sequence(&[ObservedNotRun, Run])));
    assert!(!is_linearizable(sequence(&[ObservedDone, Run])));
    assert!(!is_linearizable(sequence(&[Run, ObservedNotRun])));
    assert!(is_linearizable(sequence(&[
        Run,
        ObservedDone,
        ObservedDone
    ])));
}

/// The record reports a key that ran twice and a request that ran although it was refused.
#[test]
fn record_reports_bad_executions() {
    let key = OnceKey([3; 32]);
    let record = Record {
        executions: vec![(RequestId(1), key), (RequestId(2), key)],
        not_run: [RequestId(2)].into(),
        ..Record::default()
    };
    assert_eq!(record.faults().len(), 2);
}
