//! The deterministic text of an answer, and the lengths of prompts.

use jujubebeam_caller::ChatMessage;
use jujubebeam_engine::prefix::fnv;
pub(crate) use jujubebeam_engine::prefix::{conversation_hash as prompt_hash, piece_hashes};

/// Number of tokens of a conversation.
pub(crate) fn prompt_tokens(messages: &[ChatMessage]) -> u64 {
    let words = |m: &ChatMessage| m.content.split_whitespace().count() as u64;
    messages.iter().map(words).sum()
}

/// Token of an answer. It depends on the prompt, so that a crossed answer is noticed.
pub(crate) fn token(prompt_hash: u64, position: u64) -> String {
    let mixed = fnv(prompt_hash, &position.to_le_bytes()) >> 44;
    format!("stitch{position}-{mixed:05x} ")
}

/// The text of an answer with this many tokens.
pub(crate) fn answer_text(prompt_hash: u64, tokens: u64) -> String {
    (0..tokens).map(|i| token(prompt_hash, i)).collect()
}
