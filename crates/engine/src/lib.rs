//! Wire types and client of inference engines.
//!
//! Inference uses the OpenAI chat interface with the extension fields of [`EngineRequest`]. Load,
//! cache events, orders, cancellation and KV cache transfer have their own JSON endpoints. See
//! `docs/design.md`, section 4.

mod client;
pub mod prefix;
mod wire;

pub use client::{EngineClient, EngineClientConfig};
pub use wire::{
    CacheEvents, CancelRequest, EngineAnswer, EngineRequest, KvExportRequest, KvHandle,
    KvImportRequest, ResumeFrom, paths,
};
