//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::membership;
use crate::once::OnceMessage;
use crate::quarantine::QuarantineMessage;
use crate::settings::replica;
use crate::usage::UsageMessage;

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for nothing; the answer shows that the vm is reachable.
    Ping,
    /// Distribution of settings.
    Settings(replica::Message),
    /// Membership.
    Membership(membership::Message),
    /// Between the ledgers of requests that may run at most once.
    Once(OnceMessage),
    /// Crash counts of requests.
    Quarantine(QuarantineMessage),
    /// Counting of usage.
    Usage(UsageMessage),
}
