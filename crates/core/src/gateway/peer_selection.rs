//! Whom a vm asks for news of the settings and targets.
//!
//! Traffic between zones costs more than within one, and a few vms of each zone hear of a change
//! early. Most questions stay in the zone; the others carry a change into a zone in which no vm has it.

use crate::VmId;
use crate::authority::mix;

/// One question in this many goes to any vm, whatever its zone.
const ANY_ZONE_EVERY: u64 = 4;

/// Chooses a vm to ask, again and again.
#[derive(Clone, Debug)]
pub struct PeerSelector {
    seed: u64,
    rounds: u64,
}

impl PeerSelector {
    /// Starts with a seed that differs by vm.
    pub fn new(seed: u64) -> Self {
        Self { seed, rounds: 0 }
    }

    /// The next vm to ask among the others in reach, of which some are in the own zone.
    pub fn next(&mut self, others: &[VmId], own_zone: &[VmId]) -> Option<VmId> {
        self.rounds += 1;
        let is_any_zone = self.rounds.is_multiple_of(ANY_ZONE_EVERY) || own_zone.is_empty();
        let among = if is_any_zone { others } else { own_zone };
        let chance = mix(self.seed ^ mix(self.rounds));
        let index = chance.checked_rem(among.len() as u64)?;
        among.get(index as usize).copied()
    }
}
