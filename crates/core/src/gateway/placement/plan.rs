//! The decision whether one engine or two engines run a request, and the prefill cost it is based on.

use std::time::Duration;

use super::candidate::{Holds, stage_factor};
use super::prefill_cost::{PrefillCost, PrefillCostEstimator};
use super::request::{EnginePath, EnginePlan, PlacementRefused, PlacementRequest, RequiredVersion};
use super::{MAX_REPORTED_WAIT_MS, Placer};
use crate::gateway::catalog::{Catalog, Stage};

/// A prefill cost estimate, and when it was last updated by an answer or adopted from a vm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServicePrefillCost {
    pub(super) estimator: PrefillCostEstimator,
    pub(super) at: Duration,
}

/// Time for which a prefill cost estimate is used. A vm receives a new one with each prompt that it
/// places.
const PREFILL_COST_LIFETIME: Duration = Duration::from_secs(5);

impl Placer {
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
                version: RequiredVersion::Any,
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
            version: RequiredVersion::Any,
            ..request.clone()
        };
        // A decode engine that receives a computed prompt has no prompt tokens to compute.
        let handed_over = PlacementRequest {
            stage: Some(Stage::Decode),
            parts: &[],
            ..request.clone()
        };
        let answers = self.candidates_with(catalog, &handed_over, holds, now);
        let tokens = request.parts.iter().map(|part| part.tokens).sum();
        let transfer_ms = Self::nominal_ms(request.engine, tokens, false);
        let wait_ms = answers
            .iter()
            .map(|c| c.wait_ms + self.links.delay_to_ms(c.key, None, transfer_ms, now))
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
}
