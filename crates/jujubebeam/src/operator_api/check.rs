//! Checks a change before it is written.

use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::settings::document::{FleetDocument, TeamDocument};
use jujubebeam_core::settings::replica::Replica;
use jujubebeam_operator::{
    FLEET_KEY, Finding, SETTINGS_PREFIX, TEAMS_PREFIX, check_fleet, check_team, parse_fleet,
    parse_team,
};

/// Store key of a subtree, or `None` if the name belongs to no kind of settings.
pub(super) fn store_key(name: &str) -> Option<String> {
    let key = format!("{SETTINGS_PREFIX}{name}");
    let team = key.strip_prefix(TEAMS_PREFIX).unwrap_or_default();
    let is_team = !team.is_empty() && !team.contains('/');
    (key == FLEET_KEY || is_team).then_some(key)
}

/// Lists the faults of a new text, on its own and together with all other subtrees.
pub(super) fn findings(replica: &Replica, key: &str, text: &str) -> Vec<Finding> {
    let mut fleet = present_fleet(replica);
    let mut teams = present_teams(replica);
    if key == FLEET_KEY {
        match check_fleet(text) {
            Ok(document) => fleet = document,
            Err(findings) => return findings,
        }
    } else {
        let team = key.strip_prefix(TEAMS_PREFIX).unwrap_or_default();
        match check_team(text, Some(&fleet)) {
            Ok(document) => {
                teams.retain(|(name, _)| name != team);
                teams.push((team.to_owned(), document));
            }
            Err(findings) => return findings,
        }
    }
    match Snapshot::compile(&fleet, &teams) {
        Ok(_) => Vec::new(),
        Err(error) => vec![Finding::new(
            1,
            key,
            error.to_string(),
            "change the other subtree first, or correct this one",
        )],
    }
}

fn present_fleet(replica: &Replica) -> FleetDocument {
    let text = replica.subtree(FLEET_KEY).and_then(|s| s.text);
    text.and_then(|t| parse_fleet(&t).ok()).unwrap_or_default()
}

fn present_teams(replica: &Replica) -> Vec<(String, TeamDocument)> {
    let names = replica.names();
    names
        .iter()
        .filter_map(|key| {
            let team = key.strip_prefix(TEAMS_PREFIX)?;
            let text = replica.subtree(key)?.text?;
            Some((team.to_owned(), parse_team(&text).ok()?))
        })
        .collect()
}
