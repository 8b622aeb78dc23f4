//! Placement of all prompts of a service by one vm, its owner.
//!
//! An engine takes 10 ms to a second to compute a prompt, and each of dozens of vms sends it a
//! prompt only occasionally. A vm that places prompts alone detects a queue only after its own
//! prompt has waited in it, so prompts waited at their homes while other engines were idle.
//! Therefore each service has an owner among the reachable vms. The other vms request placements
//! from it and report when a prompt is computed, so the owner has the state of all queues. An
//! exchange takes a few milliseconds.
//!
//! Vms that see the same fleet compute the same owner, without any agreement protocol. Two owners
//! at once, or an unresponsive one, make placement worse but do not affect correctness: a vm that
//! gets no reply places the prompt with its own load information. The alternatives are discussed in
//! `docs/DECISIONS.md`, section 3.

mod hand_overs;
mod reporters;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use hand_overs::{HandOverEnd, HandOverOutcome, ReportedPrompt};
use reporters::{FailureReport, Reporters};

use super::catalog::{Catalog, Stage, TargetKey};
use super::permits::{PermitDemand, Permits};
use super::placement::{
    LoadReport, Placement, PlacementConfig, PlacementExplanation, PlacementRefused,
    PlacementRequest, Placer, PrefillCost, PromptPart, RequiredVersion, SlowLinks,
};
use super::rate_limits::RateLimits;
use super::settings::EngineLimits;
use crate::VmId;
use crate::authority::mix;

/// Time after the timeout of a prompt at which the owner drops it. The vm that requested the
/// placement has not reported its end, so that vm has stopped or is unreachable.
const ABANDONED_PROMPT_GRACE: Duration = Duration::from_secs(2);

/// Time for which the cancellation of a request is kept, because the request itself may still
/// arrive.
const CANCELLATION_LIFETIME: Duration = Duration::from_secs(2);

/// Identity of a placement request: the requesting vm, and a number that it uses only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptRequestId {
    /// The requesting vm.
    pub vm: VmId,
    /// Number of the request at that vm.
    pub number: u64,
}

/// Request to the owner for an engine that computes a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacementRequest {
    /// Identity of the request.
    pub id: PromptRequestId,
    /// Service of the request.
    pub service: String,
    /// Parts of the prompt.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Ids of engines that are excluded by the request or by the requesting vm.
    pub excluded: SmallVec<[String; 2]>,
    /// Maximum predicted wait with which the prompt is still sent.
    pub longest_wait: Duration,
    /// Remaining time for which the caller waits.
    pub time_left: Duration,
    /// Zone of the requesting vm.
    pub zone: String,
    /// Rank of the request, 0 is the highest.
    #[serde(default)]
    pub rank: u32,
    /// Whether the answer is the remainder of a stream, for which permits may be available when there are
    /// none for others. Vms of earlier versions neither send nor read it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_continuation: bool,
    /// Version of the slow links that the requesting vm knows. `None` if it reports no hand-overs, as
    /// earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_links: Option<u64>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}

/// The engine that the owner has chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// Id of the engine.
    pub target: String,
    /// Prompt tokens that the engine is expected to compute.
    pub uncached_tokens: u64,
    /// Id of the engine from which it copies the parts of the prompt that it has not cached.
    pub copied_from: Option<String>,
    /// Predicted time until the prompt is computed, in milliseconds.
    pub predicted_ms: f64,
    /// Share of `predicted_ms` that the prompt waits for others.
    pub wait_ms: f64,
    /// Number of prompts at the engine.
    pub expected_in_flight: f64,
    /// Rank of the engine in the rendezvous hash of the prompt; 0 is the home.
    pub home_rank: usize,
    /// Expected factor on the usual time of work at the engine, if it states figures.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_factor: Option<f64>,
    /// Cached prompt tokens on which the choice relies and that the engine evicts next.
    #[serde(default)]
    pub cold_tokens: u64,
    /// Cost to other prompts that was weighed, in milliseconds.
    #[serde(default)]
    pub cost_to_others_ms: f64,
}

/// The owner's reply to a placement request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptPlacementReply {
    /// The chosen engine, or the reason for the refusal.
    pub place: Result<PromptPlacement, PlacementRefused>,
    /// Prefill cost of the service's engines, for vms that have to place prompts alone.
    #[serde(rename = "pace")]
    pub prefill_cost: PrefillCost,
    /// The slow links of the service, if the requesting vm knows another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_links: Option<SlowLinks>,
}

/// Largest time in a reply, in milliseconds. It is far beyond any predicted time, and sums and
/// products with it remain finite.
const MAX_REPLY_MS: f64 = 1e15;

impl PromptPlacementReply {
    /// Whether all times can be used for calculations.
    pub fn is_plausible(&self) -> bool {
        let cost = [self.prefill_cost.fixed_ms, self.prefill_cost.ms_per_1k];
        let place = self.place.iter().flat_map(|p| [p.predicted_ms, p.wait_ms]);
        let mut times_ms = cost.into_iter().chain(place);
        times_ms.all(|ms| (0.0..=MAX_REPLY_MS).contains(&ms))
    }
}

/// How a placed prompt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptOutcome {
    /// The engine computed it.
    Computed,
    /// The engine refused it.
    Refused,
    /// The engine broke off or sent an invalid answer.
    Failed,
    /// The engine could not be reached.
    Unreachable,
    /// The caller disconnected, another engine was chosen, or the owner's reply was too late.
    GivenUp,
}

/// Report to the owner that a prompt is no longer at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptEnd {
    /// The placement request of the prompt.
    pub id: PromptRequestId,
    /// How it ended.
    pub outcome: PromptOutcome,
    /// Time from the placement to the end.
    pub took: Duration,
    /// Load reported by the engine.
    pub report: Option<LoadReport>,
}

/// Chooses the vm that owns the prompts of a service among the reachable vms.
pub fn owner_of(service: &str, vms: &[VmId]) -> Option<VmId> {
    let service = super::placement::hash_of(service);
    let weight = |vm: &VmId| mix(service ^ mix(u64::from(vm.0)));
    vms.iter().copied().max_by_key(|vm| (weight(vm), *vm))
}

/// Time for which an owner that did not reply gets no further requests. Membership detects the
/// failure of a vm within seconds.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(500);

/// Timeout for the owner's reply, as a share of the route's latency aim.
const REPLY_TIMEOUT_RATIO: f64 = 0.1;

/// Bounds of the timeout for the owner's reply. The round trip between zones takes milliseconds,
/// and a busy vm with an eighth of a core adds a few more.
const REPLY_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(100));

/// Time without a prompt after which a vm may have lost the ownership of a service. Its information
/// about the engines is then outdated.
const OWNERSHIP_IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Multiple of a prompt's predicted time after which its engine counts as unresponsive. Nearly all
/// prompts take less than twice the predicted time (`docs/DECISIONS.md`, section 2).
const TIMEOUT_FACTOR: f64 = 3.0;

/// Additional time after which an engine counts as unresponsive. It covers parts that the engine
/// was wrongly expected to have cached.
const TIMEOUT_SLACK: Duration = Duration::from_millis(400);

/// Minimum timeout of a prompt, as a share of the time without an event that a caller tolerates.
const TIMEOUT_GAP_RATIO: f64 = 0.5;

/// Time after which a prompt is abandoned at an engine that has not computed it. A prompt may be
/// computed again at another engine, so there is no need to wait until the caller disconnects after
/// `gap`. The timeout is at least half of `gap`, because the prediction of a vm that has just
/// started is too short.
pub fn prompt_timeout(predicted_ms: f64, gap: Duration) -> Duration {
    let predicted = Duration::from_secs_f64(predicted_ms.clamp(0.0, 60_000.0) / 1000.0);
    let expected = predicted.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_SLACK;
    expected.max(gap.mul_f64(TIMEOUT_GAP_RATIO))
}

/// Timeout for the owner's reply on a route with this latency aim.
pub fn reply_timeout(latency_aim: Duration) -> Duration {
    latency_aim
        .mul_f64(REPLY_TIMEOUT_RATIO)
        .clamp(REPLY_TIMEOUT_RANGE.0, REPLY_TIMEOUT_RANGE.1)
}

/// Owners that recently did not reply in time.
#[derive(Debug, Default)]
pub struct UnresponsiveOwners {
    until: HashMap<VmId, Duration>,
}

impl UnresponsiveOwners {
    /// Records that the owner did not reply in time.
    pub fn record_timeout(&mut self, owner: VmId, now: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(owner, now + UNRESPONSIVE_TIME);
    }

    /// Whether placement requests may be sent to the owner.
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
    /// Time of the last placement for each service.
    last_placed_at: HashMap<String, Duration>,
    placed_prompts: HashMap<PromptRequestId, PlacedPrompt>,
    /// Requests that were cancelled before they arrived, and until when the cancellation is kept.
    cancelled: HashMap<PromptRequestId, Duration>,
    reporters: Reporters,
}

impl PromptOwner {
    /// Creates an owner without any prompts.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            placer: Placer::new(PlacementConfig {
                places_all_requests: true,
                ..config
            }),
            last_placed_at: HashMap::new(),
            placed_prompts: HashMap::new(),
            cancelled: HashMap::new(),
            reporters: Reporters::default(),
        }
    }

    /// Returns true once when this vm has become the owner of a service, so that the caller queries
    /// the engines for their cached parts.
    pub fn take_ownership(&mut self, service: &str, now: Duration) -> bool {
        let last = self.last_placed_at.insert(service.to_owned(), now);
        last.is_none_or(|last| now > last + OWNERSHIP_IDLE_LIMIT)
    }

    /// Records the parts that an engine reported as cached.
    pub fn record_cached_parts(
        &mut self,
        key: TargetKey,
        parts: &[PromptPart],
        engine: EngineLimits,
    ) {
        self.placer.record_cached_parts(key, parts, engine);
    }

    /// Places a prompt and counts it at its engine until its end is reported.
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
            hand_over: None,
            version: RequiredVersion::Any,
        };
        let placed = self.placer.place(catalog, &request, now);
        if self.cancelled.contains_key(&prompt_request.id) {
            if let Ok(placed) = &placed {
                self.placer.finished(placed, now);
            }
            return PromptPlacementReply {
                place: Err(PlacementRefused::NoTarget),
                prefill_cost: self.placer.prefill_cost(&prompt_request.service),
                slow_links: None,
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
                work_factor: placed.work_factor,
                cold_tokens: placed.cold_tokens,
                cost_to_others_ms: placed.cost_to_others_ms,
            };
            self.queue_transfer(prompt_request, &placed, engine, now);
            let timeout = prompt_timeout(placed.predicted_ms, Duration::ZERO);
            let expires_at = now + timeout.min(prompt_request.time_left) + ABANDONED_PROMPT_GRACE;
            let prompt = PlacedPrompt { placed, expires_at };
            self.placed_prompts.insert(prompt_request.id, prompt);
            place
        });
        PromptPlacementReply {
            place,
            prefill_cost: self.placer.prefill_cost(&prompt_request.service),
            slow_links: prompt_request.known_links.and_then(|known| {
                let service = &prompt_request.service;
                self.placer.slow_links(catalog, service, known, now)
            }),
        }
    }

    /// Explains the choice that [`PromptOwner::place`] would make, without making it.
    pub fn explain(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> PlacementExplanation {
        self.placer.explain(catalog, request, now)
    }

    /// Places a prompt within the rate limits of the engines.
    pub fn place_within_limits(
        &mut self,
        catalog: &Catalog,
        limits: &RateLimits,
        permits: &mut Permits,
        prompt_request: &PromptPlacementRequest,
        engine: EngineLimits,
        now: Duration,
    ) -> PromptPlacementReply {
        let demand = PermitDemand {
            rank: prompt_request.rank,
            is_continuation: prompt_request.is_continuation,
        };
        let limited: SmallVec<[_; 4]> = limits
            .of_service(catalog, &prompt_request.service)
            .collect();
        for (key, limit_per_s) in limited.iter().copied() {
            let stage = catalog.get(key).and_then(|target| target.stage);
            let wait = permits.wait(key, limit_per_s, demand, now);
            self.placer.hold(key, stage, wait, now);
        }
        let reply = self.place(catalog, prompt_request, engine, now);
        for (key, limit_per_s) in limited {
            let is_chosen = reply
                .place
                .as_ref()
                .is_ok_and(|place| catalog.key_of(&place.target) == Some(key));
            let is_refused = matches!(reply.place, Err(PlacementRefused::Limited { .. }));
            if is_chosen {
                // The engine was not held, so a permit is available.
                let granted = permits.grant(key, limit_per_s, demand, now);
                debug_assert!(granted.is_ok(), "placed at an engine without a permit");
            } else if is_refused {
                permits.record_refusal(key, demand, now);
            }
        }
        reply
    }

    /// Records whether an engine limits its requests per second.
    pub fn set_limited(&mut self, key: TargetKey, stage: Option<Stage>, is_limited: bool) {
        self.placer.set_limited(key, stage, is_limited);
    }

    /// Records the end of a prompt. An unknown prompt was placed before this vm became the owner,
    /// or was cancelled before its request arrived.
    pub fn ended(&mut self, end: &PromptEnd, now: Duration) {
        let Some(PlacedPrompt { placed, .. }) = self.placed_prompts.remove(&end.id) else {
            if end.outcome == PromptOutcome::GivenUp {
                self.cancelled.insert(end.id, now + CANCELLATION_LIFETIME);
            }
            return;
        };
        // The prefill cost must not include the transmission time of the report.
        let ended_at = placed.placed_at.saturating_add(end.took).min(now);
        match end.outcome {
            PromptOutcome::Computed => self.placer.links.computed(end.id, ended_at),
            _ => self.placer.links.cancel(end.id),
        }
        let report = FailureReport {
            vm: end.id.vm,
            key: placed.key,
            placed_at: placed.placed_at,
        };
        let is_of_links = match end.outcome {
            PromptOutcome::Computed | PromptOutcome::Refused => {
                self.reporters.answered(report.vm, report.key, ended_at);
                false
            }
            PromptOutcome::Failed | PromptOutcome::Unreachable => {
                self.reporters.is_of_links(report, now)
            }
            PromptOutcome::GivenUp => false,
        };
        match end.outcome {
            PromptOutcome::Computed => self.placer.first_byte(&placed, end.report, ended_at),
            PromptOutcome::Refused => self.placer.refused(&placed, end.report, now),
            PromptOutcome::Failed | PromptOutcome::Unreachable if is_of_links => {}
            PromptOutcome::Failed => self.placer.failed(&placed, now),
            PromptOutcome::Unreachable => self.placer.unreachable(&placed, now),
            PromptOutcome::GivenUp => {}
        }
        self.placer.finished(&placed, now);
    }

    /// Records that an engine was ordered to change its stage.
    pub fn record_stage_change(&mut self, key: TargetKey, stage: Stage, now: Duration) {
        self.placer.record_stage_change(key, stage, now);
    }

    /// Adopts a prefill cost that was estimated by another vm.
    pub fn adopt_prefill_cost(&mut self, service: &str, prefill_cost: PrefillCost, now: Duration) {
        self.placer.adopt_prefill_cost(service, prefill_cost, now);
    }

    /// Sets the number of reachable vms, which request placements here, and of all vms. Unreachable
    /// vms place their prompts alone.
    pub fn set_vms(&mut self, reachable: usize, total: usize) {
        let unseen = total.saturating_sub(reachable) as f64;
        self.placer
            .set_unseen_load_ratio(unseen / reachable.max(1) as f64);
    }

    /// Time in which the stated figures of engines change. See [`Placer::figure_change_time`].
    pub fn figure_change_time(&self) -> Duration {
        self.placer.figure_change_time()
    }

    /// Drops engines that no longer exist and prompts whose end was not reported in time.
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
        self.reporters.retain(|key| catalog.get(key).is_some(), now);
        self.cancelled.retain(|_, until| now < *until);
    }
}
