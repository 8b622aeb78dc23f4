//! Reads the settings from the store and puts them in force.

use jujubebeam_core::settings::Snapshot;
use jujubebeam_core::store::{Entry, StoreOp, StoreReply};
use jujubebeam_operator::{FLEET_KEY, SETTINGS_PREFIX, TEAMS_PREFIX, parse_fleet, parse_team};
use ntex::time::{Millis, sleep};

use crate::context::Context;

const READ_INTERVAL: Millis = Millis(500);

/// Starts reading.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            read(&context).await;
            sleep(READ_INTERVAL).await;
        }
    });
}

async fn read(context: &Context) {
    let list = StoreOp::List {
        prefix: SETTINGS_PREFIX.into(),
    };
    let StoreReply::Values { entries, .. } = context.store.perform(list).await else {
        log::warn!("settings: the store did not answer");
        return;
    };
    if entries.is_empty() {
        return;
    }
    match compile(&entries) {
        Ok(snapshot) => context.shared.set_snapshot(snapshot),
        Err(reason) => log::error!("settings: not applied: {reason}"),
    }
}

fn compile(entries: &[Entry]) -> Result<Snapshot, String> {
    let mut fleet = Default::default();
    let mut teams = Vec::new();
    for entry in entries {
        let text = String::from_utf8_lossy(&entry.value);
        if entry.key == FLEET_KEY {
            fleet = parse_fleet(&text).map_err(|e| e.to_string())?;
        } else if let Some(team) = entry.key.strip_prefix(TEAMS_PREFIX) {
            let document = parse_team(&text).map_err(|e| e.to_string())?;
            teams.push((team.to_owned(), document));
        }
    }
    Snapshot::compile(&fleet, &teams).map_err(|e| e.to_string())
}
