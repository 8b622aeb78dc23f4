//! The deterministic text of a prompt, and the hashes of its cache pieces.

use jujubebeam_caller::ChatMessage;

/// Length of a cache piece. Pieces are counted in bytes, because a vm has no tokenizer.
pub(crate) const PIECE_BYTES: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(seed, step)
}

/// The conversation as one text.
fn flatten(messages: &[ChatMessage]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

/// Identifies a conversation in its answer.
pub(crate) fn prompt_hash(messages: &[ChatMessage]) -> u64 {
    fnv(FNV_OFFSET, flatten(messages).as_bytes())
}

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

/// Chained hashes of the full pieces of a conversation.
pub(crate) fn piece_hashes(messages: &[ChatMessage]) -> Vec<u64> {
    let text = flatten(messages);
    let mut hash = FNV_OFFSET;
    let chain = |piece: &[u8]| {
        hash = fnv(hash, piece);
        hash
    };
    text.as_bytes()
        .chunks_exact(PIECE_BYTES)
        .map(chain)
        .collect()
}
