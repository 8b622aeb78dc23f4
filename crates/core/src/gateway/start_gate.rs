//! Decision when a vm that has just started may serve from replicas received from other vms.
//!
//! While the store is unavailable, a starting vm receives settings and targets from other vms. A
//! replica of these may be outdated: it may still contain a withdrawn key or a removed target, even
//! though the starting vm had a newer one before its restart. Replicas never go back to an older
//! revision, so the vm uses the newest of several.
//!
//! If all vms have started at once, only the store knows which requests crash targets, and at which
//! versions streams may begin. A vm therefore waits for one query for each.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::VmId;

/// Number of other vms to compare replicas with. A third of all vms may be refused by the store and
/// have outdated replicas.
const COMPARED_VMS: usize = 3;

/// Maximum wait for other vms after the first replica was received. A query takes some
/// milliseconds.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Opens once the replicas of this vm are as recent as it can determine.
#[derive(Debug, Default)]
pub struct StartGate {
    is_open: bool,
    settings_read: bool,
    targets_read: bool,
    crashes_queried: bool,
    versions_queried: bool,
    first_copy_at: Option<Duration>,
    compared: BTreeSet<VmId>,
}

impl StartGate {
    /// Records that the settings were read from the store itself.
    pub fn mark_settings_read(&mut self) {
        self.settings_read = true;
        self.open_if_read();
    }

    /// Records that the targets were read from the store itself.
    pub fn mark_targets_read(&mut self) {
        self.targets_read = true;
        self.open_if_read();
    }

    /// Records that the store has answered a query for crash counts, or failed to.
    pub fn mark_crashes_queried(&mut self) {
        self.crashes_queried = true;
        self.open_if_read();
    }

    /// Records that the store has answered a query for software versions, or failed to.
    pub fn mark_versions_queried(&mut self) {
        self.versions_queried = true;
        self.open_if_read();
    }

    fn has_queried(&self) -> bool {
        self.crashes_queried && self.versions_queried
    }

    fn open_if_read(&mut self) {
        self.is_open |= self.settings_read && self.targets_read && self.has_queried();
    }

    /// Records that a vm compared its replicas with those of this vm and sent all newer data.
    pub fn compared_with(&mut self, vm: VmId) {
        self.compared.insert(vm);
    }

    /// Whether this vm may serve. `others` is the number of other reachable vms, and `has_copies`
    /// states whether this vm has replicas of settings and targets.
    pub fn is_open(&mut self, others: usize, has_copies: bool, now: Duration) -> bool {
        if self.is_open || !has_copies {
            return self.is_open && has_copies;
        }
        let first_copy_at = *self.first_copy_at.get_or_insert(now);
        let is_compared = self.compared.len() >= others.min(COMPARED_VMS);
        self.is_open = is_compared && self.has_queried() || now >= first_copy_at + MAX_WAIT;
        self.is_open
    }

    /// Whether further vms should be queried without delay.
    pub fn is_waiting(&self) -> bool {
        !self.is_open
    }
}
