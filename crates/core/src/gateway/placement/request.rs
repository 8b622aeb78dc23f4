//! Requests for a target, the choice that answers them, and the reasons for a refusal.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::links::HandOver;
use super::load::LoadReport;
use super::queue::PlacementId;
use crate::gateway::catalog::{CatalogTarget, Stage, TargetKey};
use crate::gateway::settings::EngineLimits;

/// One part of a prompt. Parts are listed in prompt order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part. Parts with equal ids in different prompts have the same text.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// Software version of the targets that may run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequiredVersion<'a> {
    /// The request has brought no event yet, so any version may run it.
    #[default]
    Any,
    /// The request has brought no event yet, and a stream may begin at these versions only.
    OneOf(&'a [String]),
    /// Only the version that began the stream may continue it. No target may if that is unknown.
    Of(Option<&'a str>),
}

impl RequiredVersion<'_> {
    /// Whether a target of this version may run the request.
    pub fn allows(self, version: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::OneOf(versions) => {
                let name = version.unwrap_or_default();
                versions.iter().any(|allowed| allowed == name)
            }
            Self::Of(required) => required.is_some() && version == required,
        }
    }
}

/// A request that needs a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Required stage of the engine, or `None` for plain services.
    pub stage: Option<Stage>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Targets that have already failed this request.
    pub excluded: &'a [TargetKey],
    /// Maximum predicted queueing time with which the request is still sent. A request that waits
    /// longer would only delay the requests behind it as well.
    pub longest_wait: Duration,
    /// Remaining time for which the caller waits.
    pub time_left: Duration,
    /// Zone of the vm that sends the request.
    pub zone: &'a str,
    /// Limits of the service's engines.
    pub engine: EngineLimits,
    /// The computed prompt that the target fetches, if there is one.
    pub hand_over: Option<HandOver>,
    /// Software version that the target must have.
    pub version: RequiredVersion<'a>,
}

/// The target chosen for a request, with the estimates that led to the choice.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Identity of the placement, unique within its placer.
    pub id: PlacementId,
    /// Key of the target.
    pub key: TargetKey,
    /// The target.
    pub target: CatalogTarget,
    /// Prompt tokens that the target is expected to compute.
    pub uncached_tokens: u64,
    /// Engine from which the target copies the parts of the prompt that it has not cached.
    pub copied_from: Option<TargetKey>,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Share of `predicted_ms` that the request waits for other requests.
    pub wait_ms: f64,
    /// Estimated number of requests from all vms at the target.
    pub expected_in_flight: f64,
    /// Last load report of the target and its age.
    pub report: Option<(LoadReport, Duration)>,
    /// When the target was chosen.
    pub placed_at: Duration,
    /// Rank of the target in the rendezvous hash of the prompt; 0 is the home.
    pub home_rank: usize,
    /// Targets of the service that were not considered.
    pub omitted_targets: OmittedTargets,
    /// Expected factor on the usual time of work at the target, if the target states figures.
    pub work_factor: Option<f64>,
    /// Cached prompt tokens on which the choice relies and that the target evicts next.
    pub cold_tokens: u64,
    /// Cost to other prompts that was weighed, in milliseconds.
    pub cost_to_others_ms: f64,
}

/// How an engine service should run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginePlan {
    /// One engine computes the prompt and generates the answer.
    Direct,
    /// An engine of the prefill stage computes the prompt.
    Split {
        /// Longest wait for that engine with which the request is still sent.
        longest_wait: Duration,
    },
}

/// How an engine service runs a request.
#[derive(Clone, Debug)]
pub enum EnginePath {
    /// One engine computes the prompt and generates the answer.
    Direct(Placement),
    /// This engine computes the prompt; another one is chosen for the answer afterwards.
    Split(Placement),
}

/// Number of targets of a service that get no requests because of their own announcements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OmittedTargets {
    /// Targets that announced that they are leaving.
    pub leaving: u32,
    /// Targets that requested backoff.
    pub backing_off: u32,
    /// Targets whose rate limit is used up.
    pub limited: u32,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementRefused {
    /// No target of the service takes new work.
    NoTarget,
    /// All targets are so busy that the answer would be late.
    Overloaded {
        /// Time until a target is expected to have capacity.
        retry_after: Duration,
        /// Predicted wait at the best target.
        wait: Duration,
    },
    /// All targets that could run the request have requested backoff.
    Resting {
        /// Time until the first of them accepts work again.
        retry_after: Duration,
    },
    /// The rate limits of all targets that could run the request are used up.
    Limited {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}
