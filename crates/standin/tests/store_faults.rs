//! Outages and slowness of the store, and answers that are lost after they took effect.

mod support;

use std::thread;
use std::time::Duration;

use support::{Fleet, finish, until};

/// Guards against an outage longer than a lease that stops keyed work, runs a checkout with the
/// caller's own key, or leaves scopes without a holder or usage without a report.
#[test]
fn outage_longer_than_a_lease_stops_only_what_needs_the_store() {
    let fleet = Fleet::with(&["--usage-window-s", "2"]);
    until(|| fleet.holder("usage").is_some());
    fleet.set_fault(fleet.platform(), r#"{"store":{"outage":true}}"#);
    // Longer than the lease of 6 s.
    let streams: Vec<_> = (0..6)
        .map(|vm| fleet.open_chat(vm, "outage", 700))
        .collect();
    let checkout = fleet.checkout(3, "during-outage");
    assert!(checkout.status != 200, "{checkout:?}");
    let not_run = checkout.says_not_run();
    for stream in streams {
        let answer = finish(stream);
        assert!(answer.is_whole(), "{answer:?}");
    }
    let change = fleet.operate(
        0,
        &["workspace", "create", "--team", "lost", "--workspace", "l"],
    );
    assert!(!change.status.success(), "{change:?}");
    fleet.clear_faults(fleet.platform());
    until(|| fleet.holder("usage").is_some());
    let reported = fleet.usage_reports().len();
    until(|| fleet.usage_reports().len() > reported);
    until(|| fleet.checkout(3, "after-outage").status == 200);
    let ran = fleet.executions().contains_key("during-outage");
    assert!(
        !(not_run && ran),
        "a checkout was said to be not run, but ran"
    );
    fleet.check_all();
}

/// Guards against a slow store that lets two changes win or a checkout run twice.
#[test]
fn slow_store_doubles_nothing() {
    let fleet = Fleet::start();
    fleet.set_fault(fleet.platform(), r#"{"store":{"delay_ms":700}}"#);
    thread::scope(|scope| {
        for vm in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                for key in ["slow-a", "slow-b"] {
                    let answer = fleet.checkout(vm, key);
                    assert!(
                        answer.status != 200 || answer.text.contains("\"executions_of_key\":1")
                    );
                }
            });
        }
    });
    assert!(fleet.chat(4, "slow", 3).is_whole());
    fleet.clear_faults(fleet.platform());
    fleet.check_all();
}

/// Guards against a machine that takes a lost answer for a failure: of a lease, of a renewal, of an
/// intent or of a mark.
#[test]
fn lost_answers_double_nothing() {
    let fleet = Fleet::with(&["--usage-window-s", "2"]);
    until(|| fleet.holder("usage").is_some());
    for (of, count) in [
        ("lease_keepalive", 3),
        ("intents/", 2),
        ("usage/", 2),
        ("once/", 3),
    ] {
        let fault = format!(r#"{{"store":{{"lose_answers":{count},"lose_answers_of":"{of}"}}}}"#);
        fleet.set_fault(fleet.platform(), &fault);
        let keys: Vec<_> = (0..4).map(|i| format!("{of}-{i}")).collect();
        for (vm, key) in keys.iter().enumerate() {
            for vm in [vm as u16, 5] {
                let answer = fleet.checkout(vm, key);
                let ran = fleet.executions().contains_key(key);
                assert!(!(answer.says_not_run() && ran), "{answer:?}");
            }
        }
        let reported = fleet.usage_reports().len();
        until(|| fleet.usage_reports().len() > reported);
    }
    fleet.clear_faults(fleet.platform());
    fleet.check_all();
}

/// Guards against a change whose answer was lost and that is reported as not accepted, or that the
/// operator's repeat applies a second time.
#[test]
fn lost_answer_of_a_change_is_read_back() {
    let fleet = Fleet::start();
    let fault = r#"{"store":{"lose_answers":1,"lose_answers_of":"config/teams/"}}"#;
    fleet.set_fault(fleet.platform(), fault);
    let create = [
        "workspace",
        "create",
        "--team",
        "read-back",
        "--workspace",
        "one",
        "--wait",
    ];
    let change = fleet.operate(2, &create);
    let accepted = fleet.stored("config/teams/read-back").len() == 1;
    println!("exit code {:?}, accepted {accepted}", change.status.code());
    assert!(!change.status.success() || accepted, "{change:?}");
    fleet.clear_faults(fleet.platform());
    if accepted {
        let show = [
            "workspace",
            "show",
            "--team",
            "read-back",
            "--workspace",
            "one",
        ];
        for vm in 0..6 {
            until(|| fleet.operate(vm, &show).status.success());
        }
        assert_eq!(fleet.operate(4, &create).status.code(), Some(2));
    }
    thread::sleep(Duration::from_millis(100));
    fleet.check_all();
}
