//! Sizes of the messages with which vms exchange settings.

use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::settings::replica::{Message, Page};

fn encoded(message: Message) -> usize {
    let bytes = rmp_serde::to_vec_named(&PeerMessage::Settings(message));
    bytes.expect("messages can be encoded").len()
}

/// Guards against growth of the messages that vms exchange while nothing changes. Every vm sends
/// them 6.7 times a second.
#[test]
fn idle_exchange_is_small() {
    let request = encoded(Message::Ask {
        nonce: u64::MAX,
        digest: u64::MAX,
        cursor: Revision(10_000_000_000),
        wait: true,
    });
    let page = encoded(Message::Page(Page {
        nonce: u64::MAX,
        subtrees: Vec::new(),
        cursor: Revision(10_000_000_000),
        last: true,
        full: true,
        digest: u64::MAX,
        age: Some(Duration::from_millis(1234)),
        waited: Duration::ZERO,
        heard: Vec::new(),
    }));
    println!("request {request} B, empty page {page} B");
    assert!(request <= 70, "{request} B");
    assert!(page <= 130, "{page} B");
}
