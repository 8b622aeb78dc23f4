//! Checks of the settings that the vms have in force.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::settings::replica::Subtree;
use jujubebeam_core::{Revision, VmId};

use super::ms;
use super::store::Store;
use super::world::Vm;

/// Design target: a change is in force on all vms within this time.
pub(crate) const PROPAGATION_TARGET: Duration = Duration::from_secs(4);

/// An accepted change.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    pub(crate) at: Duration,
    pub(crate) subtree: String,
    pub(crate) revision: Revision,
}

#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) violations: Vec<String>,
    pub(crate) accepted: Vec<Accepted>,
    pub(crate) status: Vec<(VmId, Option<Revision>)>,
    applied: BTreeMap<(u32, String), Revision>,
}

impl Checker {
    pub(crate) fn restarted(&mut self, vm: u32) {
        self.applied.retain(|(of, _), _| *of != vm);
    }

    /// Reports a vm that applies an older revision than before.
    pub(crate) fn applied(&mut self, vm: u32, subtree: &Subtree) {
        let key = (vm, subtree.name.clone());
        let before = self.applied.insert(key, subtree.revision);
        if before >= Some(subtree.revision) {
            let name = &subtree.name;
            let text = format!("vm {vm}: {name} from {before:?} to {}", subtree.revision);
            self.violations.push(text);
        }
    }

    pub(crate) fn accepted(&mut self, at: Duration, subtree: String, revision: Revision) {
        self.accepted.push(Accepted {
            at,
            subtree,
            revision,
        });
    }

    /// Reports vms that serve or stream without an accepted change after the propagation target.
    pub(crate) fn check_serving(&mut self, now: Duration, vms: &[Vm]) {
        for (position, vm) in vms.iter().enumerate() {
            let serves = vm.permit.may_start(now) || vm.permit.may_continue(now);
            if vm.paused || !serves {
                continue;
            }
            for change in self
                .accepted
                .iter()
                .filter(|c| now > c.at + PROPAGATION_TARGET)
            {
                let present = vm.replica.revision(&change.subtree);
                if present < Some(change.revision) {
                    self.violations.push(format!(
                        "{now:?}: vm {position} serves {} at {present:?}, but {} was accepted at \
                         {:?}",
                        change.subtree, change.revision, change.at
                    ));
                }
            }
        }
    }

    /// Reports vms that do not serve, or that lack a change written longer ago than the propagation
    /// target.
    pub(crate) fn check_convergence(&mut self, now: Duration, vms: &[Vm], store: &Store) {
        for (position, vm) in vms.iter().enumerate() {
            if !vm.permit.may_start(now) {
                self.violations
                    .push(format!("{now:?}: vm {position} does not serve"));
            }
            let due = store
                .log
                .iter()
                .filter(|w| w.at + PROPAGATION_TARGET <= now + ms(1));
            for write in due {
                let present = vm.replica.revision(&write.key);
                if present < Some(write.revision) {
                    let key = &write.key;
                    self.violations.push(format!(
                        "{now:?}: vm {position} has {key} at {present:?}, not {}",
                        write.revision
                    ));
                }
            }
        }
    }
}
