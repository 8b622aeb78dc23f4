//! A fleet of real processes under faults.

mod support;

use support::{Fleet, children};

/// Guards against a runtime that uses io_uring, and against a daemon that starts processes.
#[test]
fn daemon_uses_no_io_uring_and_starts_no_process() {
    let fleet = Fleet::start();
    for vm in 0..6 {
        let process = fleet.vm_process(vm);
        assert_eq!(children(process), Vec::<u32>::new());
        for entry in std::fs::read_dir(format!("/proc/{process}/fd")).expect("fds") {
            let link = std::fs::read_link(entry.expect("an entry").path()).unwrap_or_default();
            assert!(!link.to_string_lossy().contains("io_uring"), "{link:?}");
        }
    }
}

/// Guards against callers that stop when the first vm of their address list is killed, and against
/// a store outage that stops keyed requests, new ones and those that run.
#[test]
fn killed_vm_and_store_outage_stop_no_caller() {
    let fleet = Fleet::start();
    fleet.signal(fleet.vm_process(0), "KILL");
    let mut answers = (0..6).map(|vm| fleet.chat(vm, "heel", 5));
    assert!(answers.any(|a| a.is_whole()));

    let running = fleet.open_chat(1, "long", 60);
    fleet.set_fault(fleet.platform(), r#"{"store":{"outage":true}}"#);
    let fresh = fleet.chat(2, "new", 5);
    assert!(fresh.is_whole(), "{fresh:?}");
    let running = support::finish(running);
    assert!(running.is_whole(), "{running:?}");
    assert_eq!(running.tokens(), (0..60).collect::<Vec<_>>());
}

/// Guards against headers that carry the caller's key to a target.
#[test]
fn caller_keys_reach_no_target() {
    let fleet = Fleet::start();
    for i in 0..6 {
        assert!(fleet.chat(i, "heel", 2).is_whole());
        let checkout = fleet.checkout(i, &format!("order-{i}"));
        assert_eq!(checkout.status, 200, "{checkout:?}");
    }
    let mut attempts = 0;
    for port in fleet.engines() {
        let records = fleet.records(port);
        for attempt in records["attempts"].as_object().expect("attempts").values() {
            assert_eq!(attempt["saw_caller_key"], false);
            attempts += 1;
        }
    }
    assert!(attempts >= 12);
    for port in fleet.services() {
        assert_eq!(fleet.records(port)["saw_caller_key"], 0);
    }
}
