//! The stand-ins themselves: a wrong one would make the proofs worthless.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command};
use std::thread;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use support::{Answer, BINARY, finish, send, until};

/// A stand-in that runs alone.
struct Standin {
    child: Child,
    port: u16,
    directory: std::path::PathBuf,
}

impl Standin {
    fn start(name: &str, arguments: &[&str]) -> Self {
        let port = support::free_port();
        let directory = std::env::temp_dir().join(format!("jujubebeam-standin-{port}"));
        std::fs::create_dir_all(&directory).expect("a directory");
        let write = |file: &str, text: &str| {
            let path = directory.join(file);
            std::fs::write(&path, text).expect("a file");
            path.to_string_lossy().into_owned()
        };
        let vms = write("vms.json", r#"{"vms":[]}"#);
        let spare = r#"{"spares":[{"address":"127.0.0.1:1","zone":"brest","class":"spot"}]}"#;
        let targets = write("targets.json", spare);
        let mut command = Command::new(BINARY);
        command
            .args([name, "--address", &format!("127.0.0.1:{port}")])
            .args(arguments);
        if name == "platform" {
            command.args(["--vms", &vms, "--targets", &targets]);
        }
        let child = support::spawn(&mut command).expect("the stand-in binary starts");
        until(|| send(port, "GET", "/standin/faults", "", "").is_some());
        Self {
            child,
            port,
            directory,
        }
    }

    fn platform() -> Self {
        Self::start("platform", &[])
    }

    fn post(&self, path: &str, body: &Value) -> Answer {
        finish(send(self.port, "POST", path, "", &body.to_string()))
    }

    fn read(&self, key: &str) -> Value {
        let range = json!({"key": STANDARD.encode(key)});
        self.post("/v3/kv/range", &range).json()["kvs"][0].clone()
    }

    /// Writes a key if its last change was at `expected`; 0 means that it must not exist.
    fn cas(&self, key: &str, expected: &str, lease: &str) -> Value {
        let key = STANDARD.encode(key);
        let compare =
            json!({"result": "EQUAL", "target": "MOD", "key": key, "mod_revision": expected});
        let put = json!({"key": key, "value": STANDARD.encode("value"), "lease": lease});
        let txn = json!({"compare": [compare], "success": [{"request_put": put}]});
        self.post("/v3/kv/txn", &txn).json()
    }

    fn order(&self, order_id: u64, fence: u64) -> Value {
        let action =
            json!({"action": "start", "group": "advice", "zone": "brest", "class": "spot"});
        let mut order = json!({"order_id": order_id, "fence": fence, "sender": "test"});
        order
            .as_object_mut()
            .expect("an object")
            .extend(action.as_object().expect("one").clone());
        self.post("/orders", &order).json()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Guards against a store that keeps the keys of a lapsed lease, or drops those of a renewed one.
#[test]
fn lapsed_lease_deletes_its_keys() {
    let store = Standin::platform();
    let grant = |ttl: &str| {
        let answer = store
            .post("/v3/lease/grant", &json!({"TTL": ttl, "ID": "0"}))
            .json();
        answer["ID"].as_str().expect("a lease").to_owned()
    };
    let (short, renewed) = (grant("1"), grant("2"));
    assert_eq!(store.cas("short", "0", &short)["succeeded"], true);
    assert_eq!(store.cas("renewed", "0", &renewed)["succeeded"], true);
    let started = Instant::now();
    until(|| {
        let alive = store
            .post("/v3/lease/keepalive", &json!({"ID": renewed}))
            .json();
        assert_eq!(alive["result"]["TTL"], "2", "{alive}");
        store.read("short").is_null()
    });
    println!(
        "the key of a lease of 1 s was gone after {:?}",
        started.elapsed()
    );
    let alive = store
        .post("/v3/lease/keepalive", &json!({"ID": short}))
        .json();
    assert_ne!(alive["result"]["TTL"], "1", "{alive}");
    assert!(!store.read("renewed").is_null());
    assert!(store.cas("late", "0", &short)["error"].is_string());
}

/// Guards against a store that lets two writers win, or counts a lost write as a revision.
#[test]
fn one_of_two_writers_on_one_revision_wins() {
    let store = Standin::platform();
    assert_eq!(store.cas("raced", "0", "0")["succeeded"], true);
    assert_ne!(store.cas("raced", "0", "0")["succeeded"], true);
    let revision = store.read("raced")["mod_revision"]
        .as_str()
        .expect("one")
        .to_owned();
    let won = thread::scope(|scope| {
        let writers: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| store.cas("raced", &revision, "0")))
            .collect();
        let answers = writers.into_iter().map(|w| w.join().expect("an answer"));
        answers.filter(|a| a["succeeded"] == true).count()
    });
    assert_eq!(won, 1);
    let after: i64 = store.read("raced")["mod_revision"]
        .as_str()
        .expect("one")
        .parse()
        .expect("one");
    assert_eq!(after, revision.parse::<i64>().expect("a number") + 1);
}

/// Guards against watches that miss a change of the past, or hide that changes were forgotten.
#[test]
fn watch_shows_history_or_says_that_it_is_gone() {
    let store = Standin::platform();
    for i in 0..5 {
        assert_eq!(
            store.cas(&format!("watched/{i}"), "0", "0")["succeeded"],
            true
        );
    }
    let watch = |from: &str| {
        let (key, end) = (STANDARD.encode("watched/"), STANDARD.encode("watched0"));
        let create = json!({"key": key, "range_end": end, "start_revision": from});
        let body = json!({"create_request": create}).to_string();
        let stream = send(store.port, "POST", "/v3/watch", "", &body).expect("a connection");
        BufReader::new(stream)
            .lines()
            .map_while(Result::ok)
            .filter(|l| l.contains("result"))
    };
    let events = watch("2").nth(1).expect("a message");
    assert_eq!(events.matches("mod_revision").count(), 4, "{events}");
    store.post("/v3/kv/compaction", &json!({"revision": "3"}));
    let gone = watch("2").nth(1).expect("a message");
    assert!(
        gone.contains("\"canceled\":true") && gone.contains("\"compact_revision\":\"4\""),
        "{gone}"
    );
    let rest = watch("4").nth(1).expect("a message");
    assert_eq!(rest.matches("mod_revision").count(), 2, "{rest}");
}

/// Guards against a refusal because of the rate that has taken effect, and against an answer that
/// is lost before the call took effect.
#[test]
fn refused_write_has_no_effect_and_lost_answer_has() {
    let store = Standin::platform();
    store.post("/standin/faults", &json!({"store": {"writes_per_s": 1}}));
    let mut refused = None;
    for i in 0.. {
        let key = format!("limited/{i}");
        if store.cas(&key, "0", "0")["succeeded"] != true {
            refused = Some(key);
            break;
        }
        assert!(i < 100, "no write was refused");
    }
    assert!(store.read(&refused.expect("a key")).is_null());
    let lose =
        json!({"store": {"writes_per_s": 500, "lose_answers": 1, "lose_answers_of": "lost"}});
    store.post("/standin/faults", &lose);
    let (key, value) = (STANDARD.encode("lost"), STANDARD.encode("value"));
    let body = json!({"success": [{"request_put": {"key": key, "value": value}}]}).to_string();
    let unanswered = send(store.port, "POST", "/v3/kv/txn", "", &body);
    until(|| !store.read("lost").is_null());
    drop(unanswered);
}

/// Guards against a platform that stores a second report of a window or shows its figures.
#[test]
fn usage_is_accepted_once_per_window() {
    let platform = Standin::platform();
    let report = |requests: u64| {
        let used =
            json!({"workspace": "w", "requests": requests, "prompt_tokens": 1, "output_tokens": 1});
        let body = json!({"window": 7, "length_s": 60, "sender": "s", "workspaces": [used]});
        finish(send(
            platform.port,
            "PUT",
            "/windows/7",
            "",
            &body.to_string(),
        ))
        .json()
    };
    assert_eq!(report(3)["result"], "accepted");
    assert_eq!(report(4)["result"], "already_reported");
    let stored = finish(send(platform.port, "GET", "/windows/7", "", "")).json();
    assert_eq!(stored["workspaces"][0]["requests"], 3);
}

/// Guards against a repeated order that buys twice, and against an old fencing token that passes.
#[test]
fn ordering_is_idempotent_and_refuses_old_fences() {
    let platform = Standin::platform();
    let first = platform.order(1, 5);
    assert_eq!(first["result"], "accepted", "{first}");
    assert_eq!(platform.order(1, 5), first);
    assert_eq!(platform.order(2, 4)["result"], "stale_fence");
    assert_eq!(platform.order(3, 6)["result"], "no_capacity");
    platform.post(
        "/standin/faults",
        &json!({"ordering": {"checks_fencing": false}}),
    );
    assert_eq!(platform.order(4, 1)["result"], "no_capacity");
}

/// Guards against an engine that takes an old fencing token although it checks, refuses one
/// although it does not, or executes an order twice.
#[test]
fn engine_refuses_old_fences_if_it_checks() {
    let engine = Standin::start("engine", &["--model", "m"]);
    let order = |order_id: u64, fence: u64, role: &str| {
        let order = json!({"kind": "set_role", "role": role});
        let body = json!({"order_id": order_id, "fence": fence, "order": order});
        engine.post("/orders", &body).json()["result"].clone()
    };
    engine.post("/standin/faults", &json!({"role_change_ms": 0}));
    assert_eq!(order(1, 5, "decode"), "accepted");
    assert_eq!(order(1, 5, "decode"), "accepted");
    assert_eq!(order(2, 4, "prefill"), "stale_fence");
    engine.post("/standin/faults", &json!({"checks_fencing": false}));
    until(|| order(3, 4, "prefill") == "accepted");
}
