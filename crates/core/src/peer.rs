//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::membership;
use crate::settings::replica;

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for nothing; the answer shows that the vm is reachable.
    Ping,
    /// Distribution of settings.
    Settings(replica::Message),
    /// Membership.
    Membership(membership::Message),
}
