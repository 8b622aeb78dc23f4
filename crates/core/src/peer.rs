//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::usage::UsageMessage;

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for nothing; the answer shows that the vm is reachable.
    Ping,
    /// Counting of usage.
    Usage(UsageMessage),
}
