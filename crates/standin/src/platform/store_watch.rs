//! Watches of the store: one JSON message per line.

use std::io;
use std::sync::Arc;

use futures_util::stream;
use jujubebeam_store::wire::{Int64, RangeRequest, Streamed, WatchRequest, WatchResponse};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use tokio::sync::watch::Receiver;

use super::{Platform, PlatformState, store};
use crate::control::lock;

struct Watch {
    platform: Arc<Platform>,
    range: RangeRequest,
    next: i64,
    changed: Receiver<u64>,
    created: bool,
    ended: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.platform.store.calls().counts.open_watches -= 1;
    }
}

/// Opens a watch.
pub(crate) async fn open(
    platform: PlatformState,
    request: web::types::Json<WatchRequest>,
) -> HttpResponse {
    if let Err(refusal) = store::admit(&platform, "watch", false) {
        return refusal;
    }
    let create = request.into_inner().create_request;
    platform.store.calls().counts.open_watches += 1;
    let next = match create.start_revision.0 {
        0 => platform.store.content().revision() + 1,
        start => start,
    };
    let watch = Watch {
        range: RangeRequest {
            key: create.key,
            range_end: create.range_end,
            ..RangeRequest::default()
        },
        next,
        changed: platform.store.subscribe(),
        created: false,
        ended: false,
        platform: Arc::clone(&platform),
    };
    let lines = stream::unfold(watch, async |mut watch| {
        let line = watch.next_line().await?;
        Some((line, watch))
    });
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(Box::pin(lines))
}

impl Watch {
    async fn next_line(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.ended {
            return None;
        }
        if !self.created {
            self.created = true;
            return Some(Ok(self.message(|message| message.created = true)));
        }
        loop {
            self.changed.borrow_and_update();
            if lock(&self.platform.faults).store.outage {
                self.ended = true;
                return Some(Err(io::Error::other("store outage")));
            }
            if let Some(line) = self.poll() {
                return Some(Ok(line));
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn poll(&mut self) -> Option<Bytes> {
        let (events, revision) = {
            let content = self.platform.store.content();
            (content.changes(&self.range, self.next), content.revision())
        };
        match events {
            Ok(events) => {
                self.next = self.next.max(revision + 1);
                if events.is_empty() {
                    return None;
                }
                Some(self.message(|message| message.events = events))
            }
            Err(oldest) => {
                self.ended = true;
                Some(self.message(|message| {
                    message.canceled = true;
                    message.compact_revision = Int64(oldest);
                }))
            }
        }
    }

    fn message(&self, fill: impl FnOnce(&mut WatchResponse)) -> Bytes {
        let mut result = WatchResponse {
            header: self.platform.store.content().header(),
            ..WatchResponse::default()
        };
        fill(&mut result);
        let mut line = serde_json::to_vec(&Streamed { result }).unwrap_or_default();
        line.push(b'\n');
        Bytes::from(line)
    }
}
