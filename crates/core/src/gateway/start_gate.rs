//! When a vm that has just started may serve from copies that other vms gave it.
//!
//! While the store is away, a starting vm learns settings and targets from other vms, and one of these
//! may be behind: its copy may still hold a key that was withdrawn or a target that has left, and the
//! vm knew better before it restarted. Copies only move forward, so the newest of a few is taken.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::VmId;

/// Other vms to compare with. A third of all may be turned away by the store and be behind.
const COMPARED_VMS: usize = 3;

/// Time after the first copy in which the others must answer. Asking takes some milliseconds.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Opens once the copies of this vm are as new as can be known.
#[derive(Debug, Default)]
pub struct StartGate {
    is_open: bool,
    settings_read: bool,
    targets_read: bool,
    first_copy_at: Option<Duration>,
    compared: BTreeSet<VmId>,
}

impl StartGate {
    /// The settings are from the store itself.
    pub fn mark_settings_read(&mut self) {
        self.settings_read = true;
        self.is_open |= self.targets_read;
    }

    /// The targets are from the store itself.
    pub fn mark_targets_read(&mut self) {
        self.targets_read = true;
        self.is_open |= self.settings_read;
    }

    /// A vm compared its copies with those of this vm and passed on what was newer.
    pub fn compared_with(&mut self, vm: VmId) {
        self.compared.insert(vm);
    }

    /// Whether this vm may serve. `others` is the number of other vms that can be reached, and
    /// `has_copies` tells whether there is anything to serve from.
    pub fn is_open(&mut self, others: usize, has_copies: bool, now: Duration) -> bool {
        if self.is_open || !has_copies {
            return self.is_open && has_copies;
        }
        let first_copy_at = *self.first_copy_at.get_or_insert(now);
        let is_compared = self.compared.len() >= others.min(COMPARED_VMS);
        self.is_open = is_compared || now >= first_copy_at + MAX_WAIT;
        self.is_open
    }

    /// Whether more vms should be asked at once.
    pub fn is_waiting(&self) -> bool {
        !self.is_open
    }
}
