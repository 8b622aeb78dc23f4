//! In-memory key-value store with the interface of etcd's JSON gateway.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use jujubebeam_store::wire::{
    Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest, Streamed, TxnRequest,
    paths,
};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use super::store_calls::{CallCounts, Calls, RateConfig};
use super::store_content::Content;
use super::{PlatformState, store_watch};
use crate::control::lock;

/// Path that forgets old changes.
const COMPACTION_PATH: &str = "/v3/kv/compaction";
/// Time after which a lost answer's connection is given up; longer than any client waits.
const LOST_ANSWER: Duration = Duration::from_secs(30);

/// Faults of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct StoreFaults {
    /// Answers nothing with success and ends watches.
    pub(crate) outage: bool,
    /// Delays each answer. The call takes effect at once.
    pub(crate) delay_ms: u64,
    /// Number of writes whose answers get lost after they took effect.
    pub(crate) lose_answers: u32,
    /// Loses only answers of calls with this text in a key or of this kind.
    pub(crate) lose_answers_of: String,
    /// Writes per second; 0 means the default.
    pub(crate) writes_per_s: u32,
    /// Reads per second; 0 means the default.
    pub(crate) reads_per_s: u32,
}

impl StoreFaults {
    fn rate(&self) -> RateConfig {
        let default = RateConfig::default();
        let or = |value, default| if value == 0 { default } else { value };
        RateConfig {
            writes_per_s: or(self.writes_per_s, default.writes_per_s),
            reads_per_s: or(self.reads_per_s, default.reads_per_s),
        }
    }
}

/// The store.
#[derive(Debug)]
pub(crate) struct Store {
    content: Mutex<Content>,
    calls: Mutex<Calls>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            content: Mutex::default(),
            calls: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Store {
    pub(crate) fn content(&self) -> MutexGuard<'_, Content> {
        lock(&self.content)
    }

    pub(crate) fn calls(&self) -> MutexGuard<'_, Calls> {
        lock(&self.calls)
    }

    /// Wakes all watches.
    pub(crate) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(crate) fn counts(&self) -> CallCounts {
        self.calls().counts.clone()
    }

    /// Ends leases whose time is over.
    pub(crate) fn expire(&self) {
        let mut content = self.content();
        let before = content.revision();
        content.expire(Instant::now());
        if content.revision() != before {
            self.wake();
        }
    }
}

/// Adds the store's routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route(paths::RANGE, web::post().to(range))
        .route(paths::TXN, web::post().to(txn))
        .route(paths::LEASE_GRANT, web::post().to(grant))
        .route(paths::LEASE_KEEPALIVE, web::post().to(keep_alive))
        .route(paths::LEASE_REVOKE, web::post().to(revoke))
        .route(paths::WATCH, web::post().to(store_watch::open))
        .route(COMPACTION_PATH, web::post().to(compact));
}

/// Applies outage and rate before a call has any effect.
pub(crate) fn admit(
    platform: &PlatformState,
    kind: &'static str,
    write: bool,
) -> Result<(), HttpResponse> {
    let faults = lock(&platform.faults).store.clone();
    if faults.outage {
        return Err(unavailable());
    }
    if !platform.store.calls().admit(kind, write, faults.rate()) {
        let mut builder = HttpResponse::TooManyRequests();
        builder.header("retry-after", "1");
        return Err(builder.json(&json!({"error": "etcdserver: too many requests"})));
    }
    platform.store.expire();
    Ok(())
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(&json!({"error": "etcdserver: no leader"}))
}

/// Sends an answer, late or not at all if such a fault is set. `subject` is the kind and keys of
/// the call.
async fn deliver(platform: &PlatformState, subject: &str, answer: HttpResponse) -> HttpResponse {
    let delay = Duration::from_millis(lock(&platform.faults).store.delay_ms);
    if take_loss(platform, subject) {
        tokio::time::sleep(LOST_ANSWER).await;
        return unavailable();
    }
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    answer
}

fn take_loss(platform: &PlatformState, subject: &str) -> bool {
    let faults = &mut lock(&platform.faults).store;
    if faults.lose_answers == 0 || subject.is_empty() {
        return false;
    }
    if !subject.contains(faults.lose_answers_of.as_str()) {
        return false;
    }
    faults.lose_answers -= 1;
    true
}

async fn range(platform: PlatformState, request: web::types::Json<RangeRequest>) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "range", false) {
        return refusal;
    }
    let answer = HttpResponse::Ok().json(&platform.store.content().range(&request));
    deliver(&platform, "", answer).await
}

async fn txn(platform: PlatformState, request: web::types::Json<TxnRequest>) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "txn", true) {
        return refusal;
    }
    let result = platform.store.content().txn(&request);
    platform.store.wake();
    let answer = match result {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(reason) => HttpResponse::BadRequest().json(&json!({ "error": reason })),
    };
    let mut subject = String::from("txn");
    for operation in &request.success {
        if let Some(put) = &operation.request_put {
            subject.push(' ');
            subject.push_str(&String::from_utf8_lossy(&put.key.0));
        }
    }
    deliver(&platform, &subject, answer).await
}

async fn grant(
    platform: PlatformState,
    request: web::types::Json<LeaseGrantRequest>,
) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "lease_grant", true) {
        return refusal;
    }
    let answer = {
        let mut content = platform.store.content();
        let id = content.grant(request.id.0, request.ttl.0, Instant::now());
        match id {
            Some(id) => HttpResponse::Ok().json(&LeaseResponse {
                header: content.header(),
                id: Int64(id),
                ttl: Int64(request.ttl.0.max(1)),
            }),
            None => HttpResponse::BadRequest()
                .json(&json!({"error": "etcdserver: lease already exists"})),
        }
    };
    deliver(&platform, "lease_grant", answer).await
}

async fn keep_alive(
    platform: PlatformState,
    request: web::types::Json<LeaseRequest>,
) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "lease_keepalive", true) {
        return refusal;
    }
    let result = {
        let mut content = platform.store.content();
        LeaseResponse {
            ttl: Int64(content.keep_alive(request.id.0, Instant::now())),
            header: content.header(),
            id: request.id,
        }
    };
    let answer = HttpResponse::Ok().json(&Streamed { result });
    deliver(&platform, "lease_keepalive", answer).await
}

async fn revoke(platform: PlatformState, request: web::types::Json<LeaseRequest>) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "lease_revoke", true) {
        return refusal;
    }
    let revoked = platform.store.content().revoke(request.id.0);
    platform.store.wake();
    let answer = if revoked {
        HttpResponse::Ok().json(&json!({"header": platform.store.content().header()}))
    } else {
        HttpResponse::NotFound().json(&json!({"error": "etcdserver: requested lease not found"}))
    };
    deliver(&platform, "lease_revoke", answer).await
}

#[derive(Deserialize)]
struct CompactionRequest {
    revision: Int64,
}

async fn compact(
    platform: PlatformState,
    request: web::types::Json<CompactionRequest>,
) -> HttpResponse {
    if let Err(refusal) = admit(&platform, "compaction", true) {
        return refusal;
    }
    platform.store.content().compact(request.revision.0);
    platform.store.wake();
    let answer = HttpResponse::Ok().json(&json!({"header": platform.store.content().header()}));
    deliver(&platform, "compaction", answer).await
}
