//! The whole path over real sockets through separate processes.

mod support;

use std::process::Command;

/// Guards against a path that works in parts but not from end to end: address list, key check,
/// engine stream and checkout through six vms.
#[test]
fn up_once_serves_a_stream_and_a_checkout() {
    let base = support::free_port().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_jujubebeam-standin"))
        .args(["up", "--once", "--base-port", &base])
        .output()
        .expect("the stand-in binary starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(stdout.contains("data: [DONE]"), "{stdout}");
    assert!(stdout.contains("\"execution\":1"), "{stdout}");
}
