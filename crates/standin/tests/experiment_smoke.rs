//! The experiments, with one seed and a short run.

use std::process::Command;

fn run() -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_jujubebeam-standin"))
        .args([
            "experiment",
            "mix-shift",
            "--seeds",
            "3",
            "--output",
            "json",
            "--short",
        ])
        .output()
        .expect("the stand-in binary starts");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("JSON is UTF-8")
}

/// Guards against figures that depend on anything but the seed, such as the order of a hash map.
/// The command itself fails on a violation of an invariant.
#[test]
fn two_runs_give_the_same_figures() {
    let first = run();
    assert!(first.contains("\"policy\": \"jujubebeam\""), "{first}");
    assert_eq!(first, run());
}
