//! Export and import of KV cache between engines.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_engine::{EngineAnswer, KvExportRequest, KvHandle, KvImportRequest};
use jujubebeam_http::{HttpClientConfig, JsonClient, build_client};
use ntex::web::{self, HttpResponse};

use super::EngineState;
use crate::control::lock;

/// Serves an exported cache to another engine.
pub(crate) const EXPORTED_PATH: &str = "/kv/exported/{handle}";
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles of exported and imported caches.
#[derive(Debug, Default)]
pub(crate) struct KvCaches {
    exported: BTreeMap<String, KvHandle>,
    imported: BTreeMap<String, KvHandle>,
}

impl KvCaches {
    /// Uses an imported cache. It can be used once.
    pub(crate) fn take_imported(&mut self, handle: &str) -> Option<KvHandle> {
        self.imported.remove(handle)
    }
}

/// Exports the cache of an attempt, which stops generating.
pub(crate) async fn export(
    engine: EngineState,
    request: web::types::Json<KvExportRequest>,
) -> HttpResponse {
    let Some(sequence) = lock(&engine.batch).remove(&request.attempt_id) else {
        return HttpResponse::NotFound().finish();
    };
    let context_tokens = sequence.prompt_tokens + sequence.next - sequence.to_prefill;
    let handle = KvHandle {
        handle: format!("{}-{}", engine.incarnation.0, request.attempt_id),
        size_bytes: context_tokens * engine.config.kv_bytes_per_token,
        context_tokens,
    };
    let mut caches = lock(&engine.kv);
    caches
        .exported
        .insert(handle.handle.clone(), handle.clone());
    let exported = request.attempt_id.clone();
    lock(&engine.records).exported.push(exported);
    HttpResponse::Ok().json(&handle)
}

/// Hands an exported cache to another engine.
pub(crate) async fn exported(
    engine: EngineState,
    handle: web::types::Path<String>,
) -> HttpResponse {
    match lock(&engine.kv).exported.get(handle.as_str()) {
        Some(handle) => HttpResponse::Ok().json(handle),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Fetches a cache from another engine.
pub(crate) async fn import(
    engine: EngineState,
    request: web::types::Json<KvImportRequest>,
) -> HttpResponse {
    let request = request.into_inner();
    let client = build_client(HttpClientConfig::default()).await;
    let source = JsonClient::new(client, &request.source_address, FETCH_TIMEOUT);
    let path = EXPORTED_PATH.replace("{handle}", &request.handle.handle);
    let fetched = source.get::<KvHandle>(&path).await;
    let done = fetched.is_ok_and(|answer| answer.body == request.handle);
    if done {
        let seconds = request.handle.size_bytes as f64 / engine.config.import_bytes_per_s as f64;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        let name = request.handle.handle.clone();
        lock(&engine.records).imported.push(name.clone());
        lock(&engine.kv).imported.insert(name, request.handle);
    }
    HttpResponse::Ok().json(&EngineAnswer { done })
}
