//! Events, commands and messages of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::store::{CallToken, StoreCall, StoreReply};
use crate::{Incarnation, RequestId, VmId, WorkspaceId};

/// Hash of a workspace and the idempotency key that its caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OnceKey(pub [u8; 32]);

impl OnceKey {
    /// Hashes a key. The same key of two workspaces gives different hashes.
    pub fn new(workspace: WorkspaceId, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.0.to_be_bytes())
            .chain_update(key.as_bytes());
        Self(digest.finalize().into())
    }

    /// Returns the number of the shard that holds the key.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }

    /// Returns the key of the mark in the store.
    pub fn store_key(&self) -> String {
        let hex: String = self.0.iter().map(|b| format!("{b:02x}")).collect();
        format!("once/{hex}")
    }
}

/// Hash of method, path and body, to detect a different request with the same key.
pub type BodyHash = [u8; 32];

/// Value of a mark in the store, which names the ledger entry that may execute the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Vm that created the mark.
    pub vm: VmId,
    /// Process run of the vm.
    pub incarnation: Incarnation,
    /// Serial of the ledger entry within the process run.
    pub serial: u64,
}

impl Mark {
    /// Encodes the mark for the store, with the hash of the body, so that each vm can refuse a
    /// different request with the same key.
    pub fn encode(&self, body: &BodyHash) -> Vec<u8> {
        let mut text = format!("{} {} {} ", self.vm, self.incarnation, self.serial);
        text.extend(body.iter().map(|b| format!("{b:02x}")));
        text.into_bytes()
    }

    /// Decodes the output of [`Mark::encode`].
    pub fn decode(bytes: &[u8]) -> Option<(Self, BodyHash)> {
        let mut parts = std::str::from_utf8(bytes).ok()?.split(' ');
        let mark = Self {
            vm: VmId(parts.next()?.parse().ok()?),
            incarnation: Incarnation(parts.next()?.parse().ok()?),
            serial: parts.next()?.parse().ok()?,
        };
        let hex = parts.next()?;
        let mut body = BodyHash::default();
        for (i, byte) in body.iter_mut().enumerate() {
            *byte = u8::from_str_radix(hex.get(2 * i..2 * i + 2)?, 16).ok()?;
        }
        Some((mark, body))
    }
}

/// Kind of an idempotency key, which determines what prevents a second execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyKind {
    /// A ticket of this process run. The ledger entry serves as the mark.
    Ticket {
        /// Time after which the ticket can no longer start a request.
        expires: Duration,
    },
    /// A key that the caller chose. The mark is in the store.
    #[serde(rename = "Own")]
    CallerChosen,
}

/// A stored answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too large to store or was dropped to free memory.
    pub body: Option<Vec<u8>>,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// The request ran and was answered.
    Done(StoredAnswer),
    /// The request did not run and never will under this mark.
    NotRun,
    /// The request is pending or running.
    Running,
    /// The request may have run.
    Unknown,
}

/// Result of an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionResult {
    /// No byte was sent, and none will be.
    NotSent,
    /// The complete answer arrived.
    Answer(StoredAnswer),
    /// The request may have run, and its answer is lost.
    Lost,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceRefusal {
    /// The store cannot accept the mark now. The request did not run.
    StoreUnavailable,
    /// The mark could not be read back before the deadline. The request did not run and never will.
    GivenUp,
    /// The key belongs to a different request.
    BodyDiffers,
    /// The ticket has expired.
    TicketExpired,
    /// The ledger is full. The request did not run.
    Full,
    /// The execution that the request waited for sent nothing. The request did not run.
    NotSent,
}

/// Inputs of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceEvent {
    /// Periodic timer.
    Tick,
    /// A caller sent a request.
    Begin {
        /// The request.
        request: RequestId,
        /// Its key.
        key: OnceKey,
        /// Kind of the key.
        kind: KeyKind,
        /// Hash of the request to execute.
        body: BodyHash,
        /// Time at which a request that has not started is given up.
        deadline: Duration,
    },
    /// An execution ended.
    Ended {
        /// Key of the request.
        key: OnceKey,
        /// Result of the execution.
        end: ExecutionResult,
    },
    /// A caller queries the outcome of a key.
    #[serde(rename = "Look")]
    Lookup {
        /// Id of the query.
        request: RequestId,
        /// The queried key.
        key: OnceKey,
        /// Kind of the key.
        kind: KeyKind,
        /// Time at which the query is answered `unknown`.
        deadline: Duration,
    },
    /// A store call ended.
    Store {
        /// Token of the call.
        token: CallToken,
        /// Result of the call.
        reply: StoreReply,
    },
    /// Another vm sent a message.
    Peer {
        /// The sender.
        from: VmId,
        /// The message.
        message: OnceMessage,
    },
}

/// Messages between the ledgers of two vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// Queries the outcome of the request with this mark, which the receiver created.
    #[serde(rename = "Ask")]
    Query {
        /// Key of the request.
        key: OnceKey,
        /// The mark.
        mark: Mark,
    },
    /// Response to a `Query`.
    #[serde(rename = "Tell")]
    QueryReply {
        /// Key of the request.
        key: OnceKey,
        /// The queried mark.
        mark: Mark,
        /// Outcome of the request.
        outcome: OnceOutcome,
    },
}

/// Outputs of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceCommand {
    /// Perform a store call.
    Store(StoreCall),
    /// Execute the request, exactly one time.
    Run {
        /// The request.
        request: RequestId,
        /// Its key.
        key: OnceKey,
    },
    /// Answer a caller with the outcome of its key.
    Outcome {
        /// The request or query.
        request: RequestId,
        /// Outcome of the key.
        outcome: OnceOutcome,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        refusal: OnceRefusal,
    },
    /// Send a message to another vm.
    Send {
        /// Receiver.
        to: VmId,
        /// The message.
        message: OnceMessage,
    },
}
