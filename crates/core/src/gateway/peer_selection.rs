//! Choice of the vm that is queried for updates of settings and targets.
//!
//! Traffic between zones costs more than traffic within a zone, and a few vms of each zone receive
//! a change early. Most queries therefore stay in the zone; the others carry a change into zones in
//! which no vm has it yet. Half of those go to a vm that watches the store, which has the youngest
//! replica. The other half still spreads changes if no watcher replies.

use smallvec::SmallVec;

use crate::VmId;
use crate::authority::mix;

/// One query in this many goes to any vm, regardless of its zone.
const ANY_ZONE_EVERY: u64 = 4;

/// One query in this many goes to a vm that watches the store.
const WATCHER_EVERY: u64 = 8;

/// Chooses the vm for each query.
#[derive(Clone, Debug)]
pub struct PeerSelector {
    seed: u64,
    rounds: u64,
}

impl PeerSelector {
    /// Creates a selector. The seed must differ between vms.
    pub fn new(seed: u64) -> Self {
        Self { seed, rounds: 0 }
    }

    /// Chooses the next vm to query. `others` are all other reachable vms, `own_zone` those in the
    /// zone of this vm, and `watchers` those that watch the store, which may include this vm.
    pub fn next(&mut self, others: &[VmId], own_zone: &[VmId], watchers: &[VmId]) -> Option<VmId> {
        self.rounds += 1;
        let watcher = match self.rounds.is_multiple_of(WATCHER_EVERY) {
            true => self.choose(watchers).filter(|vm| others.contains(vm)),
            false => None,
        };
        if watcher.is_some() {
            return watcher;
        }
        let is_any_zone = self.rounds.is_multiple_of(ANY_ZONE_EVERY) || own_zone.is_empty();
        self.choose(if is_any_zone { others } else { own_zone })
    }

    /// Chooses a vm that watches the store, except this vm.
    pub fn next_watcher(&mut self, watchers: &[VmId], own: VmId) -> Option<VmId> {
        self.rounds += 1;
        let index = watchers.iter().position(|vm| *vm == own);
        let mut others: SmallVec<[VmId; 8]> = SmallVec::from_slice(watchers);
        if let Some(index) = index {
            others.remove(index);
        }
        self.choose(&others)
    }

    fn choose(&self, among: &[VmId]) -> Option<VmId> {
        let chance = mix(self.seed ^ mix(self.rounds));
        let index = chance.checked_rem(among.len() as u64)?;
        among.get(index as usize).copied()
    }
}
