//! Effects of sent requests and of their outcomes on the state of targets.

use std::time::Duration;

use super::Placer;
use super::candidate::stage_factor;
use super::load::{LoadReport, TargetState};
use super::request::{Placement, PlacementRequest};
use crate::gateway::catalog::{Catalog, CatalogTarget, Stage, TargetKey};

impl Placer {
    pub(super) fn count_start(
        &mut self,
        placed: &Placement,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) {
        let state = self.state(placed.key, placed.target.stage);
        state.advance(now);
        state.in_flight += 1;
        if placed.uncached_tokens > 0 {
            state.queue.push(placed.id, placed.uncached_tokens, now);
        }
        state.unanswered_since.get_or_insert(now);
        self.record_use(placed, request);
    }

    /// Records that the first byte of an answer arrived, which means that the prompt is computed.
    pub fn first_byte(&mut self, placed: &Placement, report: Option<LoadReport>, now: Duration) {
        let prefill_cost = self.prefill_cost(&placed.target.service);
        self.record_figure(placed.key, report, now);
        let stated = report.and_then(LoadReport::work_figure);
        let took_ms = now.saturating_sub(placed.placed_at).as_secs_f64() * 1000.0;
        self.record_service_time(placed, report, took_ms);
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.queue.computed(placed.id);
        state.unanswered_since = None;
        let work_ms = prefill_cost.work_ms(placed.uncached_tokens);
        let own_ms = match placed.uncached_tokens {
            0 => 0.0,
            _ => {
                let work_factor = state.work_rate.factor(&self.figure_statistics, now);
                let factor = stage_factor(placed.target.stage) * work_factor.unwrap_or(1.0);
                prefill_cost.fixed_ms + work_ms * factor
            }
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
        if is_prompt && self.config.places_all_requests {
            self.retentions.computed(placed, prefill_cost, now);
        }
        // Without seeing all prompts, a slow engine cannot be told apart from a busy one.
        if is_prompt
            && self.unseen_load_ratio <= 0.0
            && self.config.places_all_requests
            && placed.wait_ms <= 0.0
        {
            // Without a figure, the expected one is all that is known.
            let expected = state.work_rate.figure(&self.figure_statistics, now);
            let figure = stated.unwrap_or(expected);
            let worked_ms = (took_ms - prefill_cost.fixed_ms).max(0.0);
            state.slowness.update(work_ms, worked_ms);
            // The time of a copy, or of parts that were evicted meanwhile, says nothing about the speed.
            let is_exact = placed.copied_from.is_none() && placed.cold_tokens == 0;
            if is_exact && prefill_cost.is_reliable() {
                state.work_rate.learn_own_speed(work_ms, worked_ms / figure);
            }
            // The cost is that at the usual speed of the machines.
            let usual_ms = took_ms - worked_ms * (1.0 - 1.0 / figure);
            let service = placed.target.service.clone();
            let cost = self.prefill_costs.entry(service).or_default();
            cost.estimator.update(placed.uncached_tokens, usual_ms);
            cost.at = now;
        }
    }

    /// Records that the target refused the request because it is full.
    pub fn refused(&mut self, placed: &Placement, report: Option<LoadReport>, now: Duration) {
        self.record_figure(placed.key, report, now);
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

    pub(super) fn state(&mut self, key: TargetKey, stage: Option<Stage>) -> &mut TargetState {
        let state = self.states.entry(key);
        state.or_insert_with(|| TargetState::new(stage))
    }

    pub(super) fn is_changing(
        &self,
        key: TargetKey,
        target: &CatalogTarget,
        now: Duration,
    ) -> bool {
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
        self.links.evict(catalog, now);
        self.retentions.retain(|key| catalog.get(key).is_some());
    }
}
