//! Addresses at which callers can reach the system.

use serde::{Deserialize, Serialize};

/// One entry address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Base URL to send requests to.
    pub url: String,
    /// Zone of the vm.
    pub zone: String,
}

/// Entry addresses in the order in which a caller should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressList {
    /// Addresses, best first.
    pub addresses: Vec<Address>,
    /// How long the caller may cache this answer.
    pub lifetime_ms: u64,
}
