//! Shows that the proof of `once_random.rs` fails without each mechanism, and that its checkers
//! report hand-written bad histories.

mod support_requests;

use jujubebeam_core::RequestId;
use jujubebeam_core::once::{OnceConfig, OnceKey};
use support_requests::once_world::{self, KeyOp, Record, is_linearizable};
use todc_utils::Action::{Call, Response};

fn first_failing_seed(config: OnceConfig) -> Option<(u64, Vec<String>)> {
    (0..200).find_map(|seed| {
        let faults = once_world::run(seed, config).faults();
        (!faults.is_empty()).then_some((seed, faults))
    })
}

/// Without marks, repeats at other vms run again.
#[test]
fn without_marks_a_key_runs_twice() {
    let found = first_failing_seed(OnceConfig {
        marks: false,
        ..OnceConfig::default()
    });
    println!("without marks: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("executed twice"))));
}

/// Without read-back, an unknown create that lost against another vm's mark runs.
#[test]
fn without_read_back_a_key_runs_twice() {
    let found = first_failing_seed(OnceConfig {
        read_back: false,
        ..OnceConfig::default()
    });
    println!("without read-back: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("executed twice"))));
}

/// Without giving up for good, a request runs after its caller was told that it did not.
#[test]
fn without_giving_up_for_good_not_run_is_false() {
    let found = first_failing_seed(OnceConfig {
        give_up_is_final: false,
        ..OnceConfig::default()
    });
    println!("without giving up for good: {found:?}");
    assert!(found.is_some_and(|(_, f)| f.iter().any(|f| f.contains("not run and executed"))));
}

/// The linearizability checker reports a second run, a run after "not run" and an invented answer.
#[test]
fn checker_reports_bad_histories() {
    use KeyOp::{Run, SeenDone, SeenNotRun};
    let sequence = |ops: &[KeyOp]| {
        let pairs = ops.iter().enumerate();
        pairs
            .flat_map(|(p, op)| [(p, Call(*op)), (p, Response(*op))])
            .collect()
    };
    assert!(!is_linearizable(sequence(&[Run, Run])));
    assert!(!is_linearizable(sequence(&[SeenNotRun, Run])));
    assert!(!is_linearizable(sequence(&[SeenDone, Run])));
    assert!(!is_linearizable(sequence(&[Run, SeenNotRun])));
    assert!(is_linearizable(sequence(&[Run, SeenDone, SeenDone])));
}

/// The count of executions reports a key that ran twice and a request that was refused.
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
