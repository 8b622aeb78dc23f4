//! The choice of a target for an opaque request.
//!
//! Rendezvous hashing assigns each shared prompt prefix a home engine. All vms compute the same
//! home without exchanging messages, so the prefix stays cached on one engine. A request is sent
//! to another engine when the predicted time to the first token is shorter there, which bounds the
//! load of a popular home. The alternatives are discussed in `docs/platform.md`.
//!
//! A prompt may be computed by an engine of the prefill stage, which is twice as fast, and then
//! handed over to an engine of the decode stage. The hand-over does not pay off for short prompts.

mod backup;
mod cached;
mod config;
mod load;
mod prefill_cost;
mod queue;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use backup::is_worth_backup;
use cached::CachedParts;
pub use config::PlacementConfig;
pub use load::LoadReport;
use load::{GroupLoad, TargetState};
pub use prefill_cost::PrefillCost;
use prefill_cost::PrefillCostEstimator;
pub use queue::PlacementId;

use super::catalog::{Catalog, CatalogTarget, Stage, TargetKey, TargetPhase};
use super::prompt_owner::PromptPlacement;
use super::settings::EngineLimits;
use crate::authority::mix;

/// Upper bound on reported waits, in milliseconds. No caller waits for longer.
const MAX_REPORTED_WAIT_MS: f64 = 600_000.0;

/// One part of a prompt. Parts are listed in prompt order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the part. Parts with equal ids in different prompts have the same text.
    pub id: u64,
    /// Length of the part, in tokens.
    pub tokens: u64,
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

/// Chooses targets and tracks their load as seen by this vm.
#[derive(Debug)]
pub struct Placer {
    config: PlacementConfig,
    states: HashMap<TargetKey, TargetState>,
    /// Load from vms whose requests this placer does not see, as a multiple of the load it sees.
    unseen_load_ratio: f64,
    /// Number of placements so far.
    choices: u64,
    cached: CachedParts,
    /// Estimated time that the engines of each service take to compute prompts.
    prefill_costs: HashMap<String, ServicePrefillCost>,
}

/// A prefill cost estimate, and when it was last updated by an answer or adopted from a vm.
#[derive(Clone, Copy, Debug, Default)]
struct ServicePrefillCost {
    estimator: PrefillCostEstimator,
    at: Duration,
}

/// Time for which a prefill cost estimate is used. A vm receives a new one with each prompt that it
/// places.
const PREFILL_COST_LIFETIME: Duration = Duration::from_secs(5);

/// A target that could run a request, with its estimates.
struct Candidate<'a> {
    key: TargetKey,
    target: &'a CatalogTarget,
    uncached_tokens: u64,
    copied_from: Option<TargetKey>,
    predicted_ms: f64,
    /// Share of `predicted_ms` that the request waits for other requests.
    wait_ms: f64,
    /// Penalty for disadvantages other than the time to the first byte.
    drawback_ms: f64,
    expected_in_flight: f64,
    home_rank: usize,
}

/// Whether targets are omitted for which no permit is expected to be available.
#[derive(Clone, Copy, Debug)]
enum Holds {
    Respected,
    Ignored,
}

/// Inputs that are common to all candidates for one request.
#[derive(Clone, Copy, Debug)]
struct ServiceView<'a> {
    group: GroupLoad,
    /// Engine from which others can copy the prompt prefix.
    source: Option<Source<'a>>,
    prefill_cost: PrefillCost,
    now: Duration,
}

/// An engine that has cached a prompt prefix.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    key: TargetKey,
    zone: &'a str,
    tokens: u64,
}

impl Placer {
    /// Creates a placer without any load information.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            unseen_load_ratio: 0.0,
            choices: 0,
            cached: CachedParts::default(),
            prefill_costs: HashMap::new(),
        }
    }

    /// Sets the number of vms that send to the same targets, including this one.
    pub fn set_vms(&mut self, vms: usize) {
        self.unseen_load_ratio = vms.saturating_sub(1) as f64;
    }

    /// Sets the load that this placer does not see, as a multiple of the load it sees.
    pub(super) fn set_unseen_load_ratio(&mut self, unseen_load_ratio: f64) {
        self.unseen_load_ratio = unseen_load_ratio;
    }

    /// Whether all requests to the engines pass through this placer.
    fn sees_all_load(&self) -> bool {
        self.config.places_all_requests && self.unseen_load_ratio <= 0.0
    }

    /// Chooses a target and counts the request there until [`Placer::finished`].
    ///
    /// # Errors
    ///
    /// Returns why no target can take the request. No request is counted in that case.
    pub fn place(
        &mut self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Result<Placement, PlacementRefused> {
        self.place_with(catalog, request, Holds::Respected, now)
    }

    /// Chooses a target for the remainder of a run that has broken off. Permits for such requests may
    /// be available when there are none for others.
    ///
    /// # Errors
    ///
    /// Returns why no target can take the request. No request is counted in that case.
    pub fn place_continuation(
        &mut self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Result<Placement, PlacementRefused> {
        let placed = self.place_with(catalog, request, Holds::Respected, now);
        match placed {
            Err(PlacementRefused::Limited { .. }) => {
                self.place_with(catalog, request, Holds::Ignored, now)
            }
            placed => placed,
        }
    }

    fn place_with(
        &mut self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        holds: Holds,
        now: Duration,
    ) -> Result<Placement, PlacementRefused> {
        self.choices += 1;
        let chance = mix(self.config.seed ^ self.choices);
        let candidates = self.candidates_with(catalog, request, holds, now);
        // Vms with equal or no load information would otherwise all choose the same target.
        let rank = |c: &Candidate<'_>| {
            let random = mix(chance ^ u64::from(c.key.0)) as f64 / u64::MAX as f64;
            c.predicted_ms + c.drawback_ms + random * self.config.tie_margin_ms
        };
        let best = candidates
            .into_iter()
            .min_by(|a, b| rank(a).total_cmp(&rank(b)))
            .ok_or_else(|| self.refusal(catalog, request, now))?;
        self.admit(request, best.wait_ms)?;
        Ok(self.record_candidate(catalog, best, request, now))
    }

    /// Counts a request at the given target, for example one that holds state of the request. If the
    /// target limits its requests per second, the request needs a permit. Returns `None` if the
    /// target accepts no work.
    pub fn place_at(
        &mut self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        key: TargetKey,
        now: Duration,
    ) -> Option<Placement> {
        self.choices += 1;
        let candidates = self.candidates_with(catalog, request, Holds::Ignored, now);
        let candidate = candidates.into_iter().find(|c| c.key == key)?;
        Some(self.record_candidate(catalog, candidate, request, now))
    }

    /// Chooses the engine that keeps a replica of a run placed at another engine: the least busy
    /// one, in the same zone if possible. Replicas in other zones cost twice as much and saved no
    /// more streams.
    pub fn backup(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        placed: &Placement,
        now: Duration,
    ) -> Option<TargetKey> {
        let candidates = self.candidates(catalog, request, now).into_iter();
        let others = candidates.filter(|c| c.key != placed.key);
        let rank = |c: &Candidate<'_>| {
            let busy = c.expected_in_flight / f64::from(c.target.slots.max(1));
            // Continuing the run at a limited target would take a permit.
            let is_limited = self.is_limited(c.key);
            ((is_limited, c.target.zone != placed.target.zone), busy)
        };
        let best = others.min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        Some(best.key)
    }

    /// Counts a request at the target of a candidate.
    fn record_candidate(
        &mut self,
        catalog: &Catalog,
        candidate: Candidate<'_>,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Placement {
        let state = self.states.get(&candidate.key);
        let placed = Placement {
            id: PlacementId(self.choices),
            key: candidate.key,
            target: candidate.target.clone(),
            uncached_tokens: candidate.uncached_tokens,
            copied_from: candidate.copied_from,
            predicted_ms: candidate.predicted_ms,
            wait_ms: candidate.wait_ms,
            expected_in_flight: candidate.expected_in_flight,
            report: state.and_then(|s| s.last_report(now)),
            placed_at: now,
            home_rank: candidate.home_rank,
            omitted_targets: self.omitted_targets(catalog, request.service, now),
        };
        self.count_start(&placed, request, now);
        placed
    }

    /// Counts a request at a target that was chosen by the owner of the service, as if this placer
    /// had chosen it. See [`super::PromptOwner`].
    pub fn record_owner_placement(
        &mut self,
        target: &CatalogTarget,
        key: TargetKey,
        copied_from: Option<TargetKey>,
        place: &PromptPlacement,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Placement {
        self.choices += 1;
        let placed = Placement {
            id: PlacementId(self.choices),
            key,
            target: target.clone(),
            uncached_tokens: place.uncached_tokens,
            copied_from,
            predicted_ms: place.predicted_ms,
            wait_ms: place.wait_ms,
            expected_in_flight: place.expected_in_flight,
            report: None,
            placed_at: now,
            home_rank: place.home_rank,
            omitted_targets: OmittedTargets::default(),
        };
        self.count_start(&placed, request, now);
        placed
    }

    /// Records the parts that an engine reported as cached. They count as used earlier than the
    /// parts that this placer has sent there.
    pub(super) fn record_cached_parts(
        &mut self,
        key: TargetKey,
        parts: &[PromptPart],
        engine: EngineLimits,
    ) {
        self.cached.record_use(key, parts, engine.memory_tokens);
    }

    /// Estimated prefill cost of the engines of a service.
    pub fn prefill_cost(&self, service: &str) -> PrefillCost {
        self.prefill_costs
            .get(service)
            .map_or(PrefillCost::default(), |cost| cost.estimator.prefill_cost())
    }

    /// The prefill cost estimate, if it is recent and based on enough answers.
    fn fresh_prefill_cost(&self, service: &str, now: Duration) -> Option<PrefillCost> {
        let cost = self.prefill_costs.get(service)?;
        let is_fresh = now < cost.at + PREFILL_COST_LIFETIME;
        Some(cost.estimator.prefill_cost())
            .filter(|prefill_cost| is_fresh && prefill_cost.is_reliable())
    }

    /// Adopts a prefill cost that was estimated by another vm.
    pub fn adopt_prefill_cost(&mut self, service: &str, prefill_cost: PrefillCost, now: Duration) {
        let cost = self.prefill_costs.entry(service.to_owned()).or_default();
        cost.estimator.adopt(prefill_cost);
        cost.at = now;
    }

    /// Chooses one engine for the complete request, or a prefill engine for its prompt only.
    ///
    /// # Errors
    ///
    /// Returns why no engine can take the request. No request is counted in that case.
    pub fn place_engine_request(
        &mut self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Result<EnginePath, PlacementRefused> {
        let prompt = match self.plan_engine_request(catalog, request, now)? {
            EnginePlan::Direct => return self.place(catalog, request, now).map(EnginePath::Direct),
            EnginePlan::Split { longest_wait } => PlacementRequest {
                stage: Some(Stage::Prefill),
                longest_wait,
                ..request.clone()
            },
        };
        self.place(catalog, &prompt, now).map(EnginePath::Split)
    }

    /// Decides whether a request is split between two engines, without choosing an engine.
    ///
    /// # Errors
    ///
    /// Returns why no engine can take the request.
    pub fn plan_engine_request(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Result<EnginePlan, PlacementRefused> {
        self.plan_with(catalog, request, Holds::Respected, now)
    }

    /// Like [`Placer::plan_engine_request`], for a request that has a permit for the engine of its
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns why no engine can take the request.
    pub fn plan_permitted_request(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Result<EnginePlan, PlacementRefused> {
        self.plan_with(catalog, request, Holds::Ignored, now)
    }

    fn plan_with(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        holds: Holds,
        now: Duration,
    ) -> Result<EnginePlan, PlacementRefused> {
        let prefill = PlacementRequest {
            stage: Some(Stage::Prefill),
            ..request.clone()
        };
        // A decode engine that receives a computed prompt has no prompt tokens to compute.
        let handed_over = PlacementRequest {
            stage: Some(Stage::Decode),
            parts: &[],
            ..request.clone()
        };
        let answers = self.candidates_with(catalog, &handed_over, holds, now);
        let wait_ms = answers
            .iter()
            .map(|c| c.wait_ms)
            .min_by(f64::total_cmp)
            .ok_or_else(|| self.refusal(catalog, &handed_over, now))?;
        if self.runs_direct(request, now) || self.eligible(catalog, &prefill, now).next().is_none()
        {
            return Ok(EnginePlan::Direct);
        }
        let wait = Duration::from_secs_f64(wait_ms.clamp(0.0, MAX_REPORTED_WAIT_MS) / 1000.0);
        Ok(EnginePlan::Split {
            longest_wait: request.longest_wait.saturating_sub(wait),
        })
    }

    /// Whether a prompt is so short that the hand-over costs more than it saves, even if none of
    /// its parts is cached. Cached parts are not considered: a long prompt whose parts turn out not
    /// to be cached blocks a decode engine, and all answers placed there, for seconds.
    fn runs_direct(&self, request: &PlacementRequest<'_>, now: Duration) -> bool {
        let prefill_cost = self
            .fresh_prefill_cost(request.service, now)
            .unwrap_or_default();
        let tokens = request.parts.iter().map(|part| part.tokens).sum();
        let direct_ms = prefill_cost.work_ms(tokens) * stage_factor(Some(Stage::Decode));
        let longest_ms = self.config.hand_over_ms;
        direct_ms <= longest_ms.max(prefill_cost.fixed_ms * self.config.direct_cost_ratio)
    }

    /// Refuses a request that would wait too long for other requests. Its own work does not count,
    /// so long prompts are not refused more often than short ones.
    fn admit(&self, request: &PlacementRequest<'_>, wait_ms: f64) -> Result<(), PlacementRefused> {
        let longest_ms = request.longest_wait.as_secs_f64() * 1000.0;
        if wait_ms <= longest_ms {
            return Ok(());
        }
        let excess_ms = (wait_ms - longest_ms).clamp(0.0, MAX_REPORTED_WAIT_MS);
        let excess = Duration::from_secs_f64(excess_ms / 1000.0);
        let longest = self.config.max_retry_after;
        let retry_after = self.retry_after(request, excess.min(longest));
        let wait = Duration::from_secs_f64(wait_ms.min(MAX_REPORTED_WAIT_MS) / 1000.0);
        Err(PlacementRefused::Overloaded { retry_after, wait })
    }

    fn count_start(&mut self, placed: &Placement, request: &PlacementRequest<'_>, now: Duration) {
        let state = self.state(placed.key, placed.target.stage);
        state.advance(now);
        state.in_flight += 1;
        if placed.uncached_tokens > 0 {
            state.queue.push(placed.id, placed.uncached_tokens, now);
        }
        state.unanswered_since.get_or_insert(now);
        self.cached
            .record_use(placed.key, request.parts, request.engine.memory_tokens);
    }

    /// Records that the first byte of an answer arrived, which means that the prompt is computed.
    pub fn first_byte(&mut self, placed: &Placement, report: Option<LoadReport>, now: Duration) {
        let prefill_cost = self.prefill_cost(&placed.target.service);
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.queue.computed(placed.id);
        state.unanswered_since = None;
        let took_ms = now.saturating_sub(placed.placed_at).as_secs_f64() * 1000.0;
        let work_ms = prefill_cost.work_ms(placed.uncached_tokens);
        let own_ms = match placed.uncached_tokens {
            0 => 0.0,
            _ => prefill_cost.fixed_ms + work_ms * stage_factor(placed.target.stage),
        };
        state.delay = Some(((took_ms - own_ms).max(0.0), now));
        state.refusals = 0;
        state.failure_rate *= 0.8;
        if state.failure_rate < self.config.failure_threshold / 2.0 {
            state.ejections = 0;
        }
        if let Some(report) = report {
            state.report = Some((report, now));
        }
        let is_prompt = placed.target.stage == Some(Stage::Prefill);
        // Without seeing all prompts, a slow engine cannot be told apart from a busy one.
        if is_prompt
            && self.unseen_load_ratio <= 0.0
            && self.config.places_all_requests
            && placed.wait_ms <= 0.0
        {
            state
                .slowness
                .update(work_ms, (took_ms - prefill_cost.fixed_ms).max(0.0));
            let service = placed.target.service.clone();
            let cost = self.prefill_costs.entry(service).or_default();
            cost.estimator.update(placed.uncached_tokens, took_ms);
            cost.at = now;
        }
    }

    /// Records that the target refused the request because it is full.
    pub fn refused(&mut self, placed: &Placement, report: Option<LoadReport>, now: Duration) {
        let config = &self.config;
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.queue.remove(placed.id);
        state.unanswered_since = None;
        if let Some(report) = report {
            state.report = Some((report, now));
        }
        // A slot that becomes free in a full target is taken at once by other vms, and a target
        // that changes its stage refuses work for seconds. Both are avoided for a while.
        let time = config.initial_refusal_pause * (1 << state.refusals.min(6));
        state.avoided_until = now + time.min(config.max_ejection);
        state.refusals += 1;
    }

    /// Records that the engine was ordered to change its stage. It refuses new work until then.
    pub fn record_stage_change(&mut self, key: TargetKey, stage: Stage, now: Duration) {
        let until = now + self.config.max_stage_change;
        self.state(key, Some(stage)).changing = Some((stage, until));
    }

    fn state(&mut self, key: TargetKey, stage: Option<Stage>) -> &mut TargetState {
        let state = self.states.entry(key);
        state.or_insert_with(|| TargetState::new(stage))
    }

    fn is_changing(&self, key: TargetKey, target: &CatalogTarget, now: Duration) -> bool {
        let changing = self.states.get(&key).and_then(|state| state.changing);
        changing.is_some_and(|(stage, until)| now < until && target.stage != Some(stage))
    }

    /// Records a failed attempt: the connection was refused or broken, or no answer came in time.
    pub fn failed(&mut self, placed: &Placement, now: Duration) {
        let config = &self.config;
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.queue.remove(placed.id);
        state.failure_rate = state.failure_rate * 0.8 + 0.2;
        if state.failure_rate < config.failure_threshold || now < state.avoided_until {
            return;
        }
        let time = config.initial_ejection * (1 << state.ejections.min(6));
        state.avoided_until = now + time.min(config.max_ejection);
        state.ejections += 1;
    }

    /// Records that the target refused the connection, so it is down or has been removed.
    pub fn unreachable(&mut self, placed: &Placement, now: Duration) {
        if let Some(state) = self.states.get_mut(&placed.key) {
            // A target that is down fails all requests immediately, so it is avoided from the first
            // failure on.
            state.failure_rate = state.failure_rate.max(self.config.failure_threshold);
        }
        self.failed(placed, now);
    }

    /// Records the end of an attempt, whatever its outcome.
    pub fn finished(&mut self, placed: &Placement, now: Duration) {
        if let Some(state) = self.states.get_mut(&placed.key) {
            state.advance(now);
            state.in_flight = state.in_flight.saturating_sub(1);
            state.queue.remove(placed.id);
            if state.in_flight == 0 {
                state.unanswered_since = None;
            }
        }
    }

    /// Drops the state of removed targets that have no requests in flight and no pending backoff. A
    /// backoff continues after the entry of its target has expired.
    pub fn evict_removed(&mut self, catalog: &Catalog, now: Duration) {
        self.states.retain(|key, state| {
            state.in_flight > 0 || state.backoff_until > now || catalog.get(*key).is_some()
        });
        self.cached.retain(|key| catalog.get(key).is_some());
    }

    fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        self.candidates_with(catalog, request, Holds::Respected, now)
    }

    fn candidates_with<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlacementRequest<'_>,
        holds: Holds,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let all: Vec<_> = self
            .eligible(catalog, request, now)
            .filter(|(key, _)| {
                let is_free = match holds {
                    Holds::Respected => self.hold_remaining(*key, now).is_zero(),
                    Holds::Ignored => true,
                };
                is_free && self.backoff_remaining(*key, now).is_zero()
            })
            .collect();
        let healthy: Vec<_> = all
            .iter()
            .filter(|(key, _)| self.is_healthy(*key, now))
            .copied()
            .collect();
        // If all targets seem to fail, one of them is still better than none.
        let targets = if healthy.is_empty() { all } else { healthy };
        let homes = homes(&targets, request.parts);
        let states = targets.iter().map(|(key, _)| self.states.get(key));
        let service = ServiceView {
            group: GroupLoad::new(states, self.unseen_load_ratio, now),
            source: self.source(&targets, request),
            prefill_cost: self.prefill_cost(request.service),
            now,
        };
        targets
            .into_iter()
            .zip(homes)
            .map(|((key, target), rank)| self.candidate(key, target, rank, request, &service))
            .collect()
    }

    /// Engine that has cached the longest prefix of a prompt.
    fn source<'a>(
        &self,
        targets: &[(TargetKey, &'a CatalogTarget)],
        request: &PlacementRequest<'_>,
    ) -> Option<Source<'a>> {
        if request.stage != Some(Stage::Prefill) || !self.config.places_all_requests {
            return None;
        }
        let shared = shared_parts(request.parts);
        let sources = targets.iter().map(|(key, target)| Source {
            key: *key,
            zone: &target.zone,
            tokens: self.cached.tokens(*key, shared),
        });
        let best = sources.max_by_key(|s| (s.tokens, s.zone == request.zone))?;
        (best.tokens > 0).then_some(best)
    }

    /// Source engine, number of tokens and time in milliseconds of copying cached tokens to a
    /// target, if copying is faster than computing them.
    fn copied(
        &self,
        target: &CatalogTarget,
        uncached_tokens: u64,
        request: &PlacementRequest<'_>,
        source: Option<Source<'_>>,
        compute_ms_per_1k: f64,
    ) -> Option<(TargetKey, u64, f64)> {
        let source = source?;
        let all: u64 = request.parts.iter().map(|part| part.tokens).sum();
        let kept = all.saturating_sub(uncached_tokens);
        let tokens = source
            .tokens
            .checked_sub(kept)
            .filter(|tokens| *tokens > 0)?;
        let is_other_zone = target.zone != source.zone;
        let time = request.engine.copy_time(tokens, is_other_zone)?;
        let copy_ms = time.as_secs_f64() * 1000.0 + self.config.copy_fixed_ms;
        let compute_ms = compute_ms_per_1k * tokens as f64 / 1000.0;
        (copy_ms < compute_ms).then_some((source.key, tokens, copy_ms))
    }

    /// Targets that could run the request, including those that are backing off.
    fn eligible<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (TargetKey, &'a CatalogTarget)> {
        catalog.usable(now).filter(move |(key, target)| {
            target.service == request.service
                && !request.excluded.contains(key)
                && (request.stage.is_none() || target.stage == request.stage)
                && !self.is_changing(*key, target, now)
        })
    }

    /// Reason why there is no candidate.
    fn refusal(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> PlacementRefused {
        let eligible = self.eligible(catalog, request, now);
        let unavailable = eligible.map(|(key, _)| {
            let hold = self.hold_remaining(key, now);
            let backoff = self.backoff_remaining(key, now);
            (hold.max(backoff), hold > backoff)
        });
        match unavailable.min() {
            Some((time, true)) => PlacementRefused::Limited {
                retry_after: self.retry_after(request, time),
            },
            Some((retry_after, false)) => PlacementRefused::Resting { retry_after },
            None => PlacementRefused::NoTarget,
        }
    }

    /// Time after which the caller of a request that is refused for lack of capacity may retry, but
    /// not before `earliest`.
    pub fn retry_after(&self, request: &PlacementRequest<'_>, earliest: Duration) -> Duration {
        let config = &self.config;
        let later = request.time_left.mul_f64(config.retry_time_ratio);
        let retry_after = earliest.max(later);
        retry_after
            .clamp(config.min_retry_after, config.max_retry_after)
            .max(earliest)
    }

    /// Remaining time for which no permit for a target is expected to be available.
    fn hold_remaining(&self, key: TargetKey, now: Duration) -> Duration {
        let until = self
            .states
            .get(&key)
            .map_or(Duration::ZERO, |s| s.held_until);
        until.saturating_sub(now)
    }

    /// Omits a target until a permit for it is expected to be available.
    pub fn hold(&mut self, key: TargetKey, stage: Option<Stage>, time: Duration, now: Duration) {
        self.state(key, stage).held_until = now.saturating_add(time);
    }

    /// Records whether a target limits its requests per second.
    pub fn set_limited(&mut self, key: TargetKey, stage: Option<Stage>, is_limited: bool) {
        let state = self.state(key, stage);
        if state.is_limited != is_limited {
            state.is_limited = is_limited;
            state.held_until = Duration::ZERO;
        }
    }

    fn is_limited(&self, key: TargetKey) -> bool {
        self.states.get(&key).is_some_and(|state| state.is_limited)
    }

    /// Best target for a request, if all targets that could run it limit their requests per second.
    pub fn only_limited(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<TargetKey> {
        let candidates = self.candidates(catalog, request, now);
        if !candidates.iter().all(|c| self.is_limited(c.key)) {
            return None;
        }
        let rank = |c: &Candidate<'_>| c.predicted_ms + c.drawback_ms;
        let best = candidates
            .iter()
            .min_by(|a, b| rank(a).total_cmp(&rank(b)))?;
        Some(best.key)
    }

    /// Remaining time for which a target accepts no work from this vm.
    pub fn backoff_remaining(&self, key: TargetKey, now: Duration) -> Duration {
        let until = self
            .states
            .get(&key)
            .map_or(Duration::ZERO, |s| s.backoff_until);
        until.saturating_sub(now)
    }

    /// Targets that currently accept no work from this vm.
    pub fn backing_off(&self, now: Duration) -> impl Iterator<Item = TargetKey> {
        let backing_off = self
            .states
            .iter()
            .filter(move |(_, s)| now < s.backoff_until);
        backing_off.map(|(key, _)| *key)
    }

    /// Records that the target accepts no work from this vm for `time`. A later request for a
    /// shorter backoff does not end an earlier one.
    pub fn back_off(
        &mut self,
        key: TargetKey,
        stage: Option<Stage>,
        time: Duration,
        now: Duration,
    ) {
        let state = self.state(key, stage);
        state.backoff_until = state.backoff_until.max(now.saturating_add(time));
    }

    /// Number of targets of a service that are omitted because they are leaving or backing off.
    pub fn omitted_targets(
        &self,
        catalog: &Catalog,
        service: &str,
        now: Duration,
    ) -> OmittedTargets {
        let mut omitted = OmittedTargets::default();
        for (key, target) in catalog.iter().filter(|(_, t)| t.service == service) {
            omitted.leaving += u32::from(catalog.is_leaving(key));
            let is_backing_off =
                target.phase == TargetPhase::Ready && !self.backoff_remaining(key, now).is_zero();
            omitted.backing_off += u32::from(is_backing_off);
            omitted.limited += u32::from(!self.hold_remaining(key, now).is_zero());
        }
        omitted
    }

    fn is_healthy(&self, key: TargetKey, now: Duration) -> bool {
        self.states.get(&key).is_none_or(|state| {
            now >= state.avoided_until
                && !state.is_unresponsive(self.config.unresponsive_after, now)
        })
    }

    fn candidate<'a>(
        &self,
        key: TargetKey,
        target: &'a CatalogTarget,
        home_rank: usize,
        request: &PlacementRequest<'_>,
        service: &ServiceView<'_>,
    ) -> Candidate<'a> {
        let config = &self.config;
        let &ServiceView {
            prefill_cost, now, ..
        } = service;
        let state = self.states.get(&key);
        let expected = service.group.expected(state, now);
        let report = state.and_then(|s| s.report(now)).unwrap_or_default();
        let mut uncached_tokens = self.uncached(key, home_rank, request.parts);
        let slowness = state.map_or(1.0, |state| state.slowness.factor());
        let factor = slowness * stage_factor(target.stage);
        let copied = self.copied(
            target,
            uncached_tokens,
            request,
            service.source,
            prefill_cost.ms_per_1k * factor,
        );
        let (mut copied_from, mut copy_ms) = (None, 0.0);
        if let Some((from, tokens, time_ms)) = copied {
            uncached_tokens -= tokens;
            (copied_from, copy_ms) = (Some(from), time_ms);
        }
        let own_ms = match (target.stage, uncached_tokens) {
            (None, _) | (_, 0) => 0.0,
            _ => prefill_cost.fixed_ms + copy_ms + prefill_cost.work_ms(uncached_tokens) * factor,
        };
        let mut wait_ms = match target.stage {
            Some(stage) => {
                let queue_ms = state.map_or(0.0, |s| s.queue.wait_ms(prefill_cost, factor, now));
                let of_others = prefill_cost.ms_per_1k * expected.tokens_of_others / 1000.0;
                let queue_wait_ms = queue_ms + of_others * factor;
                match self.sees_all_load() && stage == Stage::Prefill {
                    true => queue_wait_ms,
                    false => queue_wait_ms.max(self.observed_wait_ms(state, stage, report, now)),
                }
            }
            None => {
                let slots = f64::from(target.slots.max(1));
                let busy = expected.in_flight.max(f64::from(report.running));
                let waiting = f64::from(report.waiting) + busy / slots;
                waiting * config.service_wait_per_request_ms
            }
        };
        // Requests beyond its slots are queued by the target.
        let busy = expected.in_flight.max(f64::from(report.running));
        let over = (busy + 1.0 - f64::from(target.slots.max(1))).max(0.0);
        wait_ms += over * config.wait_per_request_ms(target.stage);
        let mut drawback_ms = match target.stage {
            Some(Stage::Decode) => config.full_slowdown_ms * busy / f64::from(target.slots.max(1)),
            _ => 0.0,
        };
        if !request.zone.is_empty() && target.zone != request.zone {
            drawback_ms += config.other_zone_ms(target.stage);
        }
        // A new prefix starts at its home, where the next owner of the service expects it.
        if home_rank > 0 {
            drawback_ms += config.tie_margin_ms;
        }
        Candidate {
            wait_ms,
            drawback_ms,
            expected_in_flight: expected.in_flight,
            key,
            target,
            uncached_tokens,
            copied_from,
            predicted_ms: wait_ms + own_ms,
            home_rank,
        }
    }

    /// Wait at an engine according to its last report and its last answer, in milliseconds.
    fn observed_wait_ms(
        &self,
        state: Option<&TargetState>,
        stage: Stage,
        report: LoadReport,
        now: Duration,
    ) -> f64 {
        let config = &self.config;
        // All requests that run at a prefill engine are prompts ahead of this one.
        let running = match stage {
            Stage::Prefill => report.running,
            Stage::Decode => 0,
        };
        // The numbers are those of the target, so their sum may exceed an integer of their size.
        let requests = f64::from(report.waiting) + f64::from(running);
        let reported_ms = requests * config.engine_wait_per_request_ms;
        let delay_ms = state.map_or(0.0, |s| s.delay_ms(now)) * config.last_delay_weight;
        reported_ms.max(delay_ms)
    }

    /// Prompt tokens that the target is expected to compute. A part is cached only if all parts
    /// before it are.
    fn uncached(&self, key: TargetKey, home_rank: usize, parts: &[PromptPart]) -> u64 {
        let shared = shared_parts(parts);
        let cached = match home_rank == 0 && !self.config.places_all_requests {
            // Other vms send prompts with the same parts to the same home.
            true => shared.iter().map(|part| part.tokens).sum(),
            false => self.cached.tokens(key, shared),
        };
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        all.saturating_sub(cached)
    }
}

/// Factor on the prefill time at an engine of a stage. Decode engines compute prompts at half the
/// speed, interleaved with the tokens of their answers.
fn stage_factor(stage: Option<Stage>) -> f64 {
    match stage {
        Some(Stage::Decode) => 2.0,
        Some(Stage::Prefill) | None => 1.0,
    }
}

/// Parts that other requests may share, which are all but the last one.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Ranks of the targets in the rendezvous hash of the longest shared prompt prefix. Without shared
/// parts, all targets have rank 0.
fn homes(targets: &[(TargetKey, &CatalogTarget)], parts: &[PromptPart]) -> Vec<usize> {
    let Some(last) = shared_parts(parts).last() else {
        return vec![0; targets.len()];
    };
    let weights: Vec<_> = targets
        .iter()
        .map(|(_, target)| mix(mix(last.id) ^ hash_of(&target.id)))
        .collect();
    weights
        .iter()
        .map(|own| weights.iter().filter(|other| *other > own).count())
        .collect()
}

/// FNV-1a hash, which is stable across vms and restarts.
pub(super) fn hash_of(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
