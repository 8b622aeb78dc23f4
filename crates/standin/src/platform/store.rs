//! In-memory key-value store with the interface of etcd's JSON gateway.

use std::collections::BTreeMap;
use std::sync::Mutex;

use jujubebeam_store::wire::{
    Compare, Header, Int64, KeyValue, PutRequest, RangeRequest, RangeResponse, ResponseOp,
    TxnRequest, TxnResponse, paths,
};
use ntex::web::{self, HttpResponse, ServiceConfig};

use super::PlatformState;

/// The store's content.
#[derive(Debug, Default)]
pub(crate) struct Store {
    content: Mutex<Content>,
}

#[derive(Debug, Default)]
struct Content {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
}

/// Adds the store's routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route(paths::RANGE, web::post().to(range))
        .route(paths::TXN, web::post().to(txn));
}

async fn range(platform: PlatformState, request: web::types::Json<RangeRequest>) -> HttpResponse {
    let content = platform.store.lock();
    HttpResponse::Ok().json(&content.range(&request))
}

async fn txn(platform: PlatformState, request: web::types::Json<TxnRequest>) -> HttpResponse {
    let mut content = platform.store.lock();
    HttpResponse::Ok().json(&content.txn(&request))
}

impl Store {
    fn lock(&self) -> std::sync::MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Content {
    fn header(&self) -> Header {
        Header {
            revision: Int64(self.revision),
        }
    }

    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let start = request.key.0.clone();
        let kvs = if request.range_end.0.is_empty() {
            self.keys.get(&start).cloned().into_iter().collect()
        } else {
            self.keys
                .range(start..request.range_end.0.clone())
                .map(|(_, kv)| kv.clone())
                .collect()
        };
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let current = self.keys.get(&compare.key.0);
        let actual = match compare.target.as_str() {
            "CREATE" => current.map_or(Int64(0), |kv| kv.create_revision),
            _ => current.map_or(Int64(0), |kv| kv.mod_revision),
        };
        let expected = compare.create_revision.or(compare.mod_revision);
        expected == Some(actual)
    }

    fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let operations = if succeeded {
            self.revision += 1;
            &request.success
        } else {
            &request.failure
        };
        let mut responses = Vec::new();
        for operation in operations {
            if let Some(put) = &operation.request_put {
                self.put(put);
            }
            if let Some(delete) = &operation.request_delete_range {
                self.keys.remove(&delete.key.0);
            }
            responses.push(ResponseOp {
                response_range: operation.request_range.as_ref().map(|r| self.range(r)),
            });
        }
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn put(&mut self, put: &PutRequest) {
        let revision = Int64(self.revision);
        let entry = self
            .keys
            .entry(put.key.0.clone())
            .or_insert_with(|| KeyValue {
                key: put.key.clone(),
                create_revision: revision,
                ..KeyValue::default()
            });
        entry.mod_revision = revision;
        entry.version = Int64(entry.version.0 + 1);
        entry.value = put.value.clone();
        entry.lease = put.lease;
    }
}
