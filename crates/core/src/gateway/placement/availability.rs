//! Which targets may get a request at all, and when a refused caller may retry.

use std::time::Duration;

use super::Placer;
use super::request::{OmittedTargets, PlacementRefused, PlacementRequest};
use crate::gateway::catalog::{Catalog, CatalogTarget, Stage, TargetKey, TargetPhase};

impl Placer {
    /// Targets that could run the request, including those that are backing off.
    pub(super) fn eligible<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (TargetKey, &'a CatalogTarget)> {
        catalog.usable(now).filter(move |(key, target)| {
            target.service == request.service
                && !request.excluded.contains(key)
                && (request.stage.is_none() || target.stage == request.stage)
                && request.version.allows(target.version.as_deref())
                && !self.is_changing(*key, target, now)
        })
    }

    /// Reason why there is no candidate.
    pub(super) fn refusal(
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
    pub(super) fn hold_remaining(&self, key: TargetKey, now: Duration) -> Duration {
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

    pub(super) fn is_limited(&self, key: TargetKey) -> bool {
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
        let best = candidates
            .iter()
            .min_by(|a, b| a.rank_ms().total_cmp(&b.rank_ms()))?;
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

    pub(super) fn is_healthy(&self, key: TargetKey, now: Duration) -> bool {
        self.states.get(&key).is_none_or(|state| {
            now >= state.avoided_until
                && !state.is_unresponsive(self.config.unresponsive_after, now)
        })
    }
}
