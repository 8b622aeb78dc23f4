//! Boundaries and ids of the events of a stream.

use bytes::{Bytes, BytesMut};

/// Longest event that is held until it is complete.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into whole events, so that a broken one can go on at an event's boundary.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds received bytes and returns the whole events among what has arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_boundary(&self.partial);
        if end == 0 {
            // An endless event is passed on as it comes; it could not be resumed anyway.
            let too_long = self.partial.len() > MAX_EVENT_BYTES;
            return too_long.then(|| self.partial.split().freeze());
        }
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether the stream stands at the end of an event.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }
}

/// Position after the last empty line.
fn last_boundary(bytes: &[u8]) -> usize {
    let lf = find_last(bytes, b"\n\n").map_or(0, |at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map_or(0, |at| at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

fn last_id(events: &[u8]) -> Option<u64> {
    events
        .split(|b| *b == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
