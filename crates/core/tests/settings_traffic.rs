//! Sizes of the messages that vms exchange about settings.

use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::settings::replica::{Message, Page};

fn encoded(message: Message) -> usize {
    let bytes = rmp_serde::to_vec_named(&PeerMessage::Settings(message));
    bytes.expect("messages can be encoded").len()
}

/// Guards against anti-entropy that grows while nothing changes: it is sent 6.7 times a second by
/// every vm.
#[test]
fn idle_exchange_is_small() {
    let ask = encoded(Message::Ask {
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
    println!("ask {ask} B, empty page {page} B");
    assert!(ask <= 70, "{ask} B");
    assert!(page <= 130, "{page} B");
}
