//! Documents that cannot be used leave the last good ones in force.

#[path = "../src/control/settings/documents.rs"]
mod documents;

use documents::Documents;
use jujubebeam_core::Revision;
use jujubebeam_core::settings::replica::Subtree;
use jujubebeam_core::settings::{KeyHash, Snapshot, workspace_id};

const FLEET: &str = "groups: [{name: g}]\nroutes: [{name: r, group: g}]\n";

fn apply(documents: &mut Documents, name: &str, revision: u64, text: Option<&str>) {
    documents.apply(Subtree {
        name: name.into(),
        revision: Revision(revision),
        text: text.map(str::to_owned),
    });
}

fn started() -> (Documents, Snapshot) {
    let mut documents = Documents::default();
    apply(&mut documents, "config/fleet", 1, Some(FLEET));
    apply(
        &mut documents,
        "config/teams/a",
        2,
        Some("workspaces: [{name: w}]"),
    );
    apply(
        &mut documents,
        "config/teams/b",
        3,
        Some("workspaces: [{name: w}]"),
    );
    let snapshot = documents.compile_if_changed().expect("a snapshot");
    (documents, snapshot)
}

/// Guards against a text that cannot be parsed and takes a team out of force.
#[test]
fn unparsable_text_leaves_the_last_good_document() {
    let (mut documents, snapshot) = started();
    assert_eq!(snapshot.workspaces.len(), 2);
    apply(&mut documents, "config/teams/a", 4, Some("workspaces: 7"));
    assert!(documents.compile_if_changed().is_none());
    apply(&mut documents, "config/teams/b", 5, Some("workspaces: []"));
    let snapshot = documents.compile_if_changed().expect("a snapshot");
    assert!(snapshot.workspaces.contains_key(&workspace_id("a", "w")));
    assert!(!snapshot.workspaces.contains_key(&workspace_id("b", "w")));
}

/// Guards against a wrong reference of one team that holds up the key change of another.
#[test]
fn wrong_reference_of_one_team_does_not_hold_up_another() {
    let (mut documents, _) = started();
    let wrong = "workspaces: [{name: w, routes: [missing]}, {name: x}]";
    apply(&mut documents, "config/teams/a", 4, Some(wrong));
    let hash = KeyHash::of_key("secret");
    let keyed = format!(
        "workspaces: [{{name: w, keys: [{{name: k, sha256: {}}}]}}]",
        hash.to_hex()
    );
    apply(&mut documents, "config/teams/b", 5, Some(&keyed));
    let snapshot = documents.compile_if_changed().expect("a snapshot");
    assert!(snapshot.keys.contains_key(&hash));
    assert!(snapshot.workspaces.contains_key(&workspace_id("a", "w")));
    assert!(!snapshot.workspaces.contains_key(&workspace_id("a", "x")));
}

/// Guards against threads that hand two revisions over in the wrong order.
#[test]
fn lower_revision_is_dropped() {
    let (mut documents, _) = started();
    apply(&mut documents, "config/teams/a", 6, Some("workspaces: []"));
    apply(
        &mut documents,
        "config/teams/a",
        5,
        Some("workspaces: [{name: old}]"),
    );
    let snapshot = documents.compile_if_changed().expect("a snapshot");
    assert!(!snapshot.workspaces.contains_key(&workspace_id("a", "old")));
}

/// Guards against a tombstone that leaves the workspaces of a deleted team in force.
#[test]
fn tombstone_takes_a_team_out_of_force() {
    let (mut documents, _) = started();
    apply(&mut documents, "config/teams/a", 9, None);
    let snapshot = documents.compile_if_changed().expect("a snapshot");
    assert_eq!(snapshot.workspaces.len(), 1);
}
