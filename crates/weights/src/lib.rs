//! Client of the platform's rate-limited weight store.
//!
//! An engine loads weights itself. The system first requests a grant, so that loads stay within the
//! store's rate limit, and includes the grant in its order to the engine.

mod client;
mod wire;

pub use client::{WeightsClient, WeightsClientConfig};
pub use wire::{GRANTS_PATH, Grant, GrantRequest};
