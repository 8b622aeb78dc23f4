//! Operations that machines request from the platform's store, and their results.
//!
//! See `docs/design.md`, section 4.1. A missing answer is [`StoreReply::Unknown`]: the write may
//! or may not have taken effect, so a machine reads the key back before it acts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Revision;

/// Identifies a call, so that its reply can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallToken(pub u64);

/// Id of a lease, assigned by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub i64);

/// Condition on the current state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(Revision),
}

/// Additional key that must be at a given creation revision for a write to succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guard {
    /// Key to compare, usually the key of a lease.
    pub key: String,
    /// Creation revision that the key must have.
    pub created: Revision,
}

/// One key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the entry.
    pub key: String,
    /// Stored bytes.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write.
    pub modified: Revision,
}

/// An operation on the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreOp {
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads all keys with a prefix.
    List {
        /// Common prefix of the keys.
        prefix: String,
    },
    /// Reads the keys with a prefix that were written after a revision.
    ListSince {
        /// Common prefix of the keys.
        prefix: String,
        /// Keys whose last write is at or below this revision are omitted.
        after: Revision,
    },
    /// Writes a key if its current state matches (compare-and-set).
    Cas {
        /// Key to write.
        key: String,
        /// Required state of the key.
        expected: Expected,
        /// New value.
        value: Vec<u8>,
        /// Lease that the key is bound to.
        lease: Option<LeaseId>,
        /// Second condition, checked in the same transaction.
        guard: Option<Guard>,
    },
    /// Creates all keys or, if one of them exists, none.
    CreateAll {
        /// Keys with their values, at most 128.
        entries: Vec<(String, Vec<u8>)>,
        /// Lease that the keys are bound to.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if it was last written at the given revision.
    Delete {
        /// Key to delete.
        key: String,
        /// Required revision of the last write.
        expected: Revision,
    },
    /// Grants a lease.
    GrantLease {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    KeepAlive {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Revokes a lease and deletes the keys that are bound to it.
    Revoke {
        /// Lease to revoke.
        lease: LeaseId,
    },
}

impl StoreOp {
    /// Key that this operation writes under a condition from before an era of the store, or `None`
    /// if it has no such condition. A restored store gives the numbers of revisions out again, so
    /// the condition may hold for another value.
    pub fn outdated_key(&self, era: u64) -> Option<&str> {
        let (key, expected, guard) = match self {
            Self::Cas {
                key,
                expected,
                guard,
                ..
            } => (key, *expected, guard.as_ref()),
            Self::Delete { key, expected } => (key, Expected::At(*expected), None),
            Self::Get { .. }
            | Self::List { .. }
            | Self::ListSince { .. }
            | Self::CreateAll { .. }
            | Self::GrantLease { .. }
            | Self::KeepAlive { .. }
            | Self::Revoke { .. } => return None,
        };
        let expected = match expected {
            Expected::Absent => None,
            Expected::At(revision) => Some(revision),
        };
        let mut revisions = expected.into_iter().chain(guard.map(|guard| guard.created));
        let is_outdated = revisions.any(|revision| revision.era() < era);
        is_outdated.then_some(key)
    }
}

/// An operation with the token of its reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCall {
    /// Token that the reply carries.
    pub token: CallToken,
    /// Operation to perform.
    pub op: StoreOp,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Answer to `Get`.
    Value {
        /// The entry, if the key exists.
        entry: Option<Entry>,
        /// Revision of the store when it answered.
        store: Revision,
    },
    /// Answer to `List` and `ListSince`.
    Values {
        /// All entries with the prefix.
        entries: Vec<Entry>,
        /// Revision of the store when it answered.
        store: Revision,
    },
    /// A `Cas` or `Delete` took effect at this revision.
    Written {
        /// Revision of the write.
        revision: Revision,
    },
    /// A condition did not hold and nothing was written.
    Conflict {
        /// Current entry of the key, if it exists.
        current: Option<Entry>,
        /// Revision of the store when it answered.
        store: Revision,
    },
    /// A lease was granted.
    Granted {
        /// The new lease.
        lease: LeaseId,
        /// Time to live that the store granted.
        ttl: Duration,
    },
    /// A lease was renewed.
    Alive {
        /// Remaining time to live.
        ttl: Duration,
    },
    /// The lease no longer exists.
    Expired,
    /// The lease was revoked.
    Revoked,
    /// The store refused the call before it had any effect, for example by its rate limit.
    Refused,
    /// No answer arrived. The call may or may not have taken effect.
    Unknown,
}

impl StoreReply {
    /// Conflict of a write that was not sent, from the reply to reading its key instead. A failed
    /// read stays as it is.
    pub fn into_conflict(self) -> Self {
        match self {
            Self::Value { entry, store } => Self::Conflict {
                current: entry,
                store,
            },
            other => other,
        }
    }
}
