//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::RouteId;
use crate::limits::LimitDigest;
use crate::scheduler::Digest;
use crate::targets::TargetNews;

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for nothing; the answer shows that the vm is reachable.
    Ping,
    /// Work, demand and closed targets of one route at the sender.
    Scheduler {
        /// Route that the digest describes.
        route: RouteId,
        /// The digest.
        digest: Digest,
    },
    /// Demand and use of limits at the sender.
    Limits(LimitDigest),
    /// Load reports and cache events that the sender read from targets.
    Targets(Vec<TargetNews>),
}
