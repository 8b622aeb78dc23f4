//! The documents behind the snapshot in force.

use std::collections::BTreeMap;

use jujubebeam_core::Revision;
use jujubebeam_core::invariant::{self, Invariant};
use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::settings::document::{FleetDocument, TeamDocument};
use jujubebeam_core::settings::replica::Subtree;
use jujubebeam_operator::{FLEET_KEY, TEAMS_PREFIX, parse_fleet, parse_team};

#[derive(Clone, Debug, PartialEq)]
enum Document {
    Fleet(Box<FleetDocument>),
    Team(String, TeamDocument),
    Deleted,
}

#[derive(Debug)]
struct Slot {
    revision: Revision,
    /// Last document that compiled together with the others.
    good: Option<Document>,
    /// Newer document that was not compiled yet.
    candidate: Option<Document>,
}

/// Documents of all subtrees with the last good version of each.
#[derive(Debug, Default)]
pub(super) struct Documents {
    slots: BTreeMap<String, Slot>,
    changed: bool,
}

impl Documents {
    /// Takes over a subtree. Threads may hand subtrees over in another order than the replica
    /// applied them, so a lower revision is dropped.
    pub(super) fn apply(&mut self, subtree: Subtree) {
        let slot = self.slots.entry(subtree.name.clone()).or_insert(Slot {
            revision: Revision(0),
            good: None,
            candidate: None,
        });
        if subtree.revision <= slot.revision {
            return;
        }
        invariant::check(
            Invariant::SettingsNeverRevert,
            subtree.revision > slot.revision,
            || format!("{} is older than {}", subtree.name, slot.revision),
        );
        slot.revision = subtree.revision;
        match parse(&subtree) {
            Ok(document) => {
                slot.candidate = Some(document);
                self.changed = true;
                let (name, revision) = (subtree.name, subtree.revision);
                log::info!("settings: {name} arrived at revision {revision}");
            }
            Err(reason) => log::error!(
                "settings: {} at revision {} not applied, the last good document stays: {reason}",
                subtree.name,
                subtree.revision
            ),
        }
    }

    /// Compiles all documents if one has changed. Documents that do not fit the others are left
    /// out one by one, so that a fault of one team does not hold up the changes of another.
    pub(super) fn compile_if_changed(&mut self) -> Option<Snapshot> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let waiting = self.waiting();
        if let Ok(snapshot) = self.compile(&waiting) {
            self.accept(&waiting);
            return Some(snapshot);
        }
        let mut accepted = Vec::new();
        let mut result = None;
        for name in waiting {
            accepted.push(name.clone());
            match self.compile(&accepted) {
                Ok(snapshot) => result = Some(snapshot),
                Err(reason) => {
                    log::error!("settings: {name} not in force: {reason}");
                    accepted.pop();
                }
            }
        }
        self.accept(&accepted);
        result
    }

    fn waiting(&self) -> Vec<String> {
        let waiting = self.slots.iter().filter(|(_, s)| s.candidate.is_some());
        waiting.map(|(name, _)| name.clone()).collect()
    }

    fn accept(&mut self, names: &[String]) {
        for name in names {
            if let Some(slot) = self.slots.get_mut(name) {
                slot.good = slot.candidate.take();
            }
        }
    }

    /// Compiles the candidates of the named subtrees and the good documents of the others.
    fn compile(&self, names: &[String]) -> Result<Snapshot, String> {
        let mut fleet = FleetDocument::default();
        let mut teams = Vec::new();
        for (name, slot) in &self.slots {
            let document = if names.contains(name) {
                &slot.candidate
            } else {
                &slot.good
            };
            match document {
                Some(Document::Fleet(document)) => fleet = (**document).clone(),
                Some(Document::Team(team, document)) => {
                    teams.push((team.clone(), document.clone()));
                }
                Some(Document::Deleted) | None => {}
            }
        }
        Snapshot::compile(&fleet, &teams).map_err(|e| e.to_string())
    }
}

fn parse(subtree: &Subtree) -> Result<Document, String> {
    let Some(text) = &subtree.text else {
        return Ok(Document::Deleted);
    };
    if subtree.name == FLEET_KEY {
        let fleet = parse_fleet(text).map_err(|e| e.to_string())?;
        return Ok(Document::Fleet(Box::new(fleet)));
    }
    let Some(team) = subtree.name.strip_prefix(TEAMS_PREFIX) else {
        return Err("the name belongs to no kind of settings".into());
    };
    let document = parse_team(text).map_err(|e| e.to_string())?;
    Ok(Document::Team(team.to_owned(), document))
}
