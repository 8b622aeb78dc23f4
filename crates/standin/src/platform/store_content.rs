//! Keys, leases and history of the store.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jujubebeam_store::wire::{
    Compare, Event, Header, Int64, KeyValue, PutRequest, RangeRequest, RangeResponse, ResponseOp,
    TxnRequest, TxnResponse,
};

/// Changes that are kept for watches.
const HISTORY_EVENTS: usize = 20_000;
/// Largest value that the store takes.
pub(crate) const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// The store's content.
#[derive(Debug, Default)]
pub(crate) struct Content {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: VecDeque<(i64, Event)>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Content {
    pub(crate) fn header(&self) -> Header {
        Header {
            revision: Int64(self.revision),
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let start = request.key.0.clone();
        let end = &request.range_end.0;
        let mut kvs: Vec<KeyValue> = if end.is_empty() {
            self.keys.get(&start).cloned().into_iter().collect()
        } else if *end == [0] {
            self.keys.range(start..).map(|(_, kv)| kv.clone()).collect()
        } else if start >= *end {
            Vec::new()
        } else {
            let kvs = self.keys.range(start..end.clone());
            kvs.map(|(_, kv)| kv.clone()).collect()
        };
        kvs.retain(|kv| kv.mod_revision >= request.min_mod_revision);
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let current = self.keys.get(&compare.key.0);
        let (actual, expected) = match compare.target.as_str() {
            "CREATE" => (
                current.map(|kv| kv.create_revision),
                compare.create_revision,
            ),
            _ => (current.map(|kv| kv.mod_revision), compare.mod_revision),
        };
        actual.unwrap_or_default() == expected.unwrap_or_default()
    }

    /// Runs a transaction, or names why the store refuses it.
    pub(crate) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, &'static str> {
        self.check(request)?;
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        // Only a transaction that changes something gets a revision of its own.
        let mut revision = None;
        let mut responses = Vec::new();
        for operation in operations {
            if let Some(put) = &operation.request_put {
                let revision = *revision.get_or_insert(self.revision + 1);
                self.put(put, revision);
            }
            if let Some(delete) = &operation.request_delete_range
                && self.keys.contains_key(&delete.key.0)
            {
                let revision = *revision.get_or_insert(self.revision + 1);
                self.delete(&delete.key.0, revision);
            }
            responses.push(ResponseOp {
                response_range: operation.request_range.as_ref().map(|r| self.range(r)),
            });
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn check(&self, request: &TxnRequest) -> Result<(), &'static str> {
        let operations = request.success.iter().chain(&request.failure);
        for put in operations.filter_map(|o| o.request_put.as_ref()) {
            if put.value.0.len() > VALUE_LIMIT_BYTES {
                return Err("etcdserver: request is too large");
            }
            if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
                return Err("etcdserver: requested lease not found");
            }
        }
        Ok(())
    }

    fn put(&mut self, put: &PutRequest, revision: i64) {
        let entry = self
            .keys
            .entry(put.key.0.clone())
            .or_insert_with(|| KeyValue {
                key: put.key.clone(),
                create_revision: Int64(revision),
                ..KeyValue::default()
            });
        entry.mod_revision = Int64(revision);
        entry.version = Int64(entry.version.0 + 1);
        entry.value = put.value.clone();
        entry.lease = put.lease;
        let event = Event {
            kind: String::new(),
            kv: entry.clone(),
        };
        self.record(revision, event);
    }

    fn delete(&mut self, key: &[u8], revision: i64) {
        let Some(removed) = self.keys.remove(key) else {
            return;
        };
        let kv = KeyValue {
            key: removed.key,
            mod_revision: Int64(revision),
            ..KeyValue::default()
        };
        let event = Event {
            kind: "DELETE".into(),
            kv,
        };
        self.record(revision, event);
    }

    fn record(&mut self, revision: i64, event: Event) {
        self.revision = revision;
        self.history.push_back((revision, event));
        if self.history.len() > HISTORY_EVENTS {
            let (oldest, _) = self.history.pop_front().unwrap_or_default();
            self.compacted = self.compacted.max(oldest);
        }
    }

    /// Forgets changes up to and including a revision.
    pub(crate) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        self.history.retain(|(r, _)| *r > compacted);
    }

    /// Changes of a range from a revision on. The error is the oldest revision that can be watched.
    pub(crate) fn changes(&self, range: &RangeRequest, from: i64) -> Result<Vec<Event>, i64> {
        if from <= self.compacted {
            return Err(self.compacted + 1);
        }
        let start = self.history.partition_point(|(r, _)| *r < from);
        let events = self.history.range(start..).map(|(_, event)| event);
        Ok(events
            .filter(|e| in_range(range, &e.kv.key.0))
            .cloned()
            .collect())
    }

    pub(crate) fn grant(&mut self, requested: i64, ttl_s: i64, now: Instant) -> Option<i64> {
        self.next_lease += 1;
        let id = if requested == 0 {
            // Lease ids and revisions are distinct spaces; equal numbers would hide a mix-up.
            0x7000_0000 + self.next_lease
        } else {
            requested
        };
        if self.leases.contains_key(&id) {
            return None;
        }
        let ttl = Duration::from_secs(ttl_s.max(1) as u64);
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        Some(id)
    }

    /// Renews a lease and returns its time to live, or 0 if it does not exist.
    pub(crate) fn keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires = now + lease.ttl;
        lease.ttl.as_secs() as i64
    }

    /// Ends a lease and deletes its keys. Returns false if it does not exist.
    pub(crate) fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let bound = self.keys.iter().filter(|(_, kv)| kv.lease.0 == id);
        let keys: Vec<_> = bound.map(|(key, _)| key.clone()).collect();
        let revision = self.revision + 1;
        for key in keys {
            self.delete(&key, revision);
        }
        true
    }

    /// Ends all leases whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        let over = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let ids: Vec<_> = over.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(id);
        }
    }
}

fn in_range(range: &RangeRequest, key: &[u8]) -> bool {
    let (start, end) = (&range.key.0, &range.range_end.0);
    if end.is_empty() {
        return key == start;
    }
    key >= start.as_slice() && (*end == [0] || key < end.as_slice())
}
