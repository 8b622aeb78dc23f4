//! Hashes of the fixed-size pieces in which engines cache a conversation.
//!
//! A vm computes the same hashes as the engine, so that it can compare a request with the cache
//! events of [`crate::CacheEvents`].

use jujubebeam_caller::ChatMessage;

/// Length of a cache piece. Pieces are counted in bytes, because a vm has no tokenizer.
pub const PIECE_BYTES: usize = 64;

/// Initial hash value for [`fnv`].
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes the 64-bit FNV-1a hash of `bytes`, continued from `hash`.
pub fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}

/// Returns the byte slices whose concatenation is the text of a conversation.
fn parts(messages: &[ChatMessage]) -> impl Iterator<Item = &[u8]> {
    messages.iter().flat_map(|m| {
        let newline = b"\n".as_slice();
        [m.role.as_bytes(), newline, m.content.as_bytes(), newline]
    })
}

/// Computes the hash of a complete conversation.
pub fn conversation_hash(messages: &[ChatMessage]) -> u64 {
    parts(messages).fold(FNV_OFFSET, fnv)
}

/// Computes the chained hashes of the full pieces of a conversation without copying its text.
///
/// Each hash covers the conversation from its start to the end of the piece.
pub fn piece_hashes(messages: &[ChatMessage]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let (mut hash, mut missing_bytes) = (FNV_OFFSET, PIECE_BYTES);
    for mut part in parts(messages) {
        while part.len() >= missing_bytes {
            let (piece, rest) = part.split_at(missing_bytes);
            hash = fnv(hash, piece);
            hashes.push(hash);
            (part, missing_bytes) = (rest, PIECE_BYTES);
        }
        hash = fnv(hash, part);
        missing_bytes -= part.len();
    }
    hashes
}
