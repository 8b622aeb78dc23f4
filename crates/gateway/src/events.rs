//! Boundaries and ids of the events of a stream.

use bytes::{Bytes, BytesMut};

/// Longest event that is held until it is complete. An event holds one token or a few.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event exceeds the longest length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Splits a stream into whole events, so that a broken one can go on at an event's boundary.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    /// Bytes at the start of `partial` in which no boundary begins.
    searched: usize,
    last_id: Option<u64>,
}

/// Whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WholeEvents {
    pub(crate) bytes: Bytes,
    /// Whether one of them carries data or an id. Comments keep a connection alive and say nothing.
    pub(crate) has_content: bool,
}

impl EventSplitter {
    /// Adds received bytes and returns the whole events among what has arrived.
    ///
    /// # Errors
    ///
    /// Says that an event does not end.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<WholeEvents>, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let end = last_boundary(&self.partial, self.searched);
        // The first bytes of a boundary may have arrived.
        self.searched = (self.partial.len() - end).saturating_sub(3);
        if end == 0 {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        }
        let bytes = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&bytes) {
            self.last_id = Some(id);
        }
        let has_content = has_content(&bytes);
        Ok(Some(WholeEvents { bytes, has_content }))
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Whether the stream stands at the end of an event.
    pub(crate) fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }
}

/// Position after the last empty line that begins at `from` or later, or 0.
fn last_boundary(bytes: &[u8], from: usize) -> usize {
    let tail = &bytes[from..];
    let lf = find_last(tail, b"\n\n").map_or(0, |at| from + at + 2);
    let crlf = find_last(tail, b"\r\n\r\n").map_or(0, |at| from + at + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|w| w == pattern)
}

fn has_content(events: &[u8]) -> bool {
    events
        .split(|b| *b == b'\n')
        .any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
}

fn last_id(events: &[u8]) -> Option<u64> {
    events
        .split(|b| *b == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
