//! Messages between vms, and the record of a frozen window.

use serde::{Deserialize, Serialize};

use super::log::{Counts, UsageRecord};
use crate::WorkspaceId;
use crate::authority::Holder;

/// How much of a log is in frozen windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedPosition {
    /// Run that served.
    pub holder: Holder,
    /// First position that no window contains.
    pub position: u64,
    /// Last window that contained something of this log.
    pub window: u64,
}

/// Part of a log that a window should contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CollectedLog {
    /// Run that served.
    pub holder: Holder,
    /// First position.
    pub from: u64,
    /// Position after the last one.
    pub to: u64,
    /// Sums of these positions.
    pub sums: Vec<(WorkspaceId, Counts)>,
}

/// A message about usage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UsageMessage {
    /// Records of a log, for safekeeping.
    Copy {
        /// Run that served.
        holder: Holder,
        /// First position that the sender keeps.
        base: u64,
        /// Position of the first record.
        from: u64,
        /// The records.
        records: Vec<UsageRecord>,
    },
    /// Answer to `Copy`: the positions before `end` are kept.
    Kept {
        /// Run that served.
        holder: Holder,
        /// Position after the last kept record.
        end: u64,
    },
    /// Asks for what a window should contain.
    Collect {
        /// The window.
        window: u64,
        /// What earlier windows contain.
        included: Vec<IncludedPosition>,
    },
    /// Answer to `Collect`.
    Collected {
        /// The window.
        window: u64,
        /// Logs that the vm keeps, its own among them.
        logs: Vec<CollectedLog>,
    },
}

/// Figures of a window. They never change once they are in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrozenWindow {
    /// The window.
    pub window: u64,
    /// Usage by name of the workspace, sorted by name. The names are frozen too, so that reports
    /// do not depend on the settings of the reporter.
    pub workspaces: Vec<(String, Counts)>,
    /// What this and all earlier windows contain.
    pub included: Vec<IncludedPosition>,
}

impl FrozenWindow {
    /// Encodes the record. MessagePack keeps 10,000 workspaces well below the store's 1 MB.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization of plain data into memory does not fail.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a value of the store.
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

/// Key of a frozen window in the store.
pub fn frozen_window_key(window: u64) -> String {
    format!("usage/{window}")
}
