//! What the caller receives.

use std::convert::Infallible;

use futures_util::stream;
use jujubebeam_caller::{
    CallerError, ChatAnswer, ChatChunk, ChatDelta, ChunkChoice, ErrorBody, ErrorKind, SSE_DONE,
    Usage, headers,
};
use jujubebeam_core::RequestId;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde_json::Value;
use tokio::sync::mpsc::Receiver;

use crate::caller::refusals;

/// One part of the answer.
#[derive(Debug)]
pub(super) enum Output {
    /// Events of a stream.
    Events(Bytes),
    /// A whole answer.
    Whole(Box<ChatAnswer>),
    /// The final error.
    Error(CallerError),
}

/// Builds the answer from its first part on.
pub(super) async fn respond(
    mut parts: Receiver<Output>,
    id: RequestId,
) -> Result<HttpResponse, CallerError> {
    let id_text = refusals::id_text(id);
    let first = match parts.recv().await {
        Some(Output::Events(events)) => events,
        Some(Output::Whole(answer)) => {
            let mut builder = HttpResponse::Ok();
            builder.header(headers::REQUEST_ID, id_text);
            return Ok(builder.json(&answer));
        }
        Some(Output::Error(error)) => return Err(error),
        None => {
            return Err(CallerError::may_have_run(
                ErrorKind::TargetFailed,
                "the request ended without an answer",
                "send the request again",
            ));
        }
    };
    let rest = stream::unfold((Some(first), parts), move |(first, mut parts)| async move {
        if let Some(first) = first {
            return Some((Ok::<_, Infallible>(first), (None, parts)));
        }
        let bytes = match parts.recv().await? {
            Output::Events(events) => events,
            Output::Whole(_) => return None,
            Output::Error(error) => error_event(error, id),
        };
        Some((Ok(bytes), (None, parts)))
    });
    let mut builder = HttpResponse::Ok();
    builder.header(headers::REQUEST_ID, id_text);
    builder.content_type("text/event-stream");
    Ok(builder.streaming(Box::pin(rest)))
}

/// Name of the answer towards the caller, the same for all attempts.
pub(super) fn answer_id(id: RequestId) -> String {
    format!("chatcmpl-{}", refusals::id_text(id))
}

/// A chunk of an engine under the name of the answer, without the parts that end an answer.
pub(super) fn chunk_event(mut chunk: Value, id: RequestId) -> Bytes {
    chunk["id"] = Value::String(answer_id(id));
    if let Some(chunk) = chunk.as_object_mut() {
        chunk.remove("usage");
    }
    if let Some(choice) = chunk["choices"].get_mut(0) {
        choice["finish_reason"] = Value::Null;
    }
    event(&chunk.to_string())
}

/// The chunk that ends an answer, with the end mark.
pub(super) fn last_events(id: RequestId, model: &str, reason: String, usage: Usage) -> Bytes {
    let chunk = ChatChunk {
        id: answer_id(id),
        object: "chat.completion.chunk".into(),
        model: model.to_owned(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: ChatDelta::default(),
            finish_reason: Some(reason),
        }],
        usage: Some(usage),
    };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\ndata: {SSE_DONE}\n\n"))
}

/// A stream that ends with an error has no end mark, so it cannot be taken for a whole answer.
fn error_event(error: CallerError, id: RequestId) -> Bytes {
    let error = error.request_id(refusals::id_text(id));
    let json = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
    event(&json)
}

fn event(json: &str) -> Bytes {
    Bytes::from(format!("data: {json}\n\n"))
}
