//! Vms that are cut off from each other, from the store or from both.

mod support;

use std::time::Instant;

use support::{Fleet, finish, until};

/// Guards against a vm that serves keyed requests with settings that nobody confirms, and against
/// keyed streams that outlive them.
#[test]
fn vm_cut_off_from_store_and_peers_stops_keyed_work() {
    let fleet = Fleet::with(&["--relays"]);
    let running = fleet.open_chat(0, "cut off", 2000);
    let cut = Instant::now();
    fleet.set_fault(fleet.relay(), r#"{"platform":[1],"isolated":[1]}"#);
    until(|| fleet.chat(0, "alone", 1).says("settings_stale"));
    println!("settings_stale after {:?}", cut.elapsed());
    let refused = fleet.chat(0, "alone", 1);
    assert!(refused.says_not_run(), "{refused:?}");
    let running = finish(running);
    println!("running stream ended after {:?}", cut.elapsed());
    assert!(
        !running.is_whole() && running.says("settings_stale"),
        "{running:?}"
    );
    for vm in 1..6 {
        assert!(fleet.chat(vm, "majority", 2).is_whole());
    }
    // A change through the vm without store contact is refused, and nothing of it appears later.
    let change = fleet.operate(
        0,
        &[
            "workspace",
            "create",
            "--team",
            "lost",
            "--workspace",
            "lost",
        ],
    );
    assert!(!change.status.success(), "{change:?}");
    fleet.clear_faults(fleet.relay());
    println!(
        "served again {:?} after the cut was healed",
        fleet.until_whole(0)
    );
    assert!(
        fleet
            .stored("config/teams/")
            .iter()
            .all(|(key, _)| !key.ends_with("lost"))
    );
    fleet.check_all();
}

/// Guards against a vm that stops serving because it alone has lost the store.
#[test]
fn vm_cut_off_from_the_store_goes_on() {
    let fleet = Fleet::with(&["--relays"]);
    let running = fleet.open_chat(1, "without store", 600);
    fleet.set_fault(fleet.relay(), r#"{"platform":[2]}"#);
    let running = finish(running);
    assert!(running.is_whole(), "{running:?}");
    assert!(fleet.chat(1, "still", 3).is_whole());
    let change = fleet.operate(
        1,
        &[
            "workspace",
            "create",
            "--team",
            "lost",
            "--workspace",
            "lost",
        ],
    );
    assert!(!change.status.success(), "{change:?}");
    // A change through another vm reaches it from its peers.
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
    until(|| fleet.chat(1, "withdrawn", 1).says("key_withdrawn"));
    fleet.check_all();
}

/// Guards against two halves that both stop, or that apply different settings, when a pair of vms
/// cannot reach each other.
#[test]
fn vms_apart_from_each_other_serve_the_same_settings() {
    let fleet = Fleet::with(&["--relays"]);
    fleet.set_fault(fleet.relay(), r#"{"pairs":[[1,2],[1,3],[2,3]]}"#);
    let change = fleet.operate(
        0,
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
    for vm in 0..6 {
        until(|| fleet.chat(vm, "late", 1).says("key_withdrawn"));
    }
    fleet.clear_faults(fleet.relay());
    fleet.check_all();
}
