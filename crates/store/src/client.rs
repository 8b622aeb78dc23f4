//! Executes the store operations that the state machines request.

use std::time::Duration;

use jujubebeam_core::Revision;
use jujubebeam_core::store::{Entry, Expected, Guard, LeaseId, StoreOp, StoreReply};
use jujubebeam_http::{CallError, JsonClient};
use ntex::client::Client;

use crate::wire::{
    Base64, Compare, DeleteRangeRequest, Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse,
    PutRequest, RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest, TxnResponse, paths,
    prefix_end,
};

/// Settings of the store client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreClientConfig {
    /// Timeout of one call, after which its result counts as unknown.
    pub timeout: Duration,
}

impl Default for StoreClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(800),
        }
    }
}

/// Client of the key-value store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    json: JsonClient,
}

impl StoreClient {
    /// Creates a client for the store at `address`.
    pub fn new(client: Client, address: &str, config: StoreClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.timeout),
        }
    }

    pub(crate) fn json(&self) -> &JsonClient {
        &self.json
    }

    /// Executes one operation. Errors are mapped to [`StoreReply::Unknown`] or [`StoreReply::Refused`].
    pub async fn perform(&self, op: StoreOp) -> StoreReply {
        let result = match op {
            StoreOp::Get { key } => self.get(key).await,
            StoreOp::List { prefix } => self.list(prefix, Revision(0)).await,
            StoreOp::ListSince { prefix, after } => self.list(prefix, after).await,
            StoreOp::Cas {
                key,
                expected,
                value,
                lease,
                guard,
            } => self.cas(key, expected, value, lease, guard).await,
            StoreOp::CreateAll { entries, lease } => self.create_all(entries, lease).await,
            StoreOp::Delete { key, expected } => self.delete(key, expected).await,
            StoreOp::GrantLease { ttl } => self.grant_lease(ttl).await,
            StoreOp::KeepAlive { lease } => self.keep_alive(lease).await,
            StoreOp::Revoke { lease } => self.revoke(lease).await,
        };
        result.unwrap_or_else(|e| reply_for_error(&e))
    }

    async fn get(&self, key: String) -> Result<StoreReply, CallError> {
        let request = RangeRequest {
            key: Base64(key.into_bytes()),
            ..RangeRequest::default()
        };
        let answer: RangeResponse = self.json.post(paths::RANGE, &request).await?.body;
        Ok(StoreReply::Value {
            store: revision(answer.header.revision),
            entry: answer.kvs.into_iter().next().map(|kv| kv.into_entry()),
        })
    }

    async fn list(&self, prefix: String, after: Revision) -> Result<StoreReply, CallError> {
        let request = RangeRequest {
            range_end: Base64(prefix_end(&prefix)),
            key: Base64(prefix.into_bytes()),
            min_mod_revision: Int64(match after.0 {
                0 => 0,
                after => after as i64 + 1,
            }),
        };
        let answer: RangeResponse = self.json.post(paths::RANGE, &request).await?.body;
        Ok(StoreReply::Values {
            store: revision(answer.header.revision),
            entries: answer.kvs.into_iter().map(|kv| kv.into_entry()).collect(),
        })
    }

    async fn cas(
        &self,
        key: String,
        expected: Expected,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        guard: Option<Guard>,
    ) -> Result<StoreReply, CallError> {
        let mut compare = vec![compare_key(&key, expected)];
        if let Some(guard) = guard {
            compare.push(compare_created(&guard.key, guard.created));
        }
        let request = TxnRequest {
            compare,
            success: vec![put(&key, value, lease)],
            failure: vec![read(&key)],
        };
        self.txn(&request).await
    }

    async fn create_all(
        &self,
        entries: Vec<(String, Vec<u8>)>,
        lease: Option<LeaseId>,
    ) -> Result<StoreReply, CallError> {
        let compare = entries
            .iter()
            .map(|(key, _)| compare_key(key, Expected::Absent))
            .collect();
        let failure = entries.iter().map(|(key, _)| read(key)).collect();
        let success = entries
            .into_iter()
            .map(|(key, value)| put(&key, value, lease))
            .collect();
        let request = TxnRequest {
            compare,
            success,
            failure,
        };
        self.txn(&request).await
    }

    async fn delete(&self, key: String, expected: Revision) -> Result<StoreReply, CallError> {
        let request = TxnRequest {
            compare: vec![compare_key(&key, Expected::At(expected))],
            success: vec![RequestOp {
                request_delete_range: Some(DeleteRangeRequest {
                    key: Base64(key.clone().into_bytes()),
                }),
                ..RequestOp::default()
            }],
            failure: vec![read(&key)],
        };
        self.txn(&request).await
    }

    async fn txn(&self, request: &TxnRequest) -> Result<StoreReply, CallError> {
        let answer: TxnResponse = self.json.post(paths::TXN, request).await?.body;
        let store = revision(answer.header.revision);
        if answer.succeeded {
            return Ok(StoreReply::Written { revision: store });
        }
        Ok(StoreReply::Conflict {
            current: first_entry(answer),
            store,
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<StoreReply, CallError> {
        let request = LeaseGrantRequest {
            // The store counts in whole seconds. Rounding up ensures that a lease never ends early.
            ttl: Int64(ttl.as_secs_f64().ceil() as i64),
            id: Int64(0),
        };
        let answer: LeaseResponse = self.json.post(paths::LEASE_GRANT, &request).await?.body;
        Ok(StoreReply::Granted {
            lease: LeaseId(answer.id.0),
            ttl: Duration::from_secs(answer.ttl.0.max(0) as u64),
        })
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<StoreReply, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let answer: Streamed<LeaseResponse> =
            self.json.post(paths::LEASE_KEEPALIVE, &request).await?.body;
        if answer.result.ttl.0 <= 0 {
            return Ok(StoreReply::Expired);
        }
        Ok(StoreReply::Alive {
            ttl: Duration::from_secs(answer.result.ttl.0 as u64),
        })
    }

    async fn revoke(&self, lease: LeaseId) -> Result<StoreReply, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let answer: Result<_, CallError> = self
            .json
            .post::<_, serde_json::Value>(paths::LEASE_REVOKE, &request)
            .await;
        match answer {
            Ok(_) => Ok(StoreReply::Revoked),
            Err(CallError::Status { code: 404, .. }) => Ok(StoreReply::Expired),
            Err(e) => Err(e),
        }
    }
}

fn reply_for_error(error: &CallError) -> StoreReply {
    match error {
        CallError::Refused => StoreReply::Refused,
        // The rate limiter rejects a call before the operation starts.
        CallError::Status { code: 429, .. } => StoreReply::Refused,
        _ => StoreReply::Unknown,
    }
}

fn revision(value: Int64) -> Revision {
    Revision(value.0 as u64)
}

fn first_entry(answer: TxnResponse) -> Option<Entry> {
    answer
        .responses
        .into_iter()
        .filter_map(|r| r.response_range)
        .flat_map(|r| r.kvs)
        .next()
        .map(|kv| kv.into_entry())
}

fn compare_key(key: &str, expected: Expected) -> Compare {
    match expected {
        Expected::Absent => compare_created(key, Revision(0)),
        Expected::At(modified) => Compare {
            result: "EQUAL".into(),
            target: "MOD".into(),
            key: Base64(key.as_bytes().to_vec()),
            mod_revision: Some(Int64(modified.0 as i64)),
            create_revision: None,
        },
    }
}

fn compare_created(key: &str, created: Revision) -> Compare {
    Compare {
        result: "EQUAL".into(),
        target: "CREATE".into(),
        key: Base64(key.as_bytes().to_vec()),
        create_revision: Some(Int64(created.0 as i64)),
        mod_revision: None,
    }
}

fn put(key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> RequestOp {
    RequestOp {
        request_put: Some(PutRequest {
            key: Base64(key.as_bytes().to_vec()),
            value: Base64(value),
            lease: Int64(lease.map_or(0, |l| l.0)),
        }),
        ..RequestOp::default()
    }
}

fn read(key: &str) -> RequestOp {
    RequestOp {
        request_range: Some(RangeRequest {
            key: Base64(key.as_bytes().to_vec()),
            ..RangeRequest::default()
        }),
        ..RequestOp::default()
    }
}
