//! Choice of the vm to which a vm passes a request on that it cannot send to a target itself.

use std::collections::HashMap;
use std::time::Duration;

use crate::VmId;

/// Time for which a vm that could not take a request is not chosen. It may be cut off as well.
const REST: Duration = Duration::from_millis(500);

/// Requests that this vm has passed on, by the vm that took them.
#[derive(Debug, Default)]
pub struct Helpers {
    helpers: HashMap<VmId, Helper>,
    choices: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Helper {
    running: usize,
    rests_until: Duration,
}

impl Helpers {
    /// Chooses the vm with the fewest requests of this one, and counts the request there until
    /// [`Self::ended`]. Vms in `tried` and those that rest are omitted.
    pub fn choose(&mut self, vms: &[VmId], tried: &[VmId], now: Duration) -> Option<VmId> {
        self.choices = self.choices.wrapping_add(1);
        let shift = self.choices % vms.len().max(1);
        let (before, after) = vms.split_at(shift);
        let usable = after.iter().chain(before).filter(|vm| {
            let helper = self.helpers.get(vm);
            !tried.contains(vm) && helper.is_none_or(|helper| helper.rests_until <= now)
        });
        let running = |vm: &&VmId| self.helpers.get(vm).map_or(0, |helper| helper.running);
        let vm = *usable.min_by_key(running)?;
        self.helpers.entry(vm).or_default().running += 1;
        Some(vm)
    }

    /// Records that a vm could not take a request.
    pub fn rest(&mut self, vm: VmId, now: Duration) {
        self.helpers.entry(vm).or_default().rests_until = now + REST;
    }

    /// Records the end of a request at a vm.
    pub fn ended(&mut self, vm: VmId, now: Duration) {
        if let Some(helper) = self.helpers.get_mut(&vm) {
            helper.running = helper.running.saturating_sub(1);
        }
        let is_used = |helper: &Helper| helper.running > 0 || helper.rests_until > now;
        self.helpers.retain(|_, helper| is_used(helper));
    }
}
