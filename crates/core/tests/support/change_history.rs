//! History of work and planned changes at targets, and its check.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::TargetId;

/// Something that happened at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Happened {
    /// A vm sent a request.
    Started(u64),
    /// A request was over, or its vm or target crashed.
    Over(u64),
    /// The target began to execute an order and is away.
    Ordered,
    /// The target serves again.
    Serves,
}

pub(crate) type History = Vec<(Duration, TargetId, Happened)>;

/// Requests that a planned change cut or met.
pub(crate) fn violations(history: &[(Duration, TargetId, Happened)]) -> Vec<String> {
    let mut found = Vec::new();
    let mut running: BTreeMap<TargetId, BTreeSet<u64>> = BTreeMap::new();
    let mut away: BTreeSet<TargetId> = BTreeSet::new();
    for (at, target, happened) in history {
        let here = running.entry(*target).or_default();
        match happened {
            Happened::Started(request) => {
                here.insert(*request);
                if away.contains(target) {
                    found.push(format!("sent to a changing target: {request} at {at:?}"));
                }
            }
            Happened::Over(request) => {
                here.remove(request);
            }
            Happened::Ordered => {
                away.insert(*target);
                if !here.is_empty() {
                    found.push(format!("cut by a change of {target}: {here:?} at {at:?}"));
                }
            }
            Happened::Serves => {
                away.remove(target);
            }
        }
    }
    found
}
