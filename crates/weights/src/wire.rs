//! JSON bodies of the weight store.

use serde::{Deserialize, Serialize};

/// Path for grants. A rejected request has status 429 and `Retry-After`.
pub const GRANTS_PATH: &str = "/grants";

/// Requests permission to load an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Model with version, or adapter.
    pub artifact: String,
    /// Target that will load it.
    pub target: String,
}

/// Permission to load an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Token that the engine presents to the weight store.
    pub grant: String,
    /// Size of the artifact.
    pub size_bytes: u64,
    /// Duration of the transfer at the granted rate.
    pub transfer_ms: u64,
}
