//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::once::OnceMessage;
use crate::quarantine::QuarantineMessage;

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for nothing; the answer shows that the vm is reachable.
    Ping,
    /// Between the ledgers of requests that may run at most once.
    Once(OnceMessage),
    /// Crash counts of requests.
    Quarantine(QuarantineMessage),
}
