//! Parses server-sent events.

use jujubebeam_caller::{SSE_DONE, Usage};
use serde_json::Value;

/// Longest event; a longer one is treated as a broken stream.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Collects bytes until an event is complete.
#[derive(Debug, Default)]
pub(super) struct SseParser {
    buffer: Vec<u8>,
    data: Vec<u8>,
}

impl SseParser {
    /// Adds bytes and returns the data of the events that are now complete, or `None` if an event
    /// is too long.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|b| *b == b'\n') {
            let line = &self.buffer[start..start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            start += length + 1;
            if let Some(value) = line.strip_prefix(b"data:") {
                if !self.data.is_empty() {
                    self.data.push(b'\n');
                }
                self.data
                    .extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                events.push(String::from_utf8_lossy(&data).into_owned());
            }
        }
        self.buffer.drain(..start);
        let held = self.buffer.len() + self.data.len();
        (held <= EVENT_LIMIT_BYTES).then_some(events)
    }
}

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum EngineEvent {
    /// A chunk.
    Chunk(Chunk),
    /// The end mark.
    Done,
    /// An error or something that is not a chunk.
    Broken,
}

/// A chunk with the parts that decisions need.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Chunk {
    /// The chunk as it was sent.
    pub(super) value: Value,
    /// New text.
    pub(super) text: String,
    /// Whether the delta holds something other than text and the author's role.
    pub(super) has_other: bool,
    /// Why generation ended.
    pub(super) finish: Option<String>,
    /// Token counts.
    pub(super) usage: Option<Usage>,
}

/// Reads the data of an event.
pub(super) fn parse(data: &str) -> EngineEvent {
    if data.trim() == SSE_DONE {
        return EngineEvent::Done;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return EngineEvent::Broken;
    };
    if !value.is_object() || value.get("error").is_some() {
        return EngineEvent::Broken;
    }
    let choice = &value["choices"][0];
    let delta = choice["delta"].as_object();
    let is_other =
        |(name, value): (&String, &Value)| name != "content" && name != "role" && !value.is_null();
    EngineEvent::Chunk(Chunk {
        text: choice["delta"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        has_other: delta.is_some_and(|d| d.iter().any(is_other)),
        finish: choice["finish_reason"].as_str().map(str::to_owned),
        usage: serde_json::from_value(value["usage"].clone()).ok(),
        value,
    })
}
