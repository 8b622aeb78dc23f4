//! Client of one engine.

use std::time::Duration;

use jujubebeam_caller::headers;
use jujubebeam_core::targets::{FencedOrder, LoadReport, OrderAnswer};
use jujubebeam_http::{CallError, JsonClient};
use ntex::client::{Client, ClientResponse};
use ntex::time::Millis;

use crate::wire::{
    CacheEvents, CancelRequest, EngineAnswer, EngineRequest, KvExportRequest, KvHandle,
    KvImportRequest, paths,
};

/// Settings of the engine client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineClientConfig {
    /// Timeout of all calls except inference.
    pub control_timeout: Duration,
}

impl Default for EngineClientConfig {
    fn default() -> Self {
        Self {
            control_timeout: Duration::from_secs(1),
        }
    }
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    json: JsonClient,
}

impl EngineClient {
    /// Creates a client for the engine at `address`.
    pub fn new(client: Client, address: &str, config: EngineClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.control_timeout),
        }
    }

    /// Sends an inference request and returns the head of the answer. The caller of this function
    /// reads the body, because it may be a stream.
    pub async fn chat(
        &self,
        request: &EngineRequest,
        traceparent: Option<&str>,
    ) -> Result<ClientResponse, CallError> {
        let body = serde_json::to_vec(request).map_err(|e| CallError::Malformed(e.to_string()))?;
        let mut outgoing = self
            .json
            .http()
            .post(self.json.url(paths::CHAT))
            .timeout(Millis::ZERO)
            .content_type("application/json")
            .header(headers::ATTEMPT, request.attempt_id.as_str());
        if let Some(traceparent) = traceparent {
            outgoing = outgoing.header(headers::TRACEPARENT, traceparent);
        }
        Ok(outgoing.send_body(body).await?)
    }

    /// Reads the load report.
    pub async fn load(&self) -> Result<LoadReport, CallError> {
        Ok(self.json.get(paths::LOAD).await?.body)
    }

    /// Reads the cache events after a sequence number.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, CallError> {
        let path = format!("{}?after={after}", paths::CACHE_EVENTS);
        Ok(self.json.get(&path).await?.body)
    }

    /// Sends an order.
    pub async fn order(&self, order: &FencedOrder) -> Result<OrderAnswer, CallError> {
        Ok(self.json.post(paths::ORDERS, order).await?.body)
    }

    /// Cancels an attempt.
    pub async fn cancel(&self, attempt_id: &str) -> Result<EngineAnswer, CallError> {
        let body = CancelRequest {
            attempt_id: attempt_id.to_owned(),
        };
        Ok(self.json.post(paths::CANCEL, &body).await?.body)
    }

    /// Exports the KV cache of an attempt.
    pub async fn export_kv(&self, attempt_id: &str) -> Result<KvHandle, CallError> {
        let body = KvExportRequest {
            attempt_id: attempt_id.to_owned(),
        };
        Ok(self.json.post(paths::KV_EXPORT, &body).await?.body)
    }

    /// Imports a KV cache from another engine.
    pub async fn import_kv(&self, request: &KvImportRequest) -> Result<EngineAnswer, CallError> {
        Ok(self.json.post(paths::KV_IMPORT, request).await?.body)
    }
}
