//! History of the requests and planned changes of targets, and its check.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubebeam_core::TargetId;

/// Event at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetEvent {
    /// A vm sent a request.
    RequestStarted(u64),
    /// A request ended, or its vm or target crashed.
    RequestEnded(u64),
    /// The target began to execute an order and is unavailable.
    OrderStarted,
    /// The target serves again.
    ServingAgain,
}

pub(crate) type History = Vec<(Duration, TargetId, TargetEvent)>;

/// Returns the requests that were cut by a planned change or sent to a changing target.
pub(crate) fn violations(history: &[(Duration, TargetId, TargetEvent)]) -> Vec<String> {
    let mut found = Vec::new();
    let mut running: BTreeMap<TargetId, BTreeSet<u64>> = BTreeMap::new();
    let mut unavailable: BTreeSet<TargetId> = BTreeSet::new();
    for (at, target, event) in history {
        let running_here = running.entry(*target).or_default();
        match event {
            TargetEvent::RequestStarted(request) => {
                running_here.insert(*request);
                if unavailable.contains(target) {
                    found.push(format!("sent to a changing target: {request} at {at:?}"));
                }
            }
            TargetEvent::RequestEnded(request) => {
                running_here.remove(request);
            }
            TargetEvent::OrderStarted => {
                unavailable.insert(*target);
                if !running_here.is_empty() {
                    found.push(format!(
                        "cut by a change of {target}: {running_here:?} at {at:?}"
                    ));
                }
            }
            TargetEvent::ServingAgain => {
                unavailable.remove(target);
            }
        }
    }
    found
}
