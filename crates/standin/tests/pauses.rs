//! Vms that are paused for longer than their lease.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{Fleet, finish, until};

/// Guards against a holder that wakes up after its lease has lapsed and reports usage, and against
/// a vm that serves what came while it was paused under the settings of before.
#[test]
fn paused_holder_has_no_effect_and_no_stale_settings() {
    let fleet = Fleet::with(&["--usage-window-s", "2"]);
    until(|| fleet.holder("usage").is_some() && !fleet.usage_reports().is_empty());
    let paused = fleet.holder("usage").expect("a holder");
    let other = (paused + 1) % support::VMS;
    let process = fleet.vm_process(paused);
    fleet.signal(process, "STOP");
    let started = Instant::now();
    until(|| fleet.holder("usage").is_some_and(|vm| vm != paused));
    println!("paused holder was replaced after {:?}", started.elapsed());
    // A vm that was paused takes connections, which wait in its listener.
    let waiting: Vec<_> = (0..3)
        .map(|_| fleet.open_chat(paused, "stale", 2))
        .collect();
    let withdrawn = fleet.operate(
        other,
        &[
            "key",
            "withdraw",
            "--team",
            "north",
            "--workspace",
            "kits-north",
            "--name",
            "first",
        ],
    );
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    until(|| fleet.chat(other, "late", 1).says("key_withdrawn"));
    let sender = format!("vm-{}-", paused + 1);
    let sent = || {
        let reports = fleet.usage_reports();
        let of_paused = |r: &&(String, serde_json::Value)| {
            r.1["sender"]
                .as_str()
                .is_some_and(|s| s.starts_with(&sender))
        };
        (reports.iter().filter(of_paused).count(), reports.len())
    };
    let before = sent();
    assert!(before.0 > 0, "the sender {sender} is not recorded");
    fleet.signal(process, "CONT");
    for stream in waiting {
        let answer = finish(stream);
        assert!(!answer.is_whole(), "served with stale settings: {answer:?}");
    }
    until(|| fleet.chat(paused, "awake", 1).says("key_withdrawn"));
    until(|| sent().1 >= before.1 + 2);
    // If the paused vm has become the holder again, its reports are in order.
    if fleet.holder("usage") != Some(paused) {
        assert_eq!(sent().0, before.0, "{:?}", fleet.usage_reports());
    }
    fleet.check_all();
}

/// Guards against a request that is executed again when the caller repeats it elsewhere while its
/// vm is paused.
#[test]
fn checkouts_through_paused_vms_run_at_most_once() {
    let fleet = Fleet::start();
    for port in fleet.services() {
        fleet.set_fault(port, r#"{"delay_ms":400}"#);
    }
    for round in 0..3 {
        let key = format!("paused-{round}");
        let process = fleet.vm_process(round);
        let (fleet, key) = (&fleet, &key);
        let send = move |vm| fleet.checkout_within(vm, key, 4000);
        thread::scope(|scope| {
            let first = scope.spawn(|| send(round));
            // The pause falls before, within or after the execution.
            thread::sleep(Duration::from_millis(100 * u64::from(round)));
            fleet.signal(process, "STOP");
            let repeats: Vec<_> = (3..6).map(|vm| scope.spawn(move || send(vm))).collect();
            let join = |answer: thread::ScopedJoinHandle<_>| answer.join().expect("an answer");
            let mut answers: Vec<_> = repeats.into_iter().map(join).collect();
            fleet.signal(process, "CONT");
            answers.push(join(first));
            let ran = fleet.executions().contains_key(key);
            for answer in &answers {
                println!("{key}: {} not_run={}", answer.status, answer.says_not_run());
                assert!(answer.status != 200 || ran, "{answer:?}");
            }
        });
    }
    fleet.check_all();
}

/// Guards against a request that is never answered because its vm was paused for a moment.
#[test]
fn vm_answers_all_requests_after_a_short_pause() {
    let fleet = Fleet::start();
    for port in fleet.services() {
        fleet.set_fault(port, r#"{"delay_ms":150}"#);
    }
    let process = fleet.vm_process(1);
    thread::scope(|scope| {
        for i in 0..24 {
            let fleet = &fleet;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(20 * i));
                let answer = fleet.checkout_within(1, &format!("short-{i}"), 5000);
                assert_ne!(answer.status, 0, "checkout {i} got no answer");
            });
        }
        thread::sleep(Duration::from_millis(250));
        fleet.signal(process, "STOP");
        thread::sleep(Duration::from_millis(1500));
        fleet.signal(process, "CONT");
    });
    fleet.check_all();
}
