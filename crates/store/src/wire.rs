//! JSON bodies of the store, with the field names of etcd's JSON gateway.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use jujubebeam_core::Revision;
use jujubebeam_core::store::Entry;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Paths of the store.
pub mod paths {
    /// Reads keys.
    pub const RANGE: &str = "/v3/kv/range";
    /// Runs a transaction: compares keys, then reads or writes.
    pub const TXN: &str = "/v3/kv/txn";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/v3/lease/grant";
    /// Renews a lease.
    pub const LEASE_KEEPALIVE: &str = "/v3/lease/keepalive";
    /// Revokes a lease.
    pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
    /// Streams changes.
    pub const WATCH: &str = "/v3/watch";
}

/// Bytes that are encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Base64)
            .map_err(serde::de::Error::custom)
    }
}

/// 64-bit integer that is encoded as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(number) => Ok(Int64(number)),
            Either::Text(text) => text.parse().map(Int64).map_err(serde::de::Error::custom),
        }
    }
}

/// Header of every answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    pub revision: Int64,
}

/// A stored key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Base64,
    /// Revision at which the key was created.
    pub create_revision: Int64,
    /// Revision at which the key was last written.
    pub mod_revision: Int64,
    /// Number of writes since the key was created.
    pub version: Int64,
    /// Value.
    pub value: Base64,
    /// Lease that the key is attached to, or 0.
    pub lease: Int64,
}

impl KeyValue {
    /// Converts to the entry type of the state machines.
    pub fn into_entry(self) -> Entry {
        Entry {
            key: String::from_utf8_lossy(&self.key.0).into_owned(),
            value: self.value.0,
            created: Revision(self.create_revision.0 as u64),
            modified: Revision(self.mod_revision.0 as u64),
        }
    }
}

/// Reads one key or, with `range_end`, all keys in `[key, range_end)`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// First key after the range; empty for a single key.
    pub range_end: Base64,
    /// Keys whose last write is older than this revision are omitted.
    pub min_mod_revision: Int64,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Keys in ascending order.
    pub kvs: Vec<KeyValue>,
}

/// One condition of a transaction. Exactly one of the two revisions is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Always `EQUAL`.
    pub result: String,
    /// `CREATE` or `MOD`.
    pub target: String,
    /// Key to compare.
    pub key: Base64,
    /// Required creation revision; 0 means that the key does not exist.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int64>,
    /// Required revision of the last write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int64>,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64,
    /// Value.
    pub value: Base64,
    /// Lease to attach the key to, or 0.
    pub lease: Int64,
}

/// Deletes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// Key.
    pub key: Base64,
}

/// One operation of a transaction. Exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Read of a key or range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Write of a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletion of a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions of the transaction.
    pub compare: Vec<Compare>,
    /// Operations that run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations that run if any condition fails.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Results of the operations that ran.
    pub responses: Vec<ResponseOp>,
}

/// Grants a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
    /// Requested lease id, or 0 to let the store choose one.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Answer to lease calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// Id of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Remaining time to live in seconds; 0 if the lease does not exist.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Renews or revokes a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Id of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
}

/// Wrapper that etcd's JSON gateway puts around streamed answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The answer.
    pub result: T,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Base64,
    /// First key after the watched range.
    pub range_end: Base64,
    /// First revision to report.
    pub start_revision: Int64,
}

/// Body of a watch call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range to watch and the revision to start from.
    pub create_request: WatchCreate,
}

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// `PUT` or `DELETE`. The JSON gateway omits `PUT`.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Key with its new value.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: Header,
    /// True in the first message, which confirms the watch.
    pub created: bool,
    /// True if the watch ended.
    pub canceled: bool,
    /// Oldest revision that can still be watched if the requested start is older; otherwise 0.
    pub compact_revision: Int64,
    /// Changes in order.
    pub events: Vec<Event>,
}

/// Returns the first key after all keys with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
