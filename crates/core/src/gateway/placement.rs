//! The choice of a target for an opaque request.
//!
//! Rendezvous hashing assigns each shared prompt prefix a home engine. All vms compute the same
//! home without exchanging messages, so the prefix stays cached on one engine. A request is sent
//! to another engine when the predicted time to the first token is shorter there, which bounds the
//! load of a popular home. The alternatives are discussed in `docs/platform.md`.
//!
//! A prompt may be computed by an engine of the prefill stage, which is twice as fast, and then
//! handed over to an engine of the decode stage. The hand-over does not pay off for short prompts.

mod availability;
mod backup;
mod cached;
mod candidate;
mod config;
mod explain;
mod links;
mod load;
mod outcome;
mod plan;
mod prefill_cost;
mod queue;
mod request;
mod retention;
mod work_rate;

use std::collections::HashMap;
use std::time::Duration;

pub use backup::is_worth_backup;
use cached::CachedParts;
use candidate::{Candidate, Holds};
pub use config::PlacementConfig;
pub use explain::{OmissionReason, OmittedTarget, PlacementExplanation, TargetEstimate};
use links::Links;
pub use links::{EndedHandOver, HandOver, HandOverFinding, LinkChange, SlowLink, SlowLinks};
pub use load::LoadReport;
use load::TargetState;
use plan::ServicePrefillCost;
pub use prefill_cost::PrefillCost;
pub use queue::PlacementId;
pub use request::{
    EnginePath, EnginePlan, OmittedTargets, Placement, PlacementRefused, PlacementRequest,
    PromptPart, RequiredVersion,
};
use work_rate::{FigureStatistics, ServiceTime};

use retention::Retentions;

use super::catalog::{Catalog, CatalogTarget, TargetKey};
use super::prompt_owner::PromptPlacement;
use super::settings::EngineLimits;
use crate::authority::mix;

/// Upper bound on reported waits, in milliseconds. No caller waits for longer.
const MAX_REPORTED_WAIT_MS: f64 = 600_000.0;

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
    pub(super) links: Links,
    /// Mean and rate of change of the figures of all targets.
    figure_statistics: FigureStatistics,
    /// Times of plain services whose targets state figures.
    service_times: HashMap<String, ServiceTime>,
    /// How well the engines of each service retain cached parts.
    retentions: Retentions,
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
            links: Links::default(),
            figure_statistics: FigureStatistics::default(),
            service_times: HashMap::new(),
            retentions: Retentions::default(),
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
            c.rank_ms() + random * self.config.tie_margin_ms
        };
        let best = candidates
            .into_iter()
            .min_by(|a, b| rank(a).total_cmp(&rank(b)))
            .ok_or_else(|| self.refusal(catalog, request, now))?;
        self.admit(request, best.wait_ms + best.link_wait_ms)?;
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
    /// one of the same software version, in the same zone if possible. Replicas in other zones cost
    /// twice as much and saved no more streams.
    pub fn backup(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        placed: &Placement,
        now: Duration,
    ) -> Option<TargetKey> {
        let request = PlacementRequest {
            version: RequiredVersion::Of(placed.target.version.as_deref()),
            ..request.clone()
        };
        let candidates = self.candidates(catalog, &request, now).into_iter();
        // Copies of the run would delay the prompts that are handed over on the same links.
        if self.links.is_slow(placed.key, now) {
            return None;
        }
        let others = candidates.filter(|c| c.key != placed.key && !self.links.is_slow(c.key, now));
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
        self.record_link_use(catalog, &candidate, request, now);
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
            work_factor: candidate.work_factor,
            cold_tokens: candidate.cold_tokens,
            cost_to_others_ms: candidate.cost_to_others_ms,
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
            work_factor: place.work_factor,
            cold_tokens: place.cold_tokens,
            cost_to_others_ms: place.cost_to_others_ms,
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
        let limit = cached::default_limit(engine.memory_tokens);
        self.cached.record_use(key, parts, limit);
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
}

/// Parts that other requests may share, which are all but the last one.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// A time in milliseconds.
fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// FNV-1a hash, which is stable across vms and restarts.
pub(super) fn hash_of(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
