//! Client of the platform's key-value store.
//!
//! It uses a subset of the JSON gateway of etcd v3: range, txn, leases and watch. The JSON gateway
//! encodes bytes in base64 and 64-bit integers as strings. See `docs/design.md`, section 2.

mod client;
mod watch;
pub mod wire;

pub use client::{StoreClient, StoreClientConfig};
pub use watch::{WatchError, WatchEvent, Watcher};
