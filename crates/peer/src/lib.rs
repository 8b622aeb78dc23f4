//! Messages between vms: MessagePack bodies over HTTP.
//!
//! The message types are defined in `jujubebeam-core`; this crate only encodes and sends them.

mod client;
mod envelope;

pub use client::{PeerClient, PeerClientConfig};
pub use envelope::{Envelope, MESSAGES_PATH, RUN_PATH, decode, encode};
