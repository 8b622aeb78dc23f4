//! All targets of a zone withdrawn at once.

mod support;

use std::thread;

use support::{Fleet, finish};

/// Guards against streams that are cut, or that repeat or skip tokens, when a zone of targets
/// vanishes without notice, and against work that the rest of the fleet does not take over.
#[test]
fn zone_withdrawn_at_once_cuts_no_stream() {
    let fleet = Fleet::start();
    let streams: Vec<_> = (0..24)
        .map(|i| fleet.open_chat(i % 6, &format!("zone {i}"), 150))
        .collect();
    let readers: Vec<_> = streams
        .into_iter()
        .map(|stream| thread::spawn(move || finish(stream)))
        .collect();
    let running = |fleet: &Fleet, port| {
        let records = fleet.records(port);
        let attempts = records["attempts"].as_object().cloned().unwrap_or_default();
        attempts.values().any(|a| a["generated"].as_u64() > Some(3))
    };
    let zone: Vec<_> = fleet.engines().into_iter().step_by(3).collect();
    support::until(|| zone.iter().any(|port| running(&fleet, *port)));
    for port in &zone {
        fleet.crash_engine(*port);
    }
    for reader in readers {
        let answer = reader.join().expect("an answer");
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.tokens(), (0..150).collect::<Vec<_>>());
    }
    for vm in 0..6 {
        assert!(fleet.chat(vm, "rest of the fleet", 3).is_whole());
    }
    fleet.check_all();
}
