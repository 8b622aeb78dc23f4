//! JSON bodies that are exchanged with engines.

use jujubebeam_caller::ChatRequest;
use jujubebeam_core::targets::CacheEvent;
use serde::{Deserialize, Serialize};

/// Paths of an engine.
pub mod paths {
    /// Inference.
    pub const CHAT: &str = "/v1/chat/completions";
    /// Load report.
    pub const LOAD: &str = "/load";
    /// Cache events; takes the query parameter `after`.
    pub const CACHE_EVENTS: &str = "/cache/events";
    /// Orders.
    pub const ORDERS: &str = "/orders";
    /// Cancellation of an attempt.
    pub const CANCEL: &str = "/cancel";
    /// Export of the KV cache of an attempt.
    pub const KV_EXPORT: &str = "/kv/export";
    /// Import of a KV cache.
    pub const KV_IMPORT: &str = "/kv/import";
}

/// Point from which an engine continues an answer whose first part another engine delivered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeFrom {
    /// Number of tokens that the caller already has.
    pub delivered_tokens: u64,
    /// Text that the caller already has.
    pub delivered_text: String,
    /// Handle of an imported KV cache.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// A chat request with the extension fields for engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The caller's request.
    #[serde(flatten)]
    pub chat: ChatRequest,
    /// Identifies this attempt; echoed in the `x-jujubebeam-attempt` header.
    pub attempt_id: String,
    /// Scheduling priority; higher values run first.
    #[serde(default)]
    pub priority: u8,
    /// Continues an answer whose first part was delivered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<ResumeFrom>,
}

/// Acknowledgement of a command that returns no data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnswer {
    /// Whether the command had an effect.
    pub done: bool,
}

/// A page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in ascending order of `seq`, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// Cancels an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Attempt to cancel.
    pub attempt_id: String,
}

/// Requests that an engine export the KV cache of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// Attempt whose cache is exported. The attempt stops generating.
    pub attempt_id: String,
}

/// Identifies an exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// Name of the cache at the exporting engine.
    pub handle: String,
    /// Size of the cache.
    pub size_bytes: u64,
    /// Number of context tokens in the cache.
    pub context_tokens: u64,
}

/// Requests that an engine fetch an exported KV cache from another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImportRequest {
    /// Address of the exporting engine.
    pub source_address: String,
    /// Handle at the exporting engine.
    pub handle: KvHandle,
}
