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
    /// Lines that are no fields of an event, such as the text of an error, alone or after fields.
    #[strum(to_string = "text that is not an event")]
    NotAnEvent,
    /// The first new event of a continuation has no id, so it may be one that was forwarded.
    #[strum(to_string = "continued with an event without an id")]
    MissingId,
    /// A continuation skips ids of a stream whose ids are consecutive.
    #[strum(to_string = "continued with a gap between ids")]
    SkippedId,
    /// The ids of a continuation do not increase.
    #[strum(to_string = "continued with ids that do not increase")]
    UnorderedId,
    /// A continuation ended without a new event, which does not prove that the stream is complete.
    #[strum(to_string = "continued without a new event")]
    NothingNew,
}

/// Splits a stream into complete events, so that a broken stream can continue at an event boundary.
///
/// In a continuation, events that were forwarded before are dropped, and the others must follow
/// them.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    boundaries: BoundaryScanner,
    position: StreamPosition,
    part: StreamPart,
}

/// Which part of a stream a target sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StreamPart {
    #[default]
    First,
    /// A continuation of which no new event has arrived.
    ContinuationStart,
    Continuation,
}

/// Complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    /// Whether one of them has data or an id. Comments only keep a connection alive.
    pub(crate) has_content: bool,
}

impl EventSplitter {
    /// Creates the splitter of a continuation of a stream.
    pub(crate) fn after(position: StreamPosition) -> Self {
        Self {
            position,
            part: StreamPart::ContinuationStart,
            ..Self::default()
        }
    }

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
            let admitted = EventKind::of(&self.partial[..end]).and_then(|kind| self.admit(kind));
            match admitted {
                // The next call finds the same event.
                Err(_) if !bytes.is_empty() => {
                    self.boundaries.rewind();
                    break;
                }
                Err(error) => return Err(error),
                Ok(admission) => {
                    let event = self.partial.split_to(end);
                    self.boundaries.rewind();
                    if admission != Admission::Dropped {
                        bytes.unsplit(event);
                    }
                    has_content |= admission == Admission::Content;
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
        if !self.partial.is_empty() {
            return Err(EventError::Incomplete);
        }
        match self.part {
            StreamPart::ContinuationStart => Err(EventError::NothingNew),
            StreamPart::First | StreamPart::Continuation => Ok(()),
        }
    }

    /// Position after the last complete event.
    pub(crate) fn position(&self) -> StreamPosition {
        self.position
    }

    fn admit(&mut self, kind: EventKind) -> Result<Admission, EventError> {
        let EventKind::Content { id } = kind else {
            return Ok(Admission::Comment);
        };
        if self.part != StreamPart::First {
            let is_start = self.part == StreamPart::ContinuationStart;
            match id {
                None if is_start => return Err(EventError::MissingId),
                None => {}
                Some(id) if self.position.includes(id) && is_start => {
                    return Ok(Admission::Dropped);
                }
                Some(id) if self.position.includes(id) => return Err(EventError::UnorderedId),
                Some(id) if self.position.skips_to(id) => return Err(EventError::SkippedId),
                Some(_) => {}
            }
            self.part = StreamPart::Continuation;
        }
        self.position.advance(id);
        Ok(Admission::Content)
    }
}

/// What happens to a complete event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    Content,
    Comment,
    /// It was forwarded before.
    Dropped,
}

/// Position in a stream after the events that were forwarded.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamPosition {
    /// Highest id.
    last_id: Option<u64>,
    /// Whether the last event has an id.
    ends_with_id: bool,
    order: IdOrder,
}

/// How the ids of a stream's events have changed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum IdOrder {
    /// There are fewer than two.
    #[default]
    Unknown,
    /// Always by one.
    Consecutive,
    Increasing,
    Unordered,
}

impl StreamPosition {
    /// Highest id of the forwarded events, for the log.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Id after which another target can continue. There is none if the last id does not state
    /// which events were forwarded.
    pub(crate) fn resume_id(&self) -> Option<u64> {
        let is_exact = self.ends_with_id && self.order != IdOrder::Unordered;
        self.last_id.filter(|_| is_exact)
    }

    fn includes(&self, id: u64) -> bool {
        self.last_id.is_some_and(|last| id <= last)
    }

    /// Whether an id of a stream with consecutive ids would be missing before this one.
    fn skips_to(&self, id: u64) -> bool {
        self.order == IdOrder::Consecutive && !self.is_next(id)
    }

    fn is_next(&self, id: u64) -> bool {
        self.last_id.and_then(|last| last.checked_add(1)) == Some(id)
    }

    fn advance(&mut self, id: Option<u64>) {
        self.ends_with_id = id.is_some();
        let Some(id) = id else {
            return;
        };
        self.order = match (self.last_id, self.order) {
            (None, _) => IdOrder::Unknown,
            (Some(last), _) if id <= last => IdOrder::Unordered,
            (_, IdOrder::Unordered) => IdOrder::Unordered,
            (_, IdOrder::Unknown | IdOrder::Consecutive) if self.is_next(id) => {
                IdOrder::Consecutive
            }
            _ => IdOrder::Increasing,
        };
        self.last_id = self.last_id.max(Some(id));
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
        let (mut has_content, mut has_field, mut has_other) = (false, false, false);
        let mut ends_with_other = false;
        let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = match line.iter().position(|byte| *byte == b':') {
                Some(colon) => (&line[..colon], &line[colon + 1..]),
                None => (line, &[][..]),
            };
            ends_with_other = false;
            match name {
                b"id" => {
                    id = std::str::from_utf8(value)
                        .ok()
                        .and_then(|v| v.trim().parse().ok());
                    (has_content, has_field) = (true, true);
                }
                b"data" => (has_content, has_field) = (true, true),
                b"event" | b"retry" => has_field = true,
                // An empty name is that of a comment.
                b"" => {}
                _ => (has_other, ends_with_other) = (true, true),
            }
        }
        // Targets put other lines before the data of an event. At its end they are the text of an
        // error that follows a part of the event.
        match (has_content, has_field || !has_other) {
            _ if has_field && ends_with_other => Err(EventError::NotAnEvent),
            (true, _) => Ok(Self::Content { id }),
            (false, true) => Ok(Self::Comment),
            (false, false) => Err(EventError::NotAnEvent),
        }
    }
}
