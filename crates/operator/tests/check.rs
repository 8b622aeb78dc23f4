//! Checks of settings documents: every fault is reported with line, field and remedy.

use jujubebeam_core::settings::document::Priority;
use jujubebeam_operator::edit::{Edit, EditError, apply};
use jujubebeam_operator::{Finding, check_fleet, check_team};

const FLEET: &str = "\
zones: [brest, quimper]
routes:
  - name: advice
    kind: engine
    path_prefix: /v1/chat/completions
    models: [darn-7b]
    group: advice
groups:
  - name: advice
    kind: engine
    targets:
      - {name: advice-1, address: \"10.0.0.7:8000\", zone: brest}
";

fn only(findings: Vec<Finding>) -> Finding {
    assert_eq!(findings.len(), 1, "{findings:?}");
    findings.into_iter().next().expect("one finding")
}

fn fleet_fault(from: &str, to: &str) -> Finding {
    assert!(FLEET.contains(from), "{from}");
    only(check_fleet(&FLEET.replacen(from, to, 1)).expect_err("the fault is found"))
}

/// Guards against refusing a document without faults.
#[test]
fn accepts_a_sound_fleet() {
    check_fleet(FLEET).expect("no findings");
}

/// Guards against a misspelt field that is silently ignored.
#[test]
fn reports_an_unknown_field_with_a_suggestion() {
    let finding = fleet_fault("    group: advice", "    gruop: advice");
    assert_eq!(finding.line, 7);
    assert_eq!(finding.field, "routes[0].gruop");
    assert!(finding.remedy.contains("`group`"), "{finding}");
}

/// Guards against a value that is read in another unit than the operator meant.
#[test]
fn reports_a_wrong_unit() {
    let finding = fleet_fault(
        "    group: advice\n",
        "    group: advice\n    longest_wait_s: 30\n",
    );
    assert_eq!(finding.line, 8);
    assert!(finding.problem.contains("wrong unit"), "{finding}");
    assert!(finding.remedy.contains("`longest_wait_ms`"), "{finding}");
    assert!(finding.remedy.contains("milliseconds"), "{finding}");
}

/// Guards against a unit that is written into the value.
#[test]
fn reports_a_unit_in_a_value() {
    let finding = fleet_fault(
        "    group: advice\n",
        "    group: advice\n    longest_wait_ms: 30s\n",
    );
    assert_eq!(finding.line, 8);
    assert_eq!(finding.field, "routes[0].longest_wait_ms");
    assert!(finding.remedy.contains("number"), "{finding}");
}

/// Guards against two targets that share a name, of which one would be lost.
#[test]
fn reports_a_duplicate_target() {
    let line = "      - {name: advice-1, address: \"10.0.0.7:8000\", zone: brest}\n";
    let finding = fleet_fault(line, &format!("{line}{line}"));
    assert_eq!(finding.line, 13);
    assert_eq!(finding.field, "groups[0].targets[1].name");
}

/// Guards against a field that is set twice, of which the parser would keep one.
#[test]
fn reports_a_duplicate_field() {
    let finding = fleet_fault(
        "    kind: engine\n    path",
        "    kind: engine\n    kind: service\n    path",
    );
    assert_eq!(finding.line, 5);
    assert!(finding.problem.contains("line 4"), "{finding}");
}

/// Guards against a target in a zone that no vm can reach.
#[test]
fn reports_an_unreachable_zone() {
    let finding = fleet_fault("zone: brest", "zone: brset");
    assert_eq!(finding.line, 12);
    assert_eq!(finding.field, "groups[0].targets[0].zone");
    assert!(finding.problem.contains("cannot be reached"), "{finding}");
}

/// Guards against reporting only the first of several faults.
#[test]
fn reports_all_faults_together() {
    let text = FLEET
        .replace("zone: brest", "zone: brset")
        .replace("group: advice", "group: other");
    let findings = check_fleet(&text).expect_err("two faults");
    assert_eq!(findings.len(), 2, "{findings:?}");
}

/// Guards against a plain key in the settings, which would then be readable by every operator.
#[test]
fn refuses_a_key_that_is_not_a_hash() {
    let text = "workspaces:\n  - name: kits\n    keys:\n      - {name: k, sha256: secret}\n";
    let finding = only(check_team(text, None).expect_err("the fault is found"));
    assert_eq!(finding.line, 4);
    assert!(!finding.to_string().contains("secret"), "{finding}");
}

/// Guards against a workspace that refers to a route of another fleet.
#[test]
fn checks_references_against_the_fleet() {
    let fleet = check_fleet(FLEET).expect("no findings");
    let text = "workspaces:\n  - name: kits\n    routes: [advise]\n";
    let finding = only(check_team(text, Some(&fleet)).expect_err("the fault is found"));
    assert_eq!(finding.field, "workspaces[0].routes[0]");
}

/// Guards against an edit that overwrites a workspace of the same name.
#[test]
fn creating_a_workspace_twice_is_refused() {
    let create = || Edit::CreateWorkspace {
        workspace: "kits".into(),
        priority: Priority::Normal,
        weight: 1,
    };
    let mut team = Default::default();
    apply(&mut team, create()).expect("the first one is created");
    assert_eq!(
        apply(&mut team, create()),
        Err(EditError::WorkspaceExists("kits".into()))
    );
}
