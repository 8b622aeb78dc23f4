//! Client of the platform's rate-limited weight store.
//!
//! An engine loads weights itself; the system asks for a grant first, so that loads stay within the
//! store's rate, and passes the grant on in its order.

mod client;
mod wire;

pub use client::{WeightsClient, WeightsClientConfig};
pub use wire::{GRANTS_PATH, Grant, GrantRequest};
