//! Messages between vms: MessagePack bodies over HTTP.
//!
//! Messages themselves are part of the decision crate; this crate only carries them.

mod client;
mod envelope;

pub use client::{PeerClient, PeerClientConfig};
pub use envelope::{Envelope, MESSAGES_PATH, RUN_PATH, decode, encode};
