//! Messages between vms.

use jujubebeam_core::gateway::{
    HandOverEnd, MirrorDelta, PackedItem, PermitQuery, PermitReply, PromptEnd,
    PromptPlacementReply, PromptPlacementRequest, QuotaQuery, QuotaReply, RateLimitReport,
    ReplicaAge, ReturnedQuota, RunCounts, Stage, StreamReply, TargetRun,
};
use jujubebeam_core::quarantine::{CrashReport, QuarantineMessage};
use jujubebeam_core::{Revision, membership};
use serde::{Deserialize, Serialize};

/// A message from one vm to another. Queries are answered in the same exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Membership gossip.
    Membership(membership::Message),
    /// Queries for updates that the sender lacks.
    Ask {
        /// Revision of the sender's replica of the settings.
        settings: Option<Revision>,
        /// Revision of the sender's replica of the targets.
        targets: Option<Revision>,
        /// Version of the sender's settings in force. Earlier versions send none.
        #[serde(default)]
        settings_version: Option<u64>,
        /// Digest of the sender's crash counts. Vms without counts and earlier versions send none.
        #[serde(default, skip_serializing_if = "is_zero")]
        crash_digest: u64,
        /// Crash counts of the sender that have changed recently.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        crash_reports: Vec<CrashReport>,
        /// Digest of the sender's crash counts of prompt parts.
        #[serde(default, skip_serializing_if = "is_zero")]
        part_crash_digest: u64,
        /// Crash counts of prompt parts that have changed recently.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        part_crash_reports: Vec<CrashReport>,
    },
    /// Answers `Ask`.
    News {
        /// Wall clock of the sender, in microseconds since 1970.
        wall_us: u64,
        /// Changes of the settings.
        settings: Option<MirrorDelta>,
        /// Changes of the targets.
        targets: Option<MirrorDelta>,
        /// Age of the sender's replica of the settings. Earlier versions send none.
        #[serde(default)]
        settings_age: Option<ReplicaAge>,
        /// Age of the sender's replica of the targets. Earlier versions send none.
        #[serde(default)]
        targets_age: Option<ReplicaAge>,
        /// The settings in force, if they are newer than those of the vm that queries and the
        /// replica does not have them: a store that was restored has older ones.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        newer_settings: Option<PackedItem>,
        /// Crash counts of the sender, if their digest differs.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        crash_reports: Vec<CrashReport>,
        /// Crash counts of prompt parts, if their digest differs.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        part_crash_reports: Vec<CrashReport>,
    },
    /// Queries for the usage counts of a window.
    Collect {
        /// The window.
        window: u64,
    },
    /// Answers `Collect` with all counts that the sender has, or replicates counts without a query.
    Counts(Vec<RunCounts>),
    /// Announces that an engine was ordered to change its stage.
    Changing {
        /// The engine.
        target: String,
        /// The new stage.
        stage: Stage,
    },
    /// Runs of targets that announced that they are leaving. Answered with those that the sender
    /// may not have.
    Leaving(Vec<TargetRun>),
    /// Rate limits that targets have stated. Answered with those that the receiver knows.
    RateLimits(Vec<RateLimitReport>),
    /// Queries the owner of a service for a permit to send a request to a limited target.
    AskPermit(PermitQuery),
    /// Answers `AskPermit`.
    Permit(PermitReply),
    /// Queries the owner of a service for an engine that computes a prompt.
    PlacePrompt(PromptPlacementRequest),
    /// Answers `PlacePrompt`.
    PromptPlaced(PromptPlacementReply),
    /// Reports to the owner which prompts are no longer at their engines.
    PromptsEnded(Vec<PromptEnd>),
    /// Reports that a target crashed while it ran a request, or that a suspected request got a
    /// complete answer.
    Quarantine(QuarantineMessage),
    /// Reports crashes under prompt parts, or complete answers of suspected ones. Answered with the
    /// clears that the sender has missed. Earlier versions cannot read it.
    PartCrashes(Vec<QuarantineMessage>),
    /// Queries all vms for streams by the ids of the attempts that began them. Earlier versions cannot
    /// read it and answer with an error status.
    AskStreams(Vec<String>),
    /// Answers `AskStreams`.
    Streams(StreamReply),
    /// Queries the home of a workspace for the tokens of a request. Earlier versions cannot read it
    /// and answer with an error status.
    AskQuota(QuotaQuery),
    /// Answers `AskQuota`.
    Quota(QuotaReply),
    /// Gives tokens of requests that no target ran back to the home of their workspace.
    ReturnQuota(Vec<ReturnedQuota>),
    /// Reports to the owner which hand-overs of computed prompts have ended. Only sent to owners that
    /// have sent their slow links, because earlier versions cannot read it.
    HandOversEnded(Vec<HandOverEnd>),
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}
