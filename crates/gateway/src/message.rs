//! Messages between vms.

use jujubebeam_core::gateway::{
    MirrorDelta, PromptEnd, PromptPlacementReply, PromptPlacementRequest, RunCounts, Stage,
    TargetRun,
};
use jujubebeam_core::quarantine::QuarantineMessage;
use jujubebeam_core::{Revision, membership};
use serde::{Deserialize, Serialize};

/// A message of one vm to another. Questions are answered in the same exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Membership gossip.
    Membership(membership::Message),
    /// Asks for what the sender lacks.
    Ask {
        /// Revision of the sender's copy of the settings.
        settings: Option<Revision>,
        /// Revision of the sender's copy of the targets.
        targets: Option<Revision>,
    },
    /// Answers `Ask`.
    News {
        /// Wall clock of the sender, in microseconds since 1970.
        wall_us: u64,
        /// Changes of the settings.
        settings: Option<MirrorDelta>,
        /// Changes of the targets.
        targets: Option<MirrorDelta>,
    },
    /// Asks for the usage counts of a window.
    Collect {
        /// The window.
        window: u64,
    },
    /// Answers `Collect` with all that the sender knows, or passes copies on unasked.
    Counts(Vec<RunCounts>),
    /// An engine was ordered to take another stage.
    Changing {
        /// The engine.
        target: String,
        /// The stage.
        stage: Stage,
    },
    /// Runs of targets that said that they leave. Answered with those that the sender may not know.
    Leaving(Vec<TargetRun>),
    /// Asks the owner of a service for an engine that computes a prompt.
    PlacePrompt(PromptPlacementRequest),
    /// Answers `PlacePrompt`.
    PromptPlaced(PromptPlacementReply),
    /// Tells the owner of prompts that are no longer at their engines.
    PromptsEnded(Vec<PromptEnd>),
    /// A target died under a request, or a suspect gave a whole answer.
    Quarantine(QuarantineMessage),
}
