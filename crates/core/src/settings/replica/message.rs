//! Messages between the replicas of two vms.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Revision, VmId};

/// One subtree at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subtree {
    /// Key in the store.
    pub name: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Document, or `None` for a tombstone.
    pub text: Option<String>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the subtrees that the sender lacks.
    Ask {
        /// Echoed in the answer.
        nonce: u64,
        /// Digest of the sender's set.
        digest: u64,
        /// The sender has every subtree as of this revision.
        cursor: Revision,
        /// Whether the receiver may hold the request until it has an update.
        #[serde(default)]
        wait: bool,
    },
    /// Answers [`Message::Ask`].
    Page(Page),
    /// Requests the revision of a subtree that is in force.
    Query {
        /// Echoed in the answer.
        nonce: u64,
        /// Key in the store.
        subtree: String,
    },
    /// Sends a change that the store has accepted.
    Offer {
        /// Echoed in the answer.
        nonce: u64,
        /// The changed subtree.
        subtree: Subtree,
    },
    /// Answers [`Message::Query`] and [`Message::Offer`].
    Holds {
        /// Nonce of the request.
        nonce: u64,
        /// Revision in force, or `None` if the sender does not have the subtree.
        revision: Option<Revision>,
        /// Whether the sender counts towards a majority: it has been fresh since its start.
        witness: bool,
    },
}

/// A bounded part of a set, in ascending order of revisions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Nonce of the request.
    pub nonce: u64,
    /// Subtrees with a revision above the cursor of the request.
    pub subtrees: Vec<Subtree>,
    /// The answer is complete up to this revision.
    pub cursor: Revision,
    /// Whether nothing remains to be sent after this page.
    pub last: bool,
    /// Whether the sender has a full set.
    pub full: bool,
    /// Digest of the sender's set.
    pub digest: u64,
    /// Age of the sender's freshness proof.
    pub age: Option<Duration>,
    /// Time for which the sender held the request.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub waited: Duration,
    /// Vms whose sets are contained in the sender's, with the age of that state in milliseconds.
    /// Empty while the sender is fresh, as only outage mode needs it.
    pub heard: Vec<(VmId, u32)>,
}
