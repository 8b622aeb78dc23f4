//! Operators that change settings at the same time.

mod support;

use std::thread;
use std::time::Instant;

use support::{Fleet, finish, until};

fn put(fleet: &Fleet, vm: u16, weight: u32, revision: &str) -> Option<i32> {
    let file = fleet.directory().join(format!("team-{vm}-{weight}.yaml"));
    let text = format!("workspaces:\n  - name: raced\n    weight: {weight}\n");
    std::fs::write(&file, text).expect("a file");
    let file = file.to_string_lossy();
    let arguments = ["change", "put", "--subtree", "teams/raced", "--file", &file];
    let rest = ["--revision", revision, "--wait", "--timeout-s", "60"];
    let output = fleet.operate(vm, &[&arguments[..], &rest[..]].concat());
    println!("weight {weight} at revision {revision}: {output:?}");
    output.status.code()
}

fn weight_and_revision(fleet: &Fleet, vm: u16) -> (u64, String) {
    let shown = [
        "workspace",
        "show",
        "--team",
        "raced",
        "--workspace",
        "raced",
        "--output",
        "json",
    ];
    let shown: serde_json::Value =
        serde_json::from_slice(&fleet.operate(vm, &shown).stdout).expect("JSON");
    let get = [
        "change",
        "get",
        "--subtree",
        "teams/raced",
        "--output",
        "json",
    ];
    let got: serde_json::Value =
        serde_json::from_slice(&fleet.operate(vm, &get).stdout).expect("JSON");
    (
        shown["weight"].as_u64().expect("a weight"),
        got["revision"].to_string(),
    )
}

/// Guards against two accepted changes on one revision, and against an accepted one that is not in
/// force everywhere or is replaced by the loser.
#[test]
fn one_of_two_concurrent_changes_wins_and_stays() {
    let fleet = Fleet::start();
    let mut revision = "0".to_owned();
    for round in 0..3 {
        let (a, b) = (10 + round, 20 + round);
        let codes = thread::scope(|scope| {
            let first = scope.spawn(|| put(&fleet, 0, a, &revision));
            let second = scope.spawn(|| put(&fleet, 3, b, &revision));
            [
                first.join().expect("a code"),
                second.join().expect("a code"),
            ]
        });
        let winner = match codes {
            [Some(0), Some(3)] => a,
            [Some(3), Some(0)] => b,
            other => panic!("exit codes {other:?}"),
        };
        for vm in 0..6 {
            let (weight, seen) = weight_and_revision(&fleet, vm);
            assert_eq!(weight, u64::from(winner), "at vm {vm}");
            revision = seen;
        }
    }
    fleet.check_all();
}

/// Guards against a stream that goes on at one of the vms after its key was withdrawn.
#[test]
fn withdrawn_key_ends_running_streams_at_every_vm() {
    let fleet = Fleet::start();
    let streams: Vec<_> = (0..6)
        .map(|vm| fleet.open_chat(vm, "withdrawn", 100_000))
        .collect();
    let withdrawn = Instant::now();
    let change = fleet.operate(
        2,
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
    assert!(change.status.success(), "{change:?}");
    let readers = streams.into_iter().map(|stream| {
        thread::spawn(move || {
            let answer = finish(stream);
            (answer, withdrawn.elapsed())
        })
    });
    for (vm, reader) in readers.collect::<Vec<_>>().into_iter().enumerate() {
        let (answer, time) = reader.join().expect("an answer");
        println!("vm {vm}: stream ended {time:?} after the withdrawal was sent");
        assert!(
            !answer.is_whole() && answer.says("key_withdrawn"),
            "vm {vm}: {}",
            answer.text.len()
        );
    }
    until(|| fleet.chat(5, "late", 1).says("key_withdrawn"));
    fleet.check_all();
}
