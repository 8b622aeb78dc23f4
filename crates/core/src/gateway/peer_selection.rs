//! Choice of the vm that is queried for updates of settings and targets.
//!
//! Traffic between zones costs more than traffic within a zone, and a few vms of each zone receive
//! a change early. Most queries therefore stay in the zone; the others carry a change into zones in
//! which no vm has it yet.

use crate::VmId;
use crate::authority::mix;

/// One query in this many goes to any vm, regardless of its zone.
const ANY_ZONE_EVERY: u64 = 4;

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
    /// zone of this vm.
    pub fn next(&mut self, others: &[VmId], own_zone: &[VmId]) -> Option<VmId> {
        self.rounds += 1;
        let is_any_zone = self.rounds.is_multiple_of(ANY_ZONE_EVERY) || own_zone.is_empty();
        let among = if is_any_zone { others } else { own_zone };
        let chance = mix(self.seed ^ mix(self.rounds));
        let index = chance.checked_rem(among.len() as u64)?;
        among.get(index as usize).copied()
    }
}
