//! Messages about usage between vms, and the record of a frozen window.

use serde::{Deserialize, Serialize};

use super::log::{Counts, UsageRecord};
use crate::WorkspaceId;
use crate::authority::Holder;

/// Position of a log up to which its records are in frozen windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncludedPosition {
    /// Run that served.
    pub holder: Holder,
    /// First position that no window contains.
    pub position: u64,
    /// Last window that contains records of this log.
    pub window: u64,
}

/// Part of a log to be included in a window.
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
    /// Records of a log for replication.
    Copy {
        /// Run that served.
        holder: Holder,
        /// First position that the sender still has.
        base: u64,
        /// Position of the first record.
        from: u64,
        /// The records.
        records: Vec<UsageRecord>,
    },
    /// Answer to `Copy`: the positions before `end` are stored.
    Kept {
        /// Run that served.
        holder: Holder,
        /// Position after the last stored record.
        end: u64,
    },
    /// Requests the records to be included in a window.
    Collect {
        /// The window.
        window: u64,
        /// Positions that earlier windows contain.
        included: Vec<IncludedPosition>,
    },
    /// Answer to `Collect`.
    Collected {
        /// The window.
        window: u64,
        /// Logs that the vm stores, including its own.
        logs: Vec<CollectedLog>,
    },
}

/// Figures of a window. They never change once they are in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrozenWindow {
    /// The window.
    pub window: u64,
    /// Usage by workspace name, sorted by name. The names are frozen as well, so that reports do
    /// not depend on the settings of the reporting vm.
    pub workspaces: Vec<(String, Counts)>,
    /// Positions that this and all earlier windows contain.
    pub included: Vec<IncludedPosition>,
}

impl FrozenWindow {
    /// Encodes the record. MessagePack keeps 10,000 workspaces well below the store's 1 MB.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization of plain data to memory does not fail.
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
