//! What an engine has seen.

use std::collections::BTreeMap;

use jujubebeam_core::targets::{FencedOrder, OrderAnswer};
use ntex::http::HeaderMap;
use serde::Serialize;

/// Attempts and orders that are kept.
const KEPT: usize = 100_000;
/// Keys of the examples and tests start with this text.
const KEY_MARK: &str = "jbk-";

/// Record of one attempt.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct AttemptRecord {
    /// How often the attempt was sent.
    pub(crate) executions: u32,
    /// Hash of the prompt.
    pub(crate) prompt_hash: u64,
    /// Tokens that had been delivered before.
    pub(crate) resumed_at: u64,
    /// Tokens that were generated here.
    pub(crate) generated: u64,
    /// True if the whole answer was generated.
    pub(crate) finished: bool,
    /// True if a header carried a caller's key.
    pub(crate) saw_caller_key: bool,
}

/// Record of one order.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct OrderRecord {
    /// The order.
    pub(crate) order: FencedOrder,
    /// How it was answered; `None` if it was refused as malformed.
    pub(crate) answer: Option<OrderAnswer>,
    /// Requests that were cut because the order came while they ran.
    pub(crate) cut_requests: usize,
    /// True if a different order was in execution.
    pub(crate) conflicting: bool,
}

/// All records.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Records {
    /// Attempts by id.
    pub(crate) attempts: BTreeMap<String, AttemptRecord>,
    /// Orders in the order of arrival.
    pub(crate) orders: Vec<OrderRecord>,
    /// Cancelled attempts.
    pub(crate) cancelled: Vec<String>,
    /// Exported attempts.
    pub(crate) exported: Vec<String>,
    /// Imported handles.
    pub(crate) imported: Vec<String>,
    /// Requests that were refused, because the engine did not serve.
    pub(crate) refused: u64,
}

impl Records {
    /// The record of an attempt.
    pub(crate) fn attempt(&mut self, id: &str) -> &mut AttemptRecord {
        if self.attempts.len() >= KEPT && !self.attempts.contains_key(id) {
            self.attempts.pop_first();
        }
        self.attempts.entry(id.to_owned()).or_default()
    }
}

/// Whether a header carries a caller's key, by its name or by its content.
pub(crate) fn has_caller_key(headers: &HeaderMap) -> bool {
    headers.iter().any(|(name, value)| {
        let named = ["authorization", "x-api-key", "proxy-authorization"].contains(&name.as_str());
        let marked = value.to_str().is_ok_and(|v| v.contains(KEY_MARK));
        named || marked
    })
}
