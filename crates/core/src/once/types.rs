//! Events, commands and messages of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::store::{CallToken, StoreCall, StoreReply};
use crate::{Incarnation, RequestId, VmId, WorkspaceId};

/// Hash of a workspace and the idempotency key that it sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OnceKey(pub [u8; 32]);

impl OnceKey {
    /// Hashes a key. Two workspaces that choose the same key do not meet.
    pub fn new(workspace: WorkspaceId, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.0.to_be_bytes())
            .chain_update(key.as_bytes());
        Self(digest.finalize().into())
    }

    /// Number of the shard that holds the key.
    pub fn shard(&self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards
    }

    /// Key of the mark in the store.
    pub fn store_key(&self) -> String {
        let hex: String = self.0.iter().map(|b| format!("{b:02x}")).collect();
        format!("once/{hex}")
    }
}

/// Hash of method, path and body, to recognise a different request under the same key.
pub type BodyHash = [u8; 32];

/// Value of a mark: which run of which process may execute the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Vm that created the mark.
    pub vm: VmId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Serial of the ledger entry within the run.
    pub serial: u64,
}

impl Mark {
    /// Bytes that the store holds. The body's hash lets every vm refuse a different request.
    pub fn encode(&self, body: &BodyHash) -> Vec<u8> {
        let mut text = format!("{} {} {} ", self.vm, self.incarnation, self.serial);
        text.extend(body.iter().map(|b| format!("{b:02x}")));
        text.into_bytes()
    }

    /// Reads what [`Mark::encode`] wrote.
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

/// What protects a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyKind {
    /// A ticket of this run; the ledger itself is the mark.
    Ticket {
        /// Time after which the ticket starts nothing.
        expires: Duration,
    },
    /// A key that the caller chose; the mark is in the store.
    #[serde(rename = "Own")]
    CallerChosen,
}

/// An answer of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too large to keep or was dropped since.
    pub body: Option<Vec<u8>>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceOutcome {
    /// It ran.
    Done(StoredAnswer),
    /// It did not run and never will under this mark.
    NotRun,
    /// It is running.
    Running,
    /// It may have run.
    Unknown,
}

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionResult {
    /// No byte was sent, and none will be.
    NotSent,
    /// The whole answer arrived.
    Answer(StoredAnswer),
    /// The request may have run, and its answer is lost.
    Lost,
}

/// Why a request is not executed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceRefusal {
    /// The store cannot take the mark now. Not run.
    StoreUnavailable,
    /// The fate of the mark could not be read back in time; given up for good. Not run.
    GivenUp,
    /// The key stands for a different request.
    BodyDiffers,
    /// The ticket's lifetime is over.
    TicketExpired,
    /// The ledger is full. Not run.
    Full,
    /// The run that the request waited for sent nothing. Not run.
    NotSent,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceEvent {
    /// Time passed.
    Tick,
    /// A caller sends a request.
    Begin {
        /// The request.
        request: RequestId,
        /// Its key.
        key: OnceKey,
        /// What protects the key.
        kind: KeyKind,
        /// Hash of what is to be executed.
        body: BodyHash,
        /// Time at which the request is given up.
        deadline: Duration,
    },
    /// An execution ended.
    Ended {
        /// Key of the request.
        key: OnceKey,
        /// How it ended.
        end: ExecutionResult,
    },
    /// A caller asks for the outcome of a key.
    #[serde(rename = "Look")]
    Lookup {
        /// The question.
        request: RequestId,
        /// Key that is asked for.
        key: OnceKey,
        /// What protects the key.
        kind: KeyKind,
        /// Time at which the question is answered `unknown`.
        deadline: Duration,
    },
    /// A store call ended.
    Store {
        /// Token of the call.
        token: CallToken,
        /// Its result.
        reply: StoreReply,
    },
    /// Another vm sent a message.
    Peer {
        /// The sender.
        from: VmId,
        /// What it sent.
        message: OnceMessage,
    },
}

/// Messages between the ledgers of two vms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceMessage {
    /// What became of the request with this mark of yours?
    #[serde(rename = "Ask")]
    Query {
        /// Key of the request.
        key: OnceKey,
        /// The mark.
        mark: Mark,
    },
    /// Answer to `Ask`.
    #[serde(rename = "Tell")]
    QueryReply {
        /// Key of the request.
        key: OnceKey,
        /// Mark that was asked for.
        mark: Mark,
        /// What became of it.
        outcome: OnceOutcome,
    },
}

/// What the surroundings must do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceCommand {
    /// Perform a store call.
    Store(StoreCall),
    /// Execute the request now, once.
    Run {
        /// The request.
        request: RequestId,
        /// Its key.
        key: OnceKey,
    },
    /// Answer a caller with the outcome of its key.
    Outcome {
        /// The request or question.
        request: RequestId,
        /// What became of the key.
        outcome: OnceOutcome,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        refusal: OnceRefusal,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: VmId,
        /// The message.
        message: OnceMessage,
    },
}
