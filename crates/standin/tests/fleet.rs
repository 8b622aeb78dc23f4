//! Planned changes of engines, ordered by the system.

mod support;

use std::process::{Child, Command};
use std::thread;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use support::{Fleet, finish, send, until};

const LEASE: &str = "authority/engines/advice/brest";

fn body(text: &str) -> Value {
    let body = text.split_once("\r\n\r\n").expect("a body").1;
    serde_json::from_str(body).expect("the body is JSON")
}

/// Value of a store key.
fn stored(fleet: &Fleet, key: &str) -> Option<String> {
    let range = format!(r#"{{"key":"{}"}}"#, STANDARD.encode(key));
    let answer = finish(send(fleet.platform(), "POST", "/v3/kv/range", "", &range));
    let value = body(&answer.text)["kvs"][0]["value"].as_str()?.to_owned();
    let bytes = STANDARD.decode(value).expect("values are base64");
    Some(String::from_utf8(bytes).expect("values are text"))
}

fn holder(fleet: &Fleet) -> Option<u64> {
    let value: Value = serde_json::from_str(&stored(fleet, LEASE)?).ok()?;
    value["vm"].as_u64()
}

/// Removes a vm from the platform's list, as the platform does some time after a vm has ended.
fn unlist(fleet: &Fleet, vm: u64) {
    let mut list = body(&finish(send(fleet.platform(), "GET", "/vms", "", "")).text);
    let vms = list["vms"].as_array_mut().expect("vms are listed");
    vms.retain(|listed| listed["vm"] != vm);
    let changed = send(
        fleet.platform(),
        "POST",
        "/standin/vms",
        "",
        &list.to_string(),
    );
    assert_eq!(finish(changed).status, 200);
}

/// Sets the wanted role of engines of the first zone, by position.
fn want_role(fleet: &Fleet, engines: &[usize], role: &str) {
    let mut text = stored(fleet, "config/fleet").expect("settings exist");
    for engine in engines {
        let port = fleet.engines()[*engine];
        let old = format!("127.0.0.1:{port}\", zone: brest");
        assert!(text.contains(&old), "{text}");
        text = text.replace(&old, &format!("{old}, role: {role}"));
    }
    let (key, value) = (STANDARD.encode("config/fleet"), STANDARD.encode(text));
    let put = format!(r#"{{"success":[{{"request_put":{{"key":"{key}","value":"{value}"}}}}]}}"#);
    let written = finish(send(fleet.platform(), "POST", "/v3/kv/txn", "", &put));
    assert_eq!(written.status, 200, "{written:?}");
}

fn load(port: u16) -> Option<Value> {
    let answer = finish(send(port, "GET", "/load", "", ""));
    (answer.status == 200).then(|| body(&answer.text))
}

fn has_role(port: u16, role: &str) -> bool {
    load(port).is_some_and(|l| l["role"] == role && l["state"] == "serving")
}

fn executed(fleet: &Fleet, port: u16) -> Vec<Value> {
    fleet.records(port)["orders"]
        .as_array()
        .expect("orders are listed")
        .clone()
}

fn assert_cut_nothing(fleet: &Fleet, port: u16) {
    for order in executed(fleet, port) {
        assert_eq!(order["cut_requests"], 0, "{order}");
        assert_eq!(order["conflicting"], false, "{order}");
    }
}

/// Guards against a role change that cuts or breaks a stream, or meets new work, and against two
/// changes at a time in one zone.
#[test]
fn role_change_cuts_no_stream() {
    let fleet = Fleet::start();
    let changed = [0, 3].map(|i| fleet.engines()[i]);
    until(|| holder(&fleet).is_some());
    let mut answers = Vec::new();
    let mut read = |stream, tokens: u32| {
        answers.push((thread::spawn(move || finish(stream)), tokens));
    };
    for i in 0..24 {
        read(fleet.open_chat(i % 6, &format!("long {i}"), 300), 300);
    }
    want_role(&fleet, &[0, 3], "prefill");
    let started = Instant::now();
    let mut next = 0;
    until(|| {
        next += 1;
        read(fleet.open_chat(next % 6, &format!("short {next}"), 20), 20);
        changed.iter().all(|port| has_role(*port, "prefill"))
    });
    println!("two role changes took {:?}", started.elapsed());
    for (answer, tokens) in answers {
        let answer = answer.join().expect("the reader ends");
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.tokens(), (0..tokens).collect::<Vec<_>>());
    }
    for port in changed {
        assert!(!executed(&fleet, port).is_empty());
        assert_cut_nothing(&fleet, port);
    }
}

/// Guards against a dead order holder that is not replaced, and against orders of two vms at a
/// time.
#[test]
fn dead_holder_is_replaced() {
    let fleet = Fleet::start();
    until(|| holder(&fleet).is_some());
    want_role(&fleet, &[0], "prefill");
    until(|| has_role(fleet.engines()[0], "prefill"));
    let dead = holder(&fleet).expect("the lease is held");
    fleet.signal(fleet.vm_process(dead as u16 - 1), "KILL");
    let killed = Instant::now();
    until(|| holder(&fleet).is_some_and(|vm| vm != dead));
    println!("the holder was replaced after {:?}", killed.elapsed());
    // Until then the dead vm may be a paused one that still has streams at the engine.
    unlist(&fleet, dead);
    want_role(&fleet, &[3], "decode");
    until(|| has_role(fleet.engines()[3], "decode"));
    println!(
        "its successor's order took effect after {:?}",
        killed.elapsed()
    );
    let fences = |port| -> Vec<u64> {
        let orders = executed(&fleet, port);
        let fence = |o: &Value| o["order"]["fence"].as_u64().expect("a fence");
        orders.iter().map(fence).collect()
    };
    let (first, second) = (fences(fleet.engines()[0]), fences(fleet.engines()[3]));
    // The successor may finish its predecessor's order, and gives all later ones.
    let (old, new) = (first[0], second[0]);
    assert!(old < new, "{first:?} {second:?}");
    assert!(first.is_sorted() && first.iter().all(|f| *f == old || *f == new));
    assert!(second.iter().all(|f| *f == new), "{second:?}");
    let mut ids: Vec<_> = executed(&fleet, fleet.engines()[0])
        .iter()
        .map(|o| o["order"]["order_id"].as_u64())
        .collect();
    ids.dedup();
    assert_eq!(ids.len(), 1, "a change was ordered twice");
    for i in [0, 3] {
        assert_cut_nothing(&fleet, fleet.engines()[i]);
    }
}

/// An engine that replaces a crashed one. Dropping it stops it.
struct Replacement(Child);

impl Drop for Replacement {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against an order that is settled although its engine crashed in it, and against an
/// engine that is sent the order in which it crashed again and again.
#[test]
fn crash_in_an_order_keeps_it_pending_until_the_engine_is_back() {
    let fleet = Fleet::start();
    let port = fleet.engines()[0];
    fleet.set_fault(port, r#"{"crash_in_order":true}"#);
    until(|| holder(&fleet).is_some());
    want_role(&fleet, &[0], "prefill");
    until(|| load(port).is_none());
    let state = || -> Option<String> {
        let text = stored(&fleet, "intents/engines/advice/brest/advice-1")?;
        let value: Value = serde_json::from_str(&text).ok()?;
        Some(value["state"].as_str()?.to_owned())
    };
    assert_eq!(state().as_deref(), Some("pending"));
    let whole = fleet.chat(0, "meanwhile", 20);
    assert!(whole.is_whole(), "{whole:?}");
    let address = format!("127.0.0.1:{port}");
    let mut engine = Command::new(env!("CARGO_BIN_EXE_jujubebeam-standin"));
    engine.args(["engine", "--address", &address, "--model", "darn-7b"]);
    let engine = support::spawn(&mut engine);
    let _engine = Replacement(engine.expect("the engine starts"));
    until(|| state().as_deref() == Some("settled"));
    assert!(has_role(port, "mixed"));
    assert!(executed(&fleet, port).is_empty());
    // The engine gets work again.
    until(|| {
        fleet.chat(0, "again", 5);
        let records = fleet.records(port);
        let attempts = records["attempts"]
            .as_object()
            .expect("attempts are listed");
        !attempts.is_empty()
    });
}
