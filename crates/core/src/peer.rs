//! Messages between vms.

use serde::{Deserialize, Serialize};

use crate::change::ChangeMessage;
use crate::limits::LimitDigest;
use crate::membership;
use crate::once::OnceMessage;
use crate::quarantine::QuarantineMessage;
use crate::scheduler::Digest;
use crate::settings::replica;
use crate::targets::{Role, TargetUpdate};
use crate::usage::UsageMessage;
use crate::{RouteId, TargetId};

/// A message from one vm to another. Each machine that talks to other vms has a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
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
    Targets(Vec<TargetUpdate>),
    /// The planner wants a target in another role; the holder of its scope orders it.
    WantRole {
        /// The target.
        target: TargetId,
        /// The role.
        role: Role,
    },
    /// Planned changes of targets.
    Change(ChangeMessage),
}
