//! Runs of targets that have announced that they are leaving.
//!
//! A target announces in its answers that it is leaving, before its entry in the store shows it or
//! without such a change. The announcement is valid for one run: a restart with the same id and
//! address is another run. It is kept after the entry has expired, because the same entry may
//! reappear.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::catalog::CatalogTarget;

/// Maximum number of recorded runs. A fleet of 1,400 targets replaces 470 on an ordinary day.
const MAX_RUNS: usize = 1024;

/// Identity of one run of a target in messages between vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// Id of the target.
    pub id: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Start of the run in milliseconds since 1970, or 0 if unknown.
    pub born_ms: u64,
}

impl TargetRun {
    /// The run that an entry describes.
    pub fn of(target: &CatalogTarget) -> Self {
        Self {
            id: target.id.clone(),
            address: target.address.clone(),
            born_ms: target.born_ms,
        }
    }

    /// Whether an entry describes this run.
    pub fn is_run_of(&self, target: &CatalogTarget) -> bool {
        self.born_ms == target.born_ms && self.id == target.id && self.address == target.address
    }
}

/// Leaving runs, oldest announcement first.
#[derive(Debug, Default)]
pub(super) struct LeavingRuns(VecDeque<TargetRun>);

impl LeavingRuns {
    /// Records a run. Returns false if it is already recorded.
    pub(super) fn insert(&mut self, run: TargetRun) -> bool {
        if self.0.contains(&run) {
            return false;
        }
        if self.0.len() == MAX_RUNS {
            self.0.pop_front();
        }
        self.0.push_back(run);
        true
    }

    pub(super) fn contains(&self, target: &CatalogTarget) -> bool {
        self.0.iter().any(|run| run.is_run_of(target))
    }
}
