//! Semantic checks of settings documents.

use std::collections::HashMap;
use std::net::SocketAddr;

use jujubebeam_core::settings::KeyHash;
use jujubebeam_core::settings::document::{
    ClassDocument, FleetDocument, GroupDocument, KeyDocument, RouteDocument, TargetDocument,
    TargetKind, TeamDocument, WorkspaceDocument,
};

use crate::{Checked, Finding, Tree, parse_checked};

/// Parses and checks the fleet subtree. All findings of the check are returned together.
pub fn check_fleet(text: &str) -> Result<FleetDocument, Vec<Finding>> {
    let Checked { document, tree } = parse_checked(text, &sample_fleet())?;
    let mut findings = Findings::new(&tree);
    check_zones(&document, &mut findings);
    check_groups(&document, &mut findings);
    check_classes(&document, &mut findings);
    check_routes(&document, &mut findings);
    check_policy(&document, &mut findings);
    findings.finish(document)
}

/// Parses and checks the subtree of a team. References are checked if the fleet is given.
pub fn check_team(text: &str, fleet: Option<&FleetDocument>) -> Result<TeamDocument, Vec<Finding>> {
    let Checked { document, tree } = parse_checked(text, &sample_team())?;
    let mut findings = Findings::new(&tree);
    check_workspaces(&document, fleet, &mut findings);
    check_keys(&document, &mut findings);
    findings.finish(document)
}

struct Findings<'a> {
    tree: &'a Tree,
    found: Vec<Finding>,
}

impl<'a> Findings<'a> {
    fn new(tree: &'a Tree) -> Self {
        Self {
            tree,
            found: Vec::new(),
        }
    }

    fn add(&mut self, path: String, problem: impl Into<String>, remedy: impl Into<String>) {
        let line = self.tree.line(&path);
        self.found.push(Finding::new(line, path, problem, remedy));
    }

    /// Reports every name that is empty or occurs more than once.
    fn names<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n str>) {
        let mut first: HashMap<&str, usize> = HashMap::new();
        for (index, name) in names.enumerate() {
            let path = format!("{list}[{index}].name");
            if name.is_empty() {
                self.add(path, "the name is missing", "give it a name");
                continue;
            }
            if let Some(earlier) = first.insert(name, index) {
                let problem = format!("{name:?} is also the name of {list}[{earlier}]");
                self.add(path, problem, "rename one of the two");
            }
        }
    }

    fn finish<T>(self, document: T) -> Result<T, Vec<Finding>> {
        if self.found.is_empty() {
            return Ok(document);
        }
        Err(self.found)
    }
}

fn check_zones(fleet: &FleetDocument, findings: &mut Findings<'_>) {
    if fleet.zones.is_empty() {
        findings.add("zones".into(), "no zone is named", "list at least one zone");
    }
    for (index, zone) in fleet.zones.iter().enumerate() {
        if fleet.zones[..index].contains(zone) {
            findings.add(
                format!("zones[{index}]"),
                format!("zone {zone:?} is listed twice"),
                "remove one of the two",
            );
        }
    }
}

fn check_groups(fleet: &FleetDocument, findings: &mut Findings<'_>) {
    findings.names("groups", fleet.groups.iter().map(|g| g.name.as_str()));
    let mut targets: HashMap<&str, String> = HashMap::new();
    for (g, group) in fleet.groups.iter().enumerate() {
        check_group_size(g, group, findings);
        for (t, target) in group.targets.iter().enumerate() {
            let path = format!("groups[{g}].targets[{t}]");
            if let Some(earlier) = targets.insert(&target.name, path.clone()) {
                findings.add(
                    format!("{path}.name"),
                    format!("{:?} is also the name of {earlier}", target.name),
                    "rename one of the two",
                );
            }
            check_target(fleet, target, &path, findings);
        }
    }
}

fn check_group_size(index: usize, group: &GroupDocument, findings: &mut Findings<'_>) {
    if group.max_targets != 0 && group.max_targets < group.min_targets {
        findings.add(
            format!("groups[{index}].max_targets"),
            format!("{} is less than `min_targets`", group.max_targets),
            "raise it, or set it to 0 for no upper bound",
        );
    }
}

fn check_target(
    fleet: &FleetDocument,
    target: &TargetDocument,
    path: &str,
    findings: &mut Findings<'_>,
) {
    if !fleet.zones.contains(&target.zone) {
        findings.add(
            format!("{path}.zone"),
            format!(
                "zone {:?} cannot be reached: it is not in `zones`",
                target.zone
            ),
            "add the zone to `zones`, or correct the name",
        );
    }
    if target.address.parse::<SocketAddr>().is_err() {
        findings.add(
            format!("{path}.address"),
            format!("{:?} is not an address", target.address),
            "write an IP address and a port, such as 10.0.0.7:8000",
        );
    }
    let class_exists = fleet
        .ordering
        .classes
        .iter()
        .any(|c| c.name == target.class);
    if !target.class.is_empty() && !class_exists {
        findings.add(
            format!("{path}.class"),
            format!("class {:?} does not exist", target.class),
            "add it to `ordering.classes`, or correct the name",
        );
    }
}

fn check_classes(fleet: &FleetDocument, findings: &mut Findings<'_>) {
    let names = fleet.ordering.classes.iter().map(|c| c.name.as_str());
    findings.names("ordering.classes", names);
}

fn check_routes(fleet: &FleetDocument, findings: &mut Findings<'_>) {
    findings.names("routes", fleet.routes.iter().map(|r| r.name.as_str()));
    for (index, route) in fleet.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        if !route.path_prefix.starts_with('/') {
            findings.add(
                format!("{path}.path_prefix"),
                format!("{:?} does not start with `/`", route.path_prefix),
                "write a path such as /checkout",
            );
        }
        check_route_group(fleet, route, &path, findings);
        check_route_overlap(fleet, index, &path, findings);
    }
}

fn check_route_group(
    fleet: &FleetDocument,
    route: &RouteDocument,
    path: &str,
    findings: &mut Findings<'_>,
) {
    let Some(group) = fleet.groups.iter().find(|g| g.name == route.group) else {
        findings.add(
            format!("{path}.group"),
            format!("group {:?} does not exist", route.group),
            "add it to `groups`, or correct the name",
        );
        return;
    };
    if group.kind != route.kind {
        findings.add(
            format!("{path}.kind"),
            format!(
                "the route is for kind {}, its group for {}",
                route.kind, group.kind
            ),
            "use the same kind for both",
        );
    }
    if route.kind == TargetKind::Engine && route.models.is_empty() {
        findings.add(
            format!("{path}.models"),
            "a route of engines names no model",
            "list the models that it serves",
        );
    }
}

/// Reports a route that overlaps with an earlier one. Two routes may share a prefix only if both
/// serve engines and have no model in common.
fn check_route_overlap(
    fleet: &FleetDocument,
    index: usize,
    path: &str,
    findings: &mut Findings<'_>,
) {
    let route = &fleet.routes[index];
    let clash = fleet.routes[..index].iter().find(|earlier| {
        earlier.path_prefix == route.path_prefix
            && (route.kind == TargetKind::Service
                || earlier.kind == TargetKind::Service
                || earlier.models.iter().any(|m| route.models.contains(m)))
    });
    if let Some(earlier) = clash {
        findings.add(
            format!("{path}.path_prefix"),
            format!("route {:?} takes the same requests", earlier.name),
            "use another prefix, or other models",
        );
    }
}

fn check_policy(fleet: &FleetDocument, findings: &mut Findings<'_>) {
    let policy = &fleet.policy;
    let percents = [
        ("zone_loss_share_percent", policy.zone_loss_share_percent),
        (
            "low_priority_share_percent",
            policy.low_priority_share_percent,
        ),
        ("retry_budget_percent", policy.retry_budget_percent),
    ];
    for (name, value) in percents {
        if value > 100 {
            findings.add(
                format!("policy.{name}"),
                format!("{value} is more than 100 percent"),
                "use a value from 0 to 100",
            );
        }
    }
}

fn check_workspaces(
    team: &TeamDocument,
    fleet: Option<&FleetDocument>,
    findings: &mut Findings<'_>,
) {
    findings.names(
        "workspaces",
        team.workspaces.iter().map(|w| w.name.as_str()),
    );
    for (index, workspace) in team.workspaces.iter().enumerate() {
        let path = format!("workspaces[{index}]");
        if workspace.weight == 0 {
            findings.add(
                format!("{path}.weight"),
                "a weight of 0 would give the workspace no share",
                "use 1 or more; to block the workspace, withdraw its keys",
            );
        }
        if workspace.spending.buy_capacity && workspace.spending.capacity_cents_per_hour == 0 {
            findings.add(
                format!("{path}.spending.capacity_cents_per_hour"),
                "capacity may be bought but nothing may be spent",
                "set the most that it may cost, or set `buy_capacity: false`",
            );
        }
        if let Some(fleet) = fleet {
            check_references(fleet, workspace, &path, findings);
        }
    }
}

fn check_references(
    fleet: &FleetDocument,
    workspace: &WorkspaceDocument,
    path: &str,
    findings: &mut Findings<'_>,
) {
    for (index, route) in workspace.routes.iter().enumerate() {
        if !fleet.routes.iter().any(|r| r.name == *route) {
            findings.add(
                format!("{path}.routes[{index}]"),
                format!("route {route:?} does not exist"),
                "correct the name, or add the route to the fleet first",
            );
        }
    }
    for (index, model) in workspace.models.iter().enumerate() {
        if !fleet.routes.iter().any(|r| r.models.contains(model)) {
            findings.add(
                format!("{path}.models[{index}]"),
                format!("no route serves model {model:?}"),
                "correct the name, or add the model to a route first",
            );
        }
    }
}

fn check_keys(team: &TeamDocument, findings: &mut Findings<'_>) {
    let mut hashes: HashMap<&str, String> = HashMap::new();
    for (w, workspace) in team.workspaces.iter().enumerate() {
        let list = format!("workspaces[{w}].keys");
        findings.names(&list, workspace.keys.iter().map(|k| k.name.as_str()));
        for (k, key) in workspace.keys.iter().enumerate() {
            let path = format!("{list}[{k}].sha256");
            if KeyHash::parse(&key.sha256).is_none() {
                findings.add(
                    path,
                    "this is not a SHA-256 of 64 hexadecimal digits",
                    "create the key with `jujubebeam key create`; never write a key itself here",
                );
                continue;
            }
            if let Some(earlier) = hashes.insert(&key.sha256, path.clone()) {
                let problem = format!("the same key is already in {earlier}");
                findings.add(path, problem, "create another key");
            }
        }
    }
}

fn sample_fleet() -> FleetDocument {
    FleetDocument {
        zones: vec![String::new()],
        routes: vec![RouteDocument::default()],
        groups: vec![GroupDocument {
            targets: vec![TargetDocument::default()],
            ..GroupDocument::default()
        }],
        ordering: jujubebeam_core::settings::document::OrderingDocument {
            classes: vec![ClassDocument::default()],
            ..Default::default()
        },
        ..FleetDocument::default()
    }
}

fn sample_team() -> TeamDocument {
    TeamDocument {
        workspaces: vec![WorkspaceDocument {
            keys: vec![KeyDocument::default()],
            ..WorkspaceDocument::default()
        }],
    }
}
