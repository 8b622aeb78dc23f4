//! Scopes, their store keys, and the order in which vms try to acquire them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::VmId;

/// The set of orders that the holder of one lease may send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Orders to the engines of a group in a zone.
    Engines {
        /// Group by name.
        group: String,
        /// Zone by name.
        zone: String,
    },
    /// Orders to the platform.
    Ordering,
    /// Usage reports to the platform.
    Usage,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Engines { group, zone } => write!(f, "engines/{group}/{zone}"),
            Scope::Ordering => f.write_str("ordering"),
            Scope::Usage => f.write_str("usage"),
        }
    }
}

impl Scope {
    /// True if the receiver must get orders from one process at a time.
    pub fn is_exclusive(&self) -> bool {
        !matches!(self, Scope::Engines { .. })
    }

    /// Key of the lease.
    pub fn lease_key(&self) -> String {
        format!("authority/{self}")
    }

    /// Common prefix of the keys of the intents.
    pub fn intent_prefix(&self) -> String {
        format!("intents/{self}/")
    }

    /// Number of vms that precede `vm` in rendezvous hashing for the scope. Vms of low rank probe
    /// a free scope more often.
    pub(crate) fn rank(&self, vm: VmId, vms: &[VmId]) -> u32 {
        let own = self.weight(vm);
        let before = vms
            .iter()
            .filter(|other| **other != vm && (self.weight(**other), **other) > (own, vm));
        before.count() as u32
    }

    fn weight(&self, vm: VmId) -> u64 {
        let name = self.to_string();
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
            mix(h ^ u64::from(b)) // Depends on the order of the bytes; equal on all vms.
        });
        mix(hash ^ mix(u64::from(vm.0)))
    }
}

/// Finalizer of SplitMix64, a fixed bijection that spreads all input bits.
pub(crate) fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
