//! Small `Copy` ids. State machines use ids only; names are resolved at the system's interfaces.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

id!(
    /// A vm of the system, numbered by its settings file.
    VmId,
    u32
);
id!(
    /// An availability zone, numbered in the order of the `fleet` settings.
    ZoneId,
    u16
);
id!(
    /// A workspace: 64 bits of the SHA-256 of `team/workspace`, so that all vms agree without
    /// coordination. The settings check refuses two workspaces with the same id.
    WorkspaceId,
    u64
);
id!(
    /// A target (engine or plain service): 64 bits of the SHA-256 of its name.
    TargetId,
    u64
);
id!(
    /// A route, numbered in the order of the `fleet` settings.
    RouteId,
    u16
);
id!(
    /// One run of a process. A restarted process gets a higher number.
    Incarnation,
    u64
);
id!(
    /// One request of a caller.
    RequestId,
    u128
);
id!(
    /// Revision of the platform's store. It never decreases: a store that was restored from an older
    /// copy gives out numbers again, and its era precedes them.
    Revision,
    u64
);
id!(
    /// Fencing token: the store revision at which the lease key was created.
    Fence,
    u64
);

/// Number of bits of a revision that hold the number within an era. At a thousand writes a second,
/// that number takes 34 years to use them up.
const REVISION_NUMBER_BITS: u32 = 40;

/// Largest era, so that a revision remains exact in every JSON writer.
const MAX_ERA: u64 = (1 << (53 - REVISION_NUMBER_BITS)) - 1;

impl Revision {
    /// Creates the revision with a number in an era of the store, or `None` if one is too large.
    pub fn in_era(era: u64, number: u64) -> Option<Self> {
        let is_valid = era <= MAX_ERA && number < 1 << REVISION_NUMBER_BITS;
        is_valid.then_some(Self(era << REVISION_NUMBER_BITS | number))
    }

    /// Number of times that the store was restored from an older copy, plus a constant.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_NUMBER_BITS
    }

    /// Number as given out by the store.
    pub fn number(self) -> u64 {
        self.0 & ((1 << REVISION_NUMBER_BITS) - 1)
    }
}
