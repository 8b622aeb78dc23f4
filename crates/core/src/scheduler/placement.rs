//! Selection of a target for one request.

use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::Scheduler;
use super::queue::QueuedRequest;
use super::types::{Arrival, Candidate, Reason};
use crate::settings::document::TargetKind;
use crate::targets::{Role, TargetLoad, TargetView};
use crate::{TargetId, ZoneId};

/// Target selected for a request.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) target: TargetId,
    pub(crate) decode: Option<TargetId>,
    pub(crate) uncached_tokens: u64,
    pub(crate) reason: Reason,
    pub(crate) candidates: SmallVec<[Candidate; 4]>,
}

/// Reason why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No target is eligible until the set of targets changes.
    NoTarget,
    /// All eligible targets are full.
    Full,
}

/// One possible placement of a request.
#[derive(Clone, Copy, Debug)]
struct PlacementOption {
    candidate: Candidate,
    decode: Option<TargetId>,
    zone: ZoneId,
    uncached_tokens: u64,
    wait_s: f64,
    fits: bool,
}

/// Cost per unit of slowdown. One unit is a token interval that exceeds the free part of the
/// objective by the whole objective.
const SLOWDOWN_COST_S: f64 = 2.0;
/// Fraction of the token interval objective up to which a longer interval costs nothing.
const FREE_INTERVAL_SHARE: f64 = 0.7;
/// Cost of a prompt on a mixed engine, where it slows down running streams.
const MIXED_ENGINE_COST_S: f64 = 0.05;
/// Costs that exceed the lowest one by at most this are treated as equal to it.
const COST_TOLERANCE_S: f64 = 0.02;
/// Multiple of its fair share above which the capacity available to a workspace shrinks. The
/// minimum is reached at twice this ratio. A large workspace among small ones stays below it.
const OVER_SHARE_RATIO: f64 = 1.5;
/// Time over which a prompt is spread when it is added to the share of time spent on prefill.
const PREFILL_SHARE_HORIZON_S: f64 = 5.0;

impl Scheduler {
    /// Selects a target with free capacity and nearly the lowest cost.
    pub(crate) fn place(
        &mut self,
        waiting: &QueuedRequest,
        now: Duration,
    ) -> Result<Placement, PlacementError> {
        let arrival = &waiting.arrival;
        let ratio = self.queue.share_ratio(arrival.priority, arrival.workspace);
        let excess = ((ratio - OVER_SHARE_RATIO) / OVER_SHARE_RATIO).clamp(0.0, 1.0);
        let capacity_share = 1.0 - excess * (1.0 - self.config.over_share_capacity);
        let choices = match self.config.kind {
            TargetKind::Engine => self.engine_choices(waiting, capacity_share, now),
            TargetKind::Service => self.service_choices(waiting, now),
        };
        if choices.is_empty() {
            return Err(PlacementError::NoTarget);
        }
        let mut fitting: SmallVec<[PlacementOption; 16]> =
            choices.into_iter().filter(|c| c.fits).collect();
        if fitting.is_empty() {
            return Err(PlacementError::Full);
        }
        fitting.sort_by(|a, b| a.candidate.cost.total_cmp(&b.candidate.cost));
        let best = fitting[0].candidate.cost;
        let limit = (best * self.config.near_best).max(best + COST_TOLERANCE_S);
        let near_best_count = fitting.iter().filter(|c| c.candidate.cost <= limit).count();
        let chosen = self.choose(&fitting[..near_best_count]);
        Ok(Placement {
            target: chosen.candidate.target,
            decode: chosen.decode,
            uncached_tokens: chosen.uncached_tokens,
            reason: chosen
                .decode
                .map_or(Reason::NearBest, |_| Reason::SplitPrefill),
            candidates: fitting.iter().take(4).map(|c| c.candidate).collect(),
        })
    }

    /// Shortest predicted prefill time over all eligible targets, including full ones.
    pub(crate) fn shortest_prefill(&self, arrival: &Arrival, now: Duration) -> Option<Duration> {
        if self.config.kind == TargetKind::Service {
            return self.eligible(arrival, now).next().map(|_| Duration::ZERO);
        }
        let no_prefill_engine = !self.has_prefill(arrival, now);
        let seconds = self
            .eligible(arrival, now)
            .filter(|view| no_prefill_engine || self.role_of(view) != Role::Decode)
            .map(|view| {
                let rate = self.config.rates.prefill_tokens_per_s;
                self.uncached(view, arrival) as f64 / rate
            })
            .min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Selects an engine for a running stream whose present engine is about to change.
    pub(crate) fn place_stream(
        &self,
        arrival: &Arrival,
        context_tokens: u64,
        now: Duration,
    ) -> Option<TargetId> {
        self.eligible(arrival, now)
            .filter(|view| view.role != Role::Prefill)
            .map(|view| {
                (
                    self.predicted_interval_ms(view, context_tokens, 0, now),
                    view.info.id,
                )
            })
            .filter(|(interval_ms, _)| *interval_ms <= self.interval_limit_ms())
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, id)| id)
    }

    fn eligible<'a>(
        &'a self,
        arrival: &'a Arrival,
        now: Duration,
    ) -> impl Iterator<Item = &'a TargetView> + 'a {
        self.views.values().filter(move |view| {
            view.is_open(now)
                && !arrival.excluded.contains(&view.info.id)
                && (!view.info.reclaimable || (arrival.repeatable && arrival.allow_reclaimable))
        })
    }

    /// Whether a target may take the request in view of suspects: a request that may crash targets
    /// must be the only such request there. It waits for a free target instead of being refused,
    /// because the loss of several targets at once produces more suspects than there are targets.
    fn allows_suspect(&self, view: &TargetView, arrival: &Arrival, now: Duration) -> bool {
        !arrival.suspect || self.load(view, now).suspects == 0
    }

    pub(crate) fn load(&self, view: &TargetView, now: Duration) -> TargetLoad {
        view.load(self.expected_digests(), &self.config.rates, now)
    }

    fn role_of(&self, view: &TargetView) -> Role {
        if self.config.split_prefill {
            view.role
        } else {
            Role::Mixed
        }
    }

    fn engine_choices(
        &self,
        waiting: &QueuedRequest,
        capacity_share: f64,
        now: Duration,
    ) -> Vec<PlacementOption> {
        let arrival = &waiting.arrival;
        let decode = self.best_decode(waiting, now);
        let time_left_s = waiting.deadline_at().saturating_sub(now).as_secs_f64();
        let has_prefill = self.has_prefill(arrival, now);
        let mut choices = Vec::new();
        for view in self.eligible(arrival, now) {
            // If no engine of one role is eligible, engines of the other role do both, so that
            // requests survive the loss of the last engine of a role.
            let choice = match (self.role_of(view), decode) {
                (Role::Decode, _) if has_prefill => continue,
                (Role::Prefill, Some((decode, interval_ms, fits))) => {
                    self.split_choice(view, arrival, decode, interval_ms, fits, now)
                }
                _ => self.mixed_choice(view, waiting, now),
            };
            let mut choice = choice;
            choice.fits &= self.has_capacity(&choice, capacity_share)
                && self.allows_suspect(view, arrival, now);
            choice.fits &= choice.candidate.first_token.as_secs_f64() <= time_left_s;
            choices.push(choice);
        }
        choices
    }

    fn has_prefill(&self, arrival: &Arrival, now: Duration) -> bool {
        self.eligible(arrival, now)
            .any(|view| self.role_of(view) != Role::Decode)
    }

    /// Returns the decode engine with the shortest predicted token interval, that interval in ms,
    /// and whether it is within the limit.
    fn best_decode(&self, waiting: &QueuedRequest, now: Duration) -> Option<(TargetId, f64, bool)> {
        if !self.config.split_prefill {
            return None;
        }
        let context = waiting.arrival.prompt_tokens + waiting.output_tokens / 2;
        let (interval_ms, id) = self
            .eligible(&waiting.arrival, now)
            .filter(|view| view.role != Role::Prefill)
            .filter(|view| self.allows_suspect(view, &waiting.arrival, now))
            .map(|view| {
                (
                    self.predicted_interval_ms(view, context, 0, now),
                    view.info.id,
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((id, interval_ms, interval_ms <= self.interval_limit_ms()))
    }

    fn split_choice(
        &self,
        view: &TargetView,
        arrival: &Arrival,
        decode: TargetId,
        interval_ms: f64,
        decode_fits: bool,
        now: Duration,
    ) -> PlacementOption {
        let rates = &self.config.rates;
        let uncached = self.uncached(view, arrival);
        let wait_s = self.load(view, now).prefill_tokens as f64 / rates.prefill_tokens_per_s;
        let prefill_s = uncached as f64 / rates.prefill_tokens_per_s;
        let transfer_s = rates.transfer(arrival.prompt_tokens).as_secs_f64();
        self.choice(
            view,
            arrival,
            uncached,
            wait_s,
            prefill_s,
            interval_ms,
            transfer_s,
        )
        .with_decode(decode, decode_fits)
    }

    fn mixed_choice(
        &self,
        view: &TargetView,
        waiting: &QueuedRequest,
        now: Duration,
    ) -> PlacementOption {
        let arrival = &waiting.arrival;
        let load = self.load(view, now);
        let uncached = self.uncached(view, arrival);
        let rate = self
            .config
            .rates
            .prefill_rate(Role::Mixed, load.streams, load.context_tokens);
        let wait_s = load.prefill_tokens as f64 / rate;
        let context = arrival.prompt_tokens + waiting.output_tokens / 2;
        let interval_ms = self.predicted_interval_ms(view, context, uncached, now);
        let prefill_s = uncached as f64 / rate;
        self.choice(
            view,
            arrival,
            uncached,
            wait_s,
            prefill_s,
            interval_ms,
            MIXED_ENGINE_COST_S,
        )
    }

    #[allow(clippy::too_many_arguments, reason = "the parts of one cost")]
    fn choice(
        &self,
        view: &TargetView,
        arrival: &Arrival,
        uncached_tokens: u64,
        wait_s: f64,
        prefill_s: f64,
        interval_ms: f64,
        extra_s: f64,
    ) -> PlacementOption {
        let goal_ms = self.config.token_interval.as_secs_f64() * 1000.0;
        let slowdown = (interval_ms / goal_ms - FREE_INTERVAL_SHARE).max(0.0);
        PlacementOption {
            candidate: Candidate {
                target: view.info.id,
                first_token: Duration::from_secs_f64(wait_s + prefill_s),
                token_interval_ms: interval_ms,
                cached_tokens: arrival.prompt_tokens.saturating_sub(uncached_tokens),
                cost: wait_s + prefill_s + SLOWDOWN_COST_S * slowdown + extra_s,
            },
            decode: None,
            zone: view.info.zone,
            uncached_tokens,
            wait_s,
            fits: true,
        }
    }

    fn service_choices(&self, waiting: &QueuedRequest, now: Duration) -> Vec<PlacementOption> {
        let mut choices = Vec::new();
        for view in self.eligible(&waiting.arrival, now) {
            let load = self.load(view, now).in_flight();
            choices.push(PlacementOption {
                candidate: Candidate {
                    target: view.info.id,
                    first_token: Duration::ZERO,
                    token_interval_ms: 0.0,
                    cached_tokens: 0,
                    cost: f64::from(load),
                },
                decode: None,
                zone: view.info.zone,
                uncached_tokens: 0,
                wait_s: 0.0,
                fits: load < self.config.service_concurrency
                    && self.allows_suspect(view, &waiting.arrival, now),
            });
        }
        choices
    }

    /// Predicts the token interval of an engine with one more request.
    fn predicted_interval_ms(
        &self,
        view: &TargetView,
        context_tokens: u64,
        uncached_tokens: u64,
        now: Duration,
    ) -> f64 {
        let rates = &self.config.rates;
        let load = self.load(view, now);
        let step_ms = rates.step_ms(load.in_flight() + 1, load.context_tokens + context_tokens);
        if view.role != Role::Mixed {
            return step_ms;
        }
        let rate = rates.prefill_rate(Role::Mixed, load.in_flight(), load.context_tokens);
        let added = uncached_tokens as f64 / rate / PREFILL_SHARE_HORIZON_S;
        step_ms + (view.prefill_share + added).min(1.0) * rates.chunk_ms()
    }

    /// Whether the predicted wait and token interval stay within the given fraction of their limits.
    /// The interval limit is scaled from the base step time, so that an empty batch always has
    /// capacity.
    fn has_capacity(&self, choice: &PlacementOption, capacity_share: f64) -> bool {
        let longest_wait_s = self.config.longest_target_wait.as_secs_f64();
        let base_ms = self.config.rates.step_base_ms;
        let interval_ms = base_ms + capacity_share * (self.interval_limit_ms() - base_ms);
        choice.wait_s <= capacity_share * longest_wait_s
            && choice.candidate.token_interval_ms <= interval_ms
    }

    fn interval_limit_ms(&self) -> f64 {
        self.config.token_interval.as_secs_f64() * 1000.0 * self.config.interval_margin
    }

    /// Estimates the prompt tokens that the engine has to compute.
    pub(crate) fn uncached(&self, view: &TargetView, arrival: &Arrival) -> u64 {
        let pieces = view.cache.leading_pieces(&arrival.prefix) as f64 * view.cache.confidence();
        let cached = (pieces * f64::from(self.config.rates.cache_piece_tokens)) as u64;
        arrival.prompt_tokens.saturating_sub(cached).max(1)
    }

    fn choose(&mut self, near_best: &[PlacementOption]) -> PlacementOption {
        let weight = |c: &PlacementOption| {
            if c.zone == self.config.zone {
                self.config.own_zone_weight
            } else {
                1.0
            }
        };
        let total: f64 = near_best.iter().map(weight).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for choice in near_best {
            remaining -= weight(choice);
            if remaining <= 0.0 {
                return *choice;
            }
        }
        near_best[near_best.len() - 1]
    }
}

impl PlacementOption {
    fn with_decode(mut self, decode: TargetId, fits: bool) -> Self {
        self.decode = (decode != self.candidate.target).then_some(decode);
        self.fits &= fits;
        self
    }
}
