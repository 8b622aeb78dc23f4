//! Reads answers as a caller that disconnects after a gap.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How an answer ended at its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Whole,
    ConnectionEnded,
    /// The caller disconnected after its gap or its deadline.
    CallerLeft,
}

/// What a caller received.
pub(crate) struct Received {
    pub(crate) text: String,
    /// When the last bytes arrived, or when reading began.
    pub(crate) last_at: Instant,
    pub(crate) ended_at: Instant,
    pub(crate) end: End,
}

impl Received {
    /// The status is 0 if there was none.
    pub(crate) fn status(&self) -> u16 {
        let status = self.text.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads an answer until its end, a gap without bytes, or the deadline of the caller.
pub(crate) fn read(stream: &mut TcpStream, gap: Duration, until: Instant) -> Received {
    let (mut received, mut last_at, mut chunk) = (Vec::new(), Instant::now(), [0; 4096]);
    let end = loop {
        if is_whole(&received) {
            break End::Whole;
        }
        let wait = (last_at + gap)
            .min(until)
            .saturating_duration_since(Instant::now());
        if wait.is_zero() {
            break End::CallerLeft;
        }
        stream.set_read_timeout(Some(wait)).expect("a time above 0");
        match stream.read(&mut chunk) {
            Ok(0) => break End::ConnectionEnded,
            Ok(read) => {
                received.extend_from_slice(&chunk[..read]);
                last_at = Instant::now();
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break End::ConnectionEnded,
        }
    };
    Received {
        text: String::from_utf8_lossy(&received).into_owned(),
        last_at,
        ended_at: Instant::now(),
        end,
    }
}

fn is_whole(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_lowercase();
    let length = head.split("content-length:").nth(1);
    match length.and_then(|rest| rest.lines().next()?.trim().parse::<usize>().ok()) {
        Some(length) => body.len() >= length,
        None => format!("\r\n{body}").ends_with("\r\n0\r\n\r\n"),
    }
}
