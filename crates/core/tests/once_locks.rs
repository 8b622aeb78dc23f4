//! Guards against thread interleavings in which two threads execute the same key.

use std::time::Duration;

use jujubebeam_core::once::*;
use jujubebeam_core::{Incarnation, Machine, RequestId, VmId, WorkspaceId};
use shuttle::sync::atomic::{AtomicU32, Ordering};
use shuttle::sync::{Arc, Mutex};
use shuttle::thread;

const SHARDS: usize = 4;

fn begin(request: u128, key: OnceKey) -> OnceEvent {
    OnceEvent::Begin {
        request: RequestId(request),
        key,
        kind: KeyKind::Ticket {
            expires: TICKET_LIFETIME,
        },
        body: [1; 32],
        deadline: Duration::from_secs(1),
    }
}

/// Three threads begin and end one key. `choose` returns the shard of a request.
fn race(choose: fn(u128, OnceKey) -> usize) {
    let shard = |n| {
        let ledger = OnceLedger::new(OnceConfig::default(), VmId(1), Incarnation(1), n, SHARDS);
        Mutex::new(ledger)
    };
    let shards: Arc<Vec<_>> = Arc::new((0..SHARDS).map(shard).collect());
    let runs = Arc::new(AtomicU32::new(0));
    let key = OnceKey::new(WorkspaceId(1), "key");
    let threads: Vec<_> = (0..3)
        .map(|request| {
            let (shards, runs) = (shards.clone(), runs.clone());
            thread::spawn(move || {
                let shard = &shards[choose(request, key)];
                let mut out = Vec::new();
                let now = Duration::ZERO;
                shard
                    .lock()
                    .unwrap()
                    .step(begin(request, key), now, &mut out);
                if !out.iter().any(|c| matches!(c, OnceCommand::Run { .. })) {
                    return;
                }
                runs.fetch_add(1, Ordering::SeqCst);
                let end = ExecutionResult::Lost;
                let event = OnceEvent::Ended { key, end };
                shard.lock().unwrap().step(event, now, &mut out);
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1, "the key ran more than once");
}

/// Guards against a second run between the critical sections of `Begin` and `Ended`.
#[test]
fn one_key_runs_once_under_every_schedule() {
    shuttle::check_random(|| race(|_, key| key.shard(SHARDS)), 500);
}

/// Checks that the test above can fail: shards that do not depend on the key run it twice.
#[test]
#[should_panic(expected = "the key ran more than once")]
fn shards_by_request_run_a_key_twice() {
    shuttle::check_random(|| race(|request, _| request as usize % SHARDS), 10);
}
