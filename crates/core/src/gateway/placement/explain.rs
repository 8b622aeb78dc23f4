//! The choice that a request would get now, without making or counting it.

use std::time::Duration;

use serde::Serialize;

use super::candidate::{Candidate, Holds};
use super::request::{PlacementRefused, PlacementRequest};
use super::{Placer, milliseconds};
use crate::gateway::catalog::{Catalog, CatalogTarget, TargetKey, TargetPhase};

/// Predictions for a request at one target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// Id of the target.
    pub target: String,
    /// Zone of the target.
    pub zone: String,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Share of `predicted_ms` that the request waits for other requests.
    pub wait_ms: f64,
    /// Further disadvantages of the target, in milliseconds. The target with the least sum of this
    /// and `predicted_ms` is chosen.
    pub drawback_ms: f64,
    /// Share of `drawback_ms` for what the request costs other prompts.
    pub cost_to_others_ms: f64,
    /// Prompt tokens that the target is expected to have cached, or to copy.
    pub cached_tokens: u64,
    /// Cached tokens that the target evicts next.
    pub cold_tokens: u64,
    /// Id of the engine from which the target copies parts of the prompt.
    pub copied_from: Option<String>,
    /// Rank of the target in the rendezvous hash of the prompt; 0 is the home.
    pub home_rank: usize,
    /// Estimated number of requests at the target.
    pub expected_in_flight: f64,
}

/// Why a target is not considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OmissionReason {
    /// Its entry shows that it drains.
    Draining,
    /// It has announced that it is leaving.
    Leaving,
    /// Its entry is gone.
    Missing,
    /// It was ordered to change its stage.
    ChangingStage,
    /// It has requested backoff.
    BackingOff,
    /// Its rate limit is used up.
    Limited,
    /// It has failed or refused requests, or does not answer.
    Failing,
}

/// A target of the service that is not considered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OmittedTarget {
    /// Id of the target.
    pub target: String,
    /// Why it is not considered.
    pub reason: OmissionReason,
    /// Time until it is considered again, in milliseconds, if it is known.
    pub for_ms: Option<f64>,
}

/// The choice that a request would get.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementExplanation {
    /// Targets that could run the request, best first. Of targets that differ by less than
    /// `tie_margin_ms`, any may be chosen.
    pub candidates: Vec<TargetEstimate>,
    /// Targets of the service and stage that are not considered.
    pub omitted: Vec<OmittedTarget>,
    /// Why the request would be refused, if it would.
    pub refused: Option<PlacementRefused>,
    /// Difference below which targets are treated as equal, in milliseconds.
    pub tie_margin_ms: f64,
}

impl Placer {
    /// Explains the choice that [`Placer::place`] would make.
    pub fn explain(
        &self,
        catalog: &Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> PlacementExplanation {
        let mut candidates = self.candidates_with(catalog, request, Holds::Respected, now);
        candidates.sort_by(|a, b| a.rank_ms().total_cmp(&b.rank_ms()));
        let refused = match candidates.first() {
            Some(best) => self.admit(request, best.wait_ms + best.link_wait_ms).err(),
            None => Some(self.refusal(catalog, request, now)),
        };
        let omitted = catalog
            .iter()
            .filter(|(key, target)| {
                target.service == request.service
                    && (request.stage.is_none() || target.stage == request.stage)
                    && candidates.iter().all(|c| c.key != *key)
            })
            .filter_map(|(key, target)| self.omitted_target(catalog, key, target, now))
            .collect();
        let estimate = |c: &Candidate<'_>| estimate(catalog, c, request);
        PlacementExplanation {
            candidates: candidates.iter().map(estimate).collect(),
            omitted,
            refused,
            tie_margin_ms: self.config.tie_margin_ms,
        }
    }

    /// A target that is no candidate. `None` if only the request excludes it.
    fn omitted_target(
        &self,
        catalog: &Catalog,
        key: TargetKey,
        target: &CatalogTarget,
        now: Duration,
    ) -> Option<OmittedTarget> {
        let backoff = self.backoff_remaining(key, now);
        let hold = self.hold_remaining(key, now);
        let reason = if target.phase == TargetPhase::Draining {
            OmissionReason::Draining
        } else if catalog.is_leaving(key) {
            OmissionReason::Leaving
        } else if !catalog.is_usable(key, now) {
            OmissionReason::Missing
        } else if self.is_changing(key, target, now) {
            OmissionReason::ChangingStage
        } else if !backoff.is_zero() {
            OmissionReason::BackingOff
        } else if !hold.is_zero() {
            OmissionReason::Limited
        } else if !self.is_healthy(key, now) {
            OmissionReason::Failing
        } else {
            return None;
        };
        let avoided = self.states.get(&key).map(|state| state.avoided_until);
        let time = match reason {
            OmissionReason::BackingOff => Some(backoff),
            OmissionReason::Limited => Some(hold),
            OmissionReason::Failing => avoided.and_then(|until| until.checked_sub(now)),
            _ => None,
        };
        Some(OmittedTarget {
            target: target.id.clone(),
            reason,
            for_ms: time.map(milliseconds),
        })
    }
}

fn estimate(
    catalog: &Catalog,
    candidate: &Candidate<'_>,
    request: &PlacementRequest<'_>,
) -> TargetEstimate {
    let all: u64 = request.parts.iter().map(|part| part.tokens).sum();
    let source = candidate.copied_from.and_then(|key| catalog.get(key));
    TargetEstimate {
        target: candidate.target.id.clone(),
        zone: candidate.target.zone.clone(),
        predicted_ms: candidate.predicted_ms,
        wait_ms: candidate.wait_ms,
        drawback_ms: candidate.drawback_ms,
        cost_to_others_ms: candidate.cost_to_others_ms,
        cached_tokens: all.saturating_sub(candidate.uncached_tokens),
        cold_tokens: candidate.cold_tokens,
        copied_from: source.map(|source| source.id.clone()),
        home_rank: candidate.home_rank,
        expected_in_flight: candidate.expected_in_flight,
    }
}
