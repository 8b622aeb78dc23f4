//! Parser for the boundaries and ids of events in a stream.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete. An event contains one or a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Splits a stream into complete events, so that a broken stream can continue at an event boundary.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    /// Number of bytes at the start of `partial` in which no boundary begins.
    searched: usize,
    last_id: Option<u64>,
}

/// Complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    /// Whether one of them has data or an id. Comments only keep a connection alive.
    pub(crate) has_content: bool,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event exceeds the longest length.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, EventTooLong> {
        self.partial.extend_from_slice(bytes);
        let end = last_boundary(&self.partial, self.searched);
        // The last bytes may be the start of a boundary.
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
        Ok(Some(CompleteEvents { bytes, has_content }))
    }

    /// Id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_partial(&mut self) -> Bytes {
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Whether no part of an incomplete event has been received.
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
