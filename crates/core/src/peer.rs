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

/// A message from one vm to another. Each state machine that communicates with other vms has a
/// variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Distribution of settings.
    Settings(replica::Message),
    /// Membership.
    Membership(membership::Message),
    /// Ledger of requests that may run at most once.
    Once(OnceMessage),
    /// Crash counts of requests.
    Quarantine(QuarantineMessage),
    /// Usage metering.
    Usage(UsageMessage),
    /// Work, demand and closed targets of one route, as tracked by the sender.
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
    /// Requests another role for a target on behalf of the planner. The holder of the target's scope
    /// sends the order.
    WantRole {
        /// The target.
        target: TargetId,
        /// The role.
        role: Role,
    },
    /// Planned changes of targets.
    Change(ChangeMessage),
}
