//! Parser for the boundaries and ids of events in a stream.

use bytes::{Bytes, BytesMut};
use strum::Display;

/// Longest event that is buffered until it is complete. An event contains one or a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why no further event of a stream can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum EventError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[strum(to_string = "an event does not end")]
    TooLong,
    /// The body ended in the middle of an event.
    #[strum(to_string = "ended within an event")]
    Incomplete,
    /// Lines without any field of an event, such as the text of an error.
    #[strum(to_string = "text that is not an event")]
    NotAnEvent,
}

/// Splits a stream into complete events, so that a broken stream can continue at an event boundary.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    boundaries: BoundaryScanner,
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
    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Removes and returns the events that are complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the next event cannot be forwarded. Events before it are returned first.
    pub(crate) fn take_events(&mut self) -> Result<Option<CompleteEvents>, EventError> {
        let mut bytes = BytesMut::new();
        let mut has_content = false;
        while let Some(end) = self.boundaries.next_end(&self.partial) {
            match EventKind::of(&self.partial[..end]) {
                // The next call finds the same event.
                Err(_) if !bytes.is_empty() => {
                    self.boundaries.rewind();
                    break;
                }
                Err(error) => return Err(error),
                Ok(kind) => {
                    bytes.unsplit(self.partial.split_to(end));
                    self.boundaries.rewind();
                    if let EventKind::Content { id } = kind {
                        has_content = true;
                        self.last_id = id.or(self.last_id);
                    }
                }
            }
        }
        if !bytes.is_empty() {
            let bytes = bytes.freeze();
            return Ok(Some(CompleteEvents { bytes, has_content }));
        }
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLong),
            false => Ok(None),
        }
    }

    /// Checks the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is not complete.
    pub(crate) fn finish(&self) -> Result<(), EventError> {
        match self.partial.is_empty() {
            true => Ok(()),
            false => Err(EventError::Incomplete),
        }
    }

    /// Id of the last complete event that has one.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Finds the empty lines that end events. A line ends with LF, CRLF or CR.
#[derive(Debug, Default)]
struct BoundaryScanner {
    /// Number of bytes at the start of the buffer that were searched.
    searched: usize,
    /// Whether the line at that position is not empty.
    line_has_bytes: bool,
    /// Whether the line before it ended with CR alone.
    last_end_is_cr: bool,
}

impl BoundaryScanner {
    /// Position after the first event in `bytes`, if it is complete.
    fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        while let Some(byte) = bytes.get(self.searched) {
            let length = match (byte, bytes.get(self.searched + 1)) {
                (b'\n', _) => 1,
                (b'\r', Some(b'\n')) => 2,
                (b'\r', Some(_)) => 1,
                // If lines end with CR, the event is complete and must not wait for the next one.
                (b'\r', None) if self.last_end_is_cr && !self.line_has_bytes => 1,
                // LF may follow.
                (b'\r', None) => return None,
                _ => {
                    self.searched += 1;
                    self.line_has_bytes = true;
                    continue;
                }
            };
            self.searched += length;
            self.last_end_is_cr = *byte == b'\r' && length == 1;
            if !std::mem::take(&mut self.line_has_bytes) {
                return Some(self.searched);
            }
        }
        None
    }

    /// Continues at the start of the buffer, with an event.
    fn rewind(&mut self) {
        self.searched = 0;
        self.line_has_bytes = false;
    }
}

/// What a complete event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// Data or an id.
    Content {
        /// The id, if it is a number.
        id: Option<u64>,
    },
    /// Nothing for the caller's application.
    Comment,
}

impl EventKind {
    fn of(event: &[u8]) -> Result<Self, EventError> {
        let mut id = None;
        let (mut has_content, mut is_event) = (false, false);
        let mut is_blank = true;
        let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
        for line in lines.filter(|line| !line.is_empty()) {
            is_blank = false;
            let (name, value) = match line.iter().position(|byte| *byte == b':') {
                Some(colon) => (&line[..colon], &line[colon + 1..]),
                None => (line, &[][..]),
            };
            match name {
                b"id" => {
                    id = std::str::from_utf8(value)
                        .ok()
                        .and_then(|v| v.trim().parse().ok());
                    has_content = true;
                }
                b"data" => has_content = true,
                // An empty name is that of a comment.
                b"event" | b"retry" | b"" => is_event = true,
                _ => {}
            }
        }
        match (has_content, is_event || is_blank) {
            (true, _) => Ok(Self::Content { id }),
            (false, true) => Ok(Self::Comment),
            (false, false) => Err(EventError::NotAnEvent),
        }
    }
}
