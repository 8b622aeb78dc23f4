//! Bad input over raw sockets: every refusal arrives whole, with its kind and a remedy.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;

use serde_json::Value;
use support::KEY;
use support::caller::Caller;

const CHAT: &str = "/v1/chat/completions";
const CHUNK: [u8; 16 * 1024] = [b' '; 16 * 1024];

/// What a connection received until it was closed.
struct Received {
    head: String,
    error: Value,
}

impl Received {
    fn check(&self, status: u16, kind: &str, retry_after: bool) {
        let Self { head, error } = self;
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert_eq!(error["type"], kind, "{error}");
        assert_eq!(error["not_run"], true, "{error}");
        assert_eq!(head.contains("retry-after:"), retry_after, "{head}");
        assert!(error["remedy"].as_str().is_some_and(|r| !r.is_empty()));
        assert!(error["request_id"].as_str().is_some_and(|r| !r.is_empty()));
    }
}

fn head(path: &str, key: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {key}\r\n\
         idempotency-key: k\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads one answer with the length that it names.
fn receive(mut stream: &TcpStream) -> Received {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && let Ok(body) = serde_json::from_str::<Value>(body)
        {
            let head = head.to_lowercase().replacen("http", "HTTP", 1);
            let error = body["error"].clone();
            return Received { head, error };
        }
        let length = stream.read(&mut part).expect("an answer that is not reset");
        assert!(length > 0, "the connection closed after {text:?}");
        bytes.extend_from_slice(&part[..length]);
    }
}

/// Sends a head and a body of `length` bytes of which `sent` are sent, while it reads.
fn exchange(vm: SocketAddr, head: &str, sent: usize) -> Received {
    let stream = TcpStream::connect(vm).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let head = head.to_owned();
    let writing = thread::spawn(move || {
        let mut left = sent;
        let mut result = writer.write_all(head.as_bytes());
        while left > 0 && result.is_ok() {
            let part = left.min(CHUNK.len());
            result = writer.write_all(&CHUNK[..part]);
            left -= part;
        }
        result
    });
    // A client that reads only after it has sent everything sees the answer all the same.
    let written = writing.join().unwrap();
    let received = receive(&stream);
    assert!(written.is_ok(), "reset while sending: {written:?}");
    let _ = stream.shutdown(Shutdown::Both);
    received
}

/// Guards against a refusal that is lost because the connection is reset while the caller still
/// sends its body.
#[ntex::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let caller = Caller::start().await;
    let vm = caller.fleet.vms[0];
    const MEGABYTE: usize = 1024 * 1024;
    for length in [300 * 1024, 2 * MEGABYTE, 6 * MEGABYTE] {
        let received = exchange(vm, &head("/shop/a", KEY, length), length);
        received.check(413, "body_too_large", false);
        let received = exchange(vm, &head("/shop/a", "wrong", length), length);
        received.check(401, "unknown_key", false);
    }
    let received = exchange(vm, &head(CHAT, KEY, 6 * MEGABYTE), 6 * MEGABYTE);
    received.check(413, "body_too_large", false);
    let received = exchange(vm, &head(CHAT, KEY, 300 * 1024), 300 * 1024);
    received.check(400, "bad_request", false);
    assert_eq!(caller.call(0, "GET", "/shop/b", "", "").await.status, 200);
}

/// Guards against callers that hold a worker by sending slowly.
#[ntex::test]
async fn a_slow_sender_is_refused() {
    let caller = Caller::start().await;
    let vm = caller.fleet.vms[0];
    for path in [CHAT, "/shop/a"] {
        exchange(vm, &head(path, KEY, 100), 1).check(408, "slow_sender", true);
    }
}
