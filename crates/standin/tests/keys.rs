//! Withdrawal of a key under traffic.

mod support;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use jujubebeam_core::settings::KeyHash;
use support::{Fleet, KEY, finish, send, until};

/// Guards against a withdrawn key that a vm goes on accepting, and against a vm that accepts it
/// again after it was refused.
#[test]
fn withdrawn_key_stops_working_at_every_vm() {
    let fleet = Fleet::start();
    let hash = KeyHash::of_key(KEY).to_hex();
    let team = format!(
        "workspaces:\n  - name: kits-north\n    keys:\n      \
         - {{name: first, sha256: {hash}, state: withdrawn}}\n"
    );
    let (key, value) = (STANDARD.encode("config/teams/north"), STANDARD.encode(team));
    let put = format!(r#"{{"success":[{{"request_put":{{"key":"{key}","value":"{value}"}}}}]}}"#);
    let written = finish(send(fleet.platform(), "POST", "/v3/kv/txn", "", &put));
    assert_eq!(written.status, 200, "{written:?}");
    for vm in 0..6 {
        until(|| fleet.chat(vm, "late", 1).status == 401);
    }
    for vm in 0..6 {
        let answer = fleet.chat(vm, "later", 1);
        assert!(answer.text.contains("key_withdrawn"), "{answer:?}");
    }
}
