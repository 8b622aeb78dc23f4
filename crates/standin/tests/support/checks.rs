//! What must hold after every run, whatever failed in it.

use std::collections::BTreeMap;
use std::fs;

use serde_json::Value;

use super::{Fleet, VMS, until};

impl Fleet {
    /// Executions by idempotency key, from the journals, which survive a crash.
    pub(crate) fn executions(&self) -> BTreeMap<String, u32> {
        let mut executions = BTreeMap::new();
        for entry in fs::read_dir(self.directory()).expect("the fleet's directory") {
            let path = entry.expect("an entry").path();
            if path.extension().is_none_or(|e| e != "journal") {
                continue;
            }
            for key in fs::read_to_string(path).expect("a journal").lines() {
                *executions.entry(key.to_owned()).or_default() += 1;
            }
        }
        executions
    }

    /// Asserts `at_most_once`, `key_bound_to_workspace`, `no_conflicting_orders`,
    /// `one_usage_figure` and that no vm of these has counted a violation.
    pub(crate) fn check(&self, vms: impl Iterator<Item = u16>) {
        for (key, count) in self.executions() {
            assert!(count <= 1 || key == "-", "{key} was executed {count} times");
        }
        for port in self.engines().into_iter().chain(self.services()) {
            if super::send(port, "GET", "/load", "", "").is_some() {
                check_target(&self.records(port));
            }
        }
        check_usage(&self.usage_reports());
        for vm in vms {
            let mut violations = None;
            until(|| {
                violations = self.status(vm).and_then(|s| s["violations"].as_u64());
                violations.is_some()
            });
            assert_eq!(violations, Some(0), "vm {vm} counted violations");
        }
    }

    pub(crate) fn check_all(&self) {
        self.check(0..VMS);
    }
}

fn check_target(records: &Value) {
    for attempt in records["attempts"].as_object().into_iter().flatten() {
        assert_eq!(attempt.1["saw_caller_key"], false, "{attempt:?}");
    }
    assert!(records["saw_caller_key"].as_u64().unwrap_or(0) == 0);
    for order in records["orders"].as_array().into_iter().flatten() {
        assert_eq!(order["conflicting"], false, "{order}");
        assert_eq!(order["cut_requests"], 0, "{order}");
    }
}

/// Each window is accepted once, and a repeat carries the same figures.
fn check_usage(reports: &[(String, Value)]) {
    let mut figures: BTreeMap<u64, &Value> = BTreeMap::new();
    for (result, report) in reports {
        let window = report["window"].as_u64().expect("a window");
        let first = figures.entry(window).or_insert(&report["workspaces"]);
        assert_eq!(
            *first, &report["workspaces"],
            "window {window} has two figures"
        );
        assert!(result == "accepted" || result == "already_reported");
    }
    let accepted = reports.iter().filter(|(result, _)| result == "accepted");
    assert_eq!(accepted.count(), figures.len());
}
