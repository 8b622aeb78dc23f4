//! Tests of the hashes of cache pieces.

use jujubebeam_caller::ChatMessage;
use jujubebeam_engine::prefix::{FNV_OFFSET, PIECE_BYTES, conversation_hash, fnv, piece_hashes};

fn message(role: &str, content: &str) -> ChatMessage {
    ChatMessage {
        role: role.into(),
        content: content.into(),
    }
}

/// Guards against vms and engines that split the same conversation into different pieces.
#[test]
fn piece_hashes_chain_over_the_complete_text() {
    for length in [0, 1, 56, 57, 58, 121, 500] {
        let content = "darn ".repeat(100)[..length].to_owned();
        let messages = [message("system", &content), message("user", &content)];
        let text = format!("system\n{content}\nuser\n{content}\n");
        let mut hash = FNV_OFFSET;
        let pieces = text.as_bytes().chunks_exact(PIECE_BYTES);
        let expected: Vec<u64> = pieces
            .map(|piece| {
                hash = fnv(hash, piece);
                hash
            })
            .collect();
        assert_eq!(piece_hashes(&messages), expected, "length {length}");
        assert_eq!(
            conversation_hash(&messages),
            fnv(FNV_OFFSET, text.as_bytes())
        );
    }
    // Published test vector of FNV-1a 64.
    assert_eq!(fnv(FNV_OFFSET, b"foobar"), 0x8594_4171_f739_67e8);
}

/// Guards against a cached prefix that is not recognised after messages were appended to its
/// conversation.
#[test]
fn appended_messages_do_not_change_the_first_piece_hashes() {
    let first = message("user", &"w ".repeat(100));
    let short = piece_hashes(std::slice::from_ref(&first));
    let long = piece_hashes(&[first, message("assistant", &"a ".repeat(100))]);
    assert_eq!(long[..short.len()], short[..]);
    assert!(long.len() > short.len());
}
