//! The connection that carries one attempt.

use std::collections::VecDeque;

use futures_util::StreamExt;
use jujubebeam_caller::headers;
use jujubebeam_core::RequestId;
use jujubebeam_core::request::Attempt;
use ntex::client::ClientResponse;
use ntex::time::{Millis, timeout};

use super::sse::{EngineEvent, SseParser, parse};
use crate::caller::refusals;

/// A stream that is silent for this time is treated as cut.
pub(super) const SILENCE: Millis = Millis(30_000);

/// Form of an attempt id in headers and towards engines.
pub(super) fn attempt_text(request: RequestId, attempt: Attempt) -> String {
    format!("{}-{}", refusals::id_text(request), attempt.0)
}

/// Answer of an engine while it is read.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) attempt: Attempt,
    response: ClientResponse,
    parser: SseParser,
    parsed: VecDeque<String>,
}

impl Connection {
    pub(super) fn new(attempt: Attempt, response: ClientResponse) -> Self {
        Self {
            attempt,
            response,
            parser: SseParser::default(),
            parsed: VecDeque::new(),
        }
    }

    /// Attempt that the answer names, if it belongs to this request.
    pub(super) fn echoed(&self, request: RequestId) -> Option<Attempt> {
        let echoed = self.response.headers().get(headers::ATTEMPT)?;
        let expected = attempt_text(request, self.attempt);
        (echoed.as_bytes() == expected.as_bytes()).then_some(self.attempt)
    }

    /// Next event, or `None` at the end of the stream. Dropping the future loses no event.
    pub(super) async fn next(&mut self) -> Option<EngineEvent> {
        loop {
            if let Some(data) = self.parsed.pop_front() {
                return Some(parse(&data));
            }
            let bytes = timeout(SILENCE, self.response.next()).await.ok()??.ok()?;
            self.parsed.extend(self.parser.push(&bytes)?);
        }
    }
}
