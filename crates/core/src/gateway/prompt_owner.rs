//! One vm places the prompts of all others.
//!
//! A prompt takes an engine 10 ms to a second, and each of dozens of vms sends an engine one now and
//! then. Alone, a vm learns of a queue when its own prompt has waited in it: prompts waited at their
//! homes beside idle engines. So each service has an owner among the vms in reach. The others ask it
//! where a prompt goes and tell it when the prompt is computed, so the owner knows every queue. An
//! exchange takes a few milliseconds.
//!
//! The owner is the same for all vms that see the same fleet, without an agreement. Two owners at
//! once, or none that answers, place worse and break nothing: a vm that gets no answer places the
//! prompt by what it knows itself. The alternatives are weighed in `docs/DECISIONS.md`, section 3.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::catalog::{Catalog, Stage, TargetKey};
use super::placement::{
    LoadReport, Placement, PlacementConfig, PlacementRefused, PlacementRequest, Placer,
    PrefillCost, PromptPart,
};
use super::settings::EngineLimits;
use crate::VmId;
use crate::authority::mix;

/// Time after a vm should have given a prompt up at which it is taken as gone. The vm did not tell, so it
/// has ended or cannot be reached.
const ABANDONED_PROMPT_GRACE: Duration = Duration::from_secs(2);

/// Time for which a question that was given up is remembered, as it may still be on its way.
const CANCELLATION_LIFETIME: Duration = Duration::from_secs(2);

/// Identity of a question for an engine: the vm that asks, and a number that it uses once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptRequestId {
    /// The vm that asks.
    pub vm: VmId,
    /// Its number.
    pub number: u64,
}

/// Asks the owner for an engine that computes a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacementRequest {
    /// Identity of the question, by the vm that asks.
    pub id: PromptRequestId,
    /// Service of the request.
    pub service: String,
    /// Parts of the prompt.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Ids of engines that this request or this vm does not want.
    pub excluded: SmallVec<[String; 2]>,
    /// Longest wait with which the prompt is still sent.
    pub longest_wait: Duration,
    /// Time for which the caller waits from now on.
    pub time_left: Duration,
    /// Zone of the vm that asks.
    pub zone: String,
}

/// An engine that the owner chose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// Id of the engine.
    pub target: String,
    /// Prompt tokens that the engine probably has to compute.
    pub uncached_tokens: u64,
    /// Id of the engine from which it copies what it does not keep of the prompt.
    pub copied_from: Option<String>,
    /// Predicted time to the computed prompt, in milliseconds.
    pub predicted_ms: f64,
    /// Part of it that the prompt waits for others.
    pub wait_ms: f64,
    /// Prompts at the engine.
    pub expected_in_flight: f64,
    /// Rank of the engine among the homes of the prompt.
    pub home_rank: usize,
}

/// The owner's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptPlacementReply {
    /// The engine, or why there is none.
    pub place: Result<PromptPlacement, PlacementRefused>,
    /// Pace of the service's engines, for vms that have to place prompts alone.
    #[serde(rename = "pace")]
    pub prefill_cost: PrefillCost,
}

/// How a placed prompt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptOutcome {
    /// The engine computed it.
    Computed,
    /// The engine refused it.
    Refused,
    /// The engine broke it off or gave a wrong answer.
    Failed,
    /// The engine could not be reached.
    Unreachable,
    /// The caller left, another engine was chosen, or the answer of the owner came too late.
    GivenUp,
}

/// Tells the owner that a prompt is no longer at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptEnd {
    /// The question that it was placed for.
    pub id: PromptRequestId,
    /// How it ended.
    pub outcome: PromptOutcome,
    /// Time from the choice to the end.
    pub took: Duration,
    /// What the engine said of its load.
    pub report: Option<LoadReport>,
}

/// Vm that owns the prompts of a service, among those in reach.
pub fn owner_of(service: &str, vms: &[VmId]) -> Option<VmId> {
    let service = super::placement::hash_of(service);
    let weight = |vm: &VmId| mix(service ^ mix(u64::from(vm.0)));
    vms.iter().copied().max_by_key(|vm| (weight(vm), *vm))
}

/// Time for which an owner that gave no answer is not asked again. Membership notices within
/// seconds that a vm is gone.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(500);

/// Part of a route's aim for which an answer of the owner is waited for.
const REPLY_TIMEOUT_RATIO: f64 = 0.1;

/// Bounds of the time for an answer. Zones are milliseconds apart, and a busy vm of an eighth of a
/// core takes some more.
const REPLY_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(100));

/// Time without a prompt after which a vm may have lost the ownership of a service. What it knows of the
/// engines is then too old.
const OWNERSHIP_IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Predicted times of a prompt after which its engine counts as silent. Nearly all prompts take less
/// than twice their time (`docs/DECISIONS.md`, section 2).
const TIMEOUT_FACTOR: f64 = 3.0;

/// Time beyond the predicted ones after which an engine counts as silent. It covers parts that the
/// engine was wrongly expected to keep.
const TIMEOUT_SLACK: Duration = Duration::from_millis(400);

/// Part of the time that a caller bears without an event for which an engine is always waited for.
const TIMEOUT_GAP_RATIO: f64 = 0.5;

/// Time after which a prompt that an engine has not computed is given up there. A prompt may be
/// computed again elsewhere, so its caller need not wait until it leaves after `gap`. Before half of
/// that, the prediction is not relied on: that of a vm which has just started is too short.
pub fn prompt_timeout(predicted_ms: f64, gap: Duration) -> Duration {
    let predicted = Duration::from_secs_f64(predicted_ms.clamp(0.0, 60_000.0) / 1000.0);
    let expected = predicted.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_SLACK;
    expected.max(gap.mul_f64(TIMEOUT_GAP_RATIO))
}

/// Time for which the owner's answer is waited for on a route.
pub fn reply_timeout(latency_aim: Duration) -> Duration {
    latency_aim
        .mul_f64(REPLY_TIMEOUT_RATIO)
        .clamp(REPLY_TIMEOUT_RANGE.0, REPLY_TIMEOUT_RANGE.1)
}

/// Owners that gave no answer lately.
#[derive(Debug, Default)]
pub struct UnresponsiveOwners {
    until: HashMap<VmId, Duration>,
}

impl UnresponsiveOwners {
    /// The owner gave no answer in time.
    pub fn record_timeout(&mut self, owner: VmId, now: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(owner, now + UNRESPONSIVE_TIME);
    }

    /// Whether the owner may be asked.
    pub fn may_query(&self, owner: VmId, now: Duration) -> bool {
        self.until.get(&owner).is_none_or(|until| now >= *until)
    }
}

/// A prompt at its engine.
#[derive(Clone, Debug)]
struct PlacedPrompt {
    placed: Placement,
    expires_at: Duration,
}

/// Places the prompts of the services that this vm owns.
#[derive(Debug)]
pub struct PromptOwner {
    placer: Placer,
    /// When a prompt of each service was last placed.
    placed_at: HashMap<String, Duration>,
    placed_prompts: HashMap<PromptRequestId, PlacedPrompt>,
    /// Questions that were given up before they came, and until when they are remembered.
    cancelled: HashMap<PromptRequestId, Duration>,
}

impl PromptOwner {
    /// Creates an owner that knows of no prompt.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            placer: Placer::new(PlacementConfig {
                places_all_requests: true,
                ..config
            }),
            placed_at: HashMap::new(),
            placed_prompts: HashMap::new(),
            cancelled: HashMap::new(),
        }
    }

    /// Whether this vm has just become the owner of a service, so that it has to ask the engines what
    /// they keep. Answers true once.
    pub fn take_ownership(&mut self, service: &str, now: Duration) -> bool {
        let last = self.placed_at.insert(service.to_owned(), now);
        last.is_none_or(|last| now > last + OWNERSHIP_IDLE_LIMIT)
    }

    /// An engine told which parts it keeps.
    pub fn record_cached_parts(
        &mut self,
        key: TargetKey,
        parts: &[PromptPart],
        engine: EngineLimits,
    ) {
        self.placer.record_cached_parts(key, parts, engine);
    }

    /// Places a prompt and counts it at its engine until it has ended.
    pub fn place(
        &mut self,
        catalog: &Catalog,
        prompt_request: &PromptPlacementRequest,
        engine: EngineLimits,
        now: Duration,
    ) -> PromptPlacementReply {
        let excluded = prompt_request.excluded.iter().map(|id| catalog.key_of(id));
        let excluded: SmallVec<[TargetKey; 4]> = excluded.flatten().collect();
        let request = PlacementRequest {
            service: &prompt_request.service,
            stage: Some(Stage::Prefill),
            parts: &prompt_request.parts,
            excluded: &excluded,
            longest_wait: prompt_request.longest_wait,
            time_left: prompt_request.time_left,
            zone: &prompt_request.zone,
            engine,
        };
        let placed = self.placer.place(catalog, &request, now);
        if self.cancelled.contains_key(&prompt_request.id) {
            if let Ok(placed) = &placed {
                self.placer.finished(placed, now);
            }
            return PromptPlacementReply {
                place: Err(PlacementRefused::NoTarget),
                prefill_cost: self.placer.prefill_cost(&prompt_request.service),
            };
        }
        let place = placed.map(|placed| {
            let copied_from = placed.copied_from.and_then(|key| catalog.get(key));
            let place = PromptPlacement {
                copied_from: copied_from.map(|source| source.id.clone()),
                target: placed.target.id.clone(),
                uncached_tokens: placed.uncached_tokens,
                predicted_ms: placed.predicted_ms,
                wait_ms: placed.wait_ms,
                expected_in_flight: placed.expected_in_flight,
                home_rank: placed.home_rank,
            };
            let timeout = prompt_timeout(placed.predicted_ms, Duration::ZERO);
            let expires_at = now + timeout.min(prompt_request.time_left) + ABANDONED_PROMPT_GRACE;
            let prompt = PlacedPrompt { placed, expires_at };
            self.placed_prompts.insert(prompt_request.id, prompt);
            place
        });
        PromptPlacementReply {
            place,
            prefill_cost: self.placer.prefill_cost(&prompt_request.service),
        }
    }

    /// A prompt has ended. One that is not known was placed before this vm became the owner, or was
    /// given up before its question came.
    pub fn ended(&mut self, end: &PromptEnd, now: Duration) {
        let Some(PlacedPrompt { placed, .. }) = self.placed_prompts.remove(&end.id) else {
            if end.outcome == PromptOutcome::GivenUp {
                self.cancelled.insert(end.id, now + CANCELLATION_LIFETIME);
            }
            return;
        };
        // The news took a while; what is learned of the pace must not contain it.
        let ended_at = (placed.placed_at + end.took).min(now);
        match end.outcome {
            PromptOutcome::Computed => self.placer.first_byte(&placed, end.report, ended_at),
            PromptOutcome::Refused => self.placer.refused(&placed, end.report, now),
            PromptOutcome::Failed => self.placer.failed(&placed, now),
            PromptOutcome::Unreachable => self.placer.unreachable(&placed, now),
            PromptOutcome::GivenUp => {}
        }
        self.placer.finished(&placed, now);
    }

    /// An engine was ordered to take a stage.
    pub fn record_stage_change(&mut self, key: TargetKey, stage: Stage, now: Duration) {
        self.placer.record_stage_change(key, stage, now);
    }

    /// Takes over a pace that another vm has learned.
    pub fn adopt_prefill_cost(&mut self, service: &str, prefill_cost: PrefillCost, now: Duration) {
        self.placer.adopt_prefill_cost(service, prefill_cost, now);
    }

    /// Sets how many vms are in reach and can ask, and how many there are. The others place their
    /// prompts alone.
    pub fn set_vms(&mut self, in_reach: usize, all: usize) {
        let unseen = all.saturating_sub(in_reach) as f64;
        self.placer
            .set_unseen_load_ratio(unseen / in_reach.max(1) as f64);
    }

    /// Forgets engines that are gone and prompts whose vms did not tell how they ended.
    pub fn evict_expired(&mut self, catalog: &Catalog, now: Duration) {
        let placer = &mut self.placer;
        self.placed_prompts.retain(|_, prompt| {
            let is_current = now < prompt.expires_at;
            if !is_current {
                placer.finished(&prompt.placed, now);
            }
            is_current
        });
        placer.evict_removed(catalog, now);
        self.cancelled.retain(|_, until| now < *until);
    }
}
