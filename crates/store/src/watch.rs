//! Watches a prefix of the store.

use std::fmt;

use futures_util::StreamExt;
use jujubebeam_core::Revision;
use jujubebeam_core::store::Entry;
use jujubebeam_http::CallError;
use ntex::client::ClientResponse;
use ntex::time::Millis;
use ntex::util::BytesMut;

use crate::client::StoreClient;
use crate::wire::{
    Base64, Int64, Streamed, WatchCreate, WatchRequest, WatchResponse, paths, prefix_end,
};

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// The key with its new value, or with an empty value if it was deleted.
    pub entry: Entry,
    /// Whether the key was deleted.
    pub deleted: bool,
}

/// Why a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// The connection ended or could not be opened.
    Call(CallError),
    /// The store has compacted the changes since the requested revision; list the keys and watch
    /// again.
    Compacted,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Call(e) => write!(f, "watch ended: {e}"),
            WatchError::Compacted => {
                f.write_str("watch start is too old; list the keys and watch again")
            }
        }
    }
}

impl std::error::Error for WatchError {}

impl From<CallError> for WatchError {
    fn from(error: CallError) -> Self {
        WatchError::Call(error)
    }
}

/// An open watch.
#[derive(Debug)]
pub struct Watcher {
    response: ClientResponse,
    buffer: BytesMut,
}

impl StoreClient {
    /// Watches all keys with a prefix, starting at a revision.
    pub async fn watch(&self, prefix: &str, from: Revision) -> Result<Watcher, WatchError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: Base64(prefix.as_bytes().to_vec()),
                range_end: Base64(prefix_end(prefix)),
                start_revision: Int64(from.0 as i64),
            },
        };
        let response = self
            .json()
            .http()
            .post(self.json().url(paths::WATCH))
            .timeout(Millis::ZERO)
            .send_json(&request)
            .await
            .map_err(CallError::from)?;
        if !response.status().is_success() {
            return Err(WatchError::Call(CallError::Status {
                code: response.status().as_u16(),
                retry_after_s: None,
                body: String::new(),
                header: None,
            }));
        }
        Ok(Watcher {
            response,
            buffer: BytesMut::new(),
        })
    }
}

impl Watcher {
    /// Waits for the next changes and returns them with the revision of the store.
    pub async fn next(&mut self) -> Result<(Vec<WatchEvent>, Revision), WatchError> {
        loop {
            if let Some(line) = self.take_line() {
                return parse_line(&line);
            }
            match self.response.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(e)) => return Err(CallError::NoAnswer(e.to_string()).into()),
                None => return Err(CallError::NoAnswer("stream ended".into()).into()),
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|b| *b == b'\n')?;
        let line = self.buffer.split_to(end + 1);
        Some(line.to_vec())
    }
}

fn parse_line(line: &[u8]) -> Result<(Vec<WatchEvent>, Revision), WatchError> {
    let message: Streamed<WatchResponse> =
        serde_json::from_slice(line).map_err(|e| CallError::Malformed(e.to_string()))?;
    let message = message.result;
    if message.compact_revision.0 > 0 {
        return Err(WatchError::Compacted);
    }
    if message.canceled {
        return Err(CallError::NoAnswer("watch cancelled by the store".into()).into());
    }
    let events = message
        .events
        .into_iter()
        .map(|e| WatchEvent {
            deleted: e.kind == "DELETE",
            entry: e.kv.into_entry(),
        })
        .collect();
    Ok((events, Revision(message.header.revision.0 as u64)))
}
