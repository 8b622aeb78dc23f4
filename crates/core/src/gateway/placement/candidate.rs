//! Predicted cost of a request at each target that could run it.

use std::time::Duration;

use super::load::{GroupLoad, LoadReport, TargetState};
use super::prefill_cost::PrefillCost;
use super::request::{PlacementRequest, PromptPart};
use super::retention::{CachedTokens, RetentionWeights};
use super::{Placer, hash_of, shared_parts};
use crate::authority::mix;
use crate::gateway::catalog::{Catalog, CatalogTarget, Stage, TargetKey};

/// A target that could run a request, with its estimates.
pub(super) struct Candidate<'a> {
    pub(super) key: TargetKey,
    pub(super) target: &'a CatalogTarget,
    pub(super) uncached_tokens: u64,
    pub(super) copied_from: Option<TargetKey>,
    pub(super) predicted_ms: f64,
    /// Share of `predicted_ms` that the request waits for other requests.
    pub(super) wait_ms: f64,
    /// Penalty for disadvantages other than the time to the first byte.
    pub(super) drawback_ms: f64,
    /// Wait for the link over which the computed prompt is handed over, in milliseconds.
    pub(super) link_wait_ms: f64,
    /// Time for which the copy of cached parts takes the links of its engines, in milliseconds.
    pub(super) copy_link_ms: f64,
    pub(super) expected_in_flight: f64,
    pub(super) home_rank: usize,
    /// Factor on the usual time of work, if the target states figures.
    pub(super) work_factor: Option<f64>,
    /// Cached tokens that the target evicts next.
    pub(super) cold_tokens: u64,
    /// Share of `drawback_ms` for what the request costs other prompts.
    pub(super) cost_to_others_ms: f64,
}

impl Candidate<'_> {
    /// Sum by which candidates are compared; the least one is chosen.
    pub(super) fn rank_ms(&self) -> f64 {
        self.predicted_ms + self.drawback_ms
    }
}

/// Whether targets are omitted for which no permit is expected to be available.
#[derive(Clone, Copy, Debug)]
pub(super) enum Holds {
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
    /// Usual time of a request to a plain service, or 0 if its targets state no figures.
    service_ms: f64,
    now: Duration,
    retention: RetentionWeights,
}

/// Cached parts that a target copies from another engine.
struct CopiedParts {
    from: TargetKey,
    tokens: u64,
    time_ms: f64,
    /// Share of the time for which the links are used, on idle, sound ones.
    link_ms: f64,
}

/// An engine that has cached a prompt prefix.
#[derive(Clone, Copy, Debug)]
struct Source<'a> {
    key: TargetKey,
    zone: &'a str,
    tokens: u64,
}

impl Placer {
    pub(super) fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        self.candidates_with(catalog, request, Holds::Respected, now)
    }

    pub(super) fn candidates_with<'a>(
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
            retention: self.retention_weights(request, states.clone()),
            group: GroupLoad::new(states, self.unseen_load_ratio, now),
            source: self.source(&targets, request, now),
            prefill_cost: self.prefill_cost(request.service),
            service_ms: self.service_ms(request.service),
            now,
        };
        targets
            .into_iter()
            .zip(homes)
            .map(|((key, target), rank)| {
                let mut candidate = self.candidate(key, target, rank, request, &service);
                self.add_link_delay(catalog, &mut candidate, request, now);
                candidate
            })
            .collect()
    }

    /// Engine that has cached the longest prefix of a prompt.
    fn source<'a>(
        &self,
        targets: &[(TargetKey, &'a CatalogTarget)],
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<Source<'a>> {
        if request.stage != Some(Stage::Prefill) || !self.config.places_all_requests {
            return None;
        }
        let shared = shared_parts(request.parts);
        let sources = targets.iter().map(|(key, target)| Source {
            key: *key,
            zone: &target.zone,
            tokens: self.cached.tokens(*key, shared).all,
        });
        let best = sources.max_by_key(|s| {
            let is_sound = !self.links.is_slow(s.key, now);
            (s.tokens, is_sound, s.zone == request.zone)
        })?;
        (best.tokens > 0).then_some(best)
    }

    /// The copy of cached tokens to a target, if it is faster than computing them. It waits for the
    /// transfers of computed prompts on the links of both engines.
    fn copied(
        &self,
        key: TargetKey,
        target: &CatalogTarget,
        uncached_tokens: u64,
        request: &PlacementRequest<'_>,
        service: &ServiceView<'_>,
        compute_ms_per_1k: f64,
    ) -> Option<CopiedParts> {
        let source = service.source?;
        let all: u64 = request.parts.iter().map(|part| part.tokens).sum();
        let kept = all.saturating_sub(uncached_tokens);
        let tokens = source
            .tokens
            .checked_sub(kept)
            .filter(|tokens| *tokens > 0)?;
        let is_other_zone = target.zone != source.zone;
        let time = request.engine.copy_time(tokens, is_other_zone)?;
        let link_ms = time.as_secs_f64() * 1000.0;
        let delay_ms = self
            .links
            .copy_delay_ms(source.key, key, link_ms, service.now);
        let copy_ms = link_ms + delay_ms + self.config.copy_fixed_ms;
        let compute_ms = compute_ms_per_1k * tokens as f64 / 1000.0;
        (copy_ms < compute_ms).then_some(CopiedParts {
            from: source.key,
            tokens,
            time_ms: copy_ms,
            link_ms,
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
            prefill_cost,
            service_ms,
            now,
            ..
        } = service;
        let state = self.states.get(&key);
        let expected = service.group.expected(state, now);
        let report = state.and_then(|s| s.report(now)).unwrap_or_default();
        let cached = self.cached_tokens(key, home_rank, request.parts);
        let all: u64 = request.parts.iter().map(|part| part.tokens).sum();
        let added_tokens = all.saturating_sub(cached.all);
        let mut uncached_tokens = added_tokens;
        let figures = &self.figure_statistics;
        let work_rate = state.map(|state| &state.work_rate);
        let work_factor = work_rate.and_then(|rate| rate.factor(figures, now));
        // Figures of other services say nothing about a plain service that states none.
        let usual_figure = match target.stage {
            None if service_ms <= 0.0 => 1.0,
            _ => figures.mean(),
        };
        let stated = work_factor.unwrap_or(usual_figure);
        let slowness = match work_factor {
            Some(stated) => stated,
            None => state.map_or(1.0, |state| state.slowness.factor()),
        };
        let factor = slowness * stage_factor(target.stage);
        // A copy also spares the prompts behind it, so an engine that is fast now does not compute
        // what it would copy otherwise.
        let usual = work_rate.map_or(0.0, |rate| rate.usual_at(figures, now));
        let copied = self.copied(
            key,
            target,
            uncached_tokens,
            request,
            service,
            prefill_cost.ms_per_1k * factor.max(usual),
        );
        let (mut copied_from, mut copy_ms) = (None, 0.0);
        if let Some(copied) = &copied {
            uncached_tokens -= copied.tokens;
            (copied_from, copy_ms) = (Some(copied.from), copied.time_ms);
        }
        let own_ms = match (target.stage, uncached_tokens) {
            (None, _) => service_ms * stated,
            (_, 0) => 0.0,
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
                waiting * config.service_wait_per_request_ms * stated
            }
        };
        // Requests beyond its slots are queued by the target.
        let busy = expected.in_flight.max(f64::from(report.running));
        let over = (busy + 1.0 - f64::from(target.slots.max(1))).max(0.0);
        wait_ms += over * config.wait_per_request_ms(target.stage);
        let mut drawback_ms = match target.stage {
            Some(Stage::Decode) => {
                let full_ms = config.full_slowdown_ms * stated;
                full_ms * busy / f64::from(target.slots.max(1))
            }
            _ => 0.0,
        };
        if !request.zone.is_empty() && target.zone != request.zone {
            drawback_ms += config.other_zone_ms(target.stage);
        }
        // A new prefix starts at its home, where the next owner of the service expects it.
        if home_rank > 0 {
            drawback_ms += config.tie_margin_ms;
        }
        let is_full = self.cached.is_full(key);
        let cost_to_others_ms = service.retention.cost_ms(added_tokens, is_full, own_ms);
        drawback_ms += cost_to_others_ms;
        Candidate {
            wait_ms,
            drawback_ms,
            link_wait_ms: 0.0,
            copy_link_ms: copied.map_or(0.0, |copied| copied.link_ms),
            expected_in_flight: expected.in_flight,
            key,
            target,
            uncached_tokens,
            copied_from,
            predicted_ms: wait_ms + own_ms,
            home_rank,
            work_factor,
            cold_tokens: cached.cold,
            cost_to_others_ms,
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

    /// Prompt tokens that the target is expected to have cached.
    fn cached_tokens(
        &self,
        key: TargetKey,
        home_rank: usize,
        parts: &[PromptPart],
    ) -> CachedTokens {
        let shared = shared_parts(parts);
        if home_rank == 0 && !self.config.places_all_requests {
            // Other vms send prompts with the same parts to the same home.
            let all = shared.iter().map(|part| part.tokens).sum();
            return CachedTokens { all, cold: 0 };
        }
        self.cached.tokens(key, shared)
    }
}

/// Factor on the prefill time at an engine of a stage. Decode engines compute prompts at half the
/// speed, interleaved with the tokens of their answers.
pub(super) fn stage_factor(stage: Option<Stage>) -> f64 {
    match stage {
        Some(Stage::Decode) => 2.0,
        Some(Stage::Prefill) | None => 1.0,
    }
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
