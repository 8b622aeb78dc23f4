//! Choice of a target for one request.

use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::Scheduler;
use super::queue::Waiting;
use super::types::{Arrival, Candidate, Reason};
use crate::settings::document::TargetKind;
use crate::targets::{Role, TargetLoad, TargetView};
use crate::{TargetId, ZoneId};

/// Where a request goes.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) target: TargetId,
    pub(crate) decode: Option<TargetId>,
    pub(crate) uncached_tokens: u64,
    pub(crate) reason: Reason,
    pub(crate) candidates: SmallVec<[Candidate; 4]>,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blocked {
    /// No target may take it, now or later, unless targets change.
    NoTarget,
    /// All targets are full.
    Full,
}

/// An option for one request.
#[derive(Clone, Copy, Debug)]
struct Choice {
    candidate: Candidate,
    decode: Option<TargetId>,
    zone: ZoneId,
    uncached_tokens: u64,
    wait_s: f64,
    fits: bool,
}

/// Cost in seconds of a token interval that exceeds the comfortable part of the aim by the whole aim.
const SLOWDOWN_COST: f64 = 2.0;
/// Part of the aim up to which a longer interval costs nothing.
const COMFORTABLE: f64 = 0.7;
/// Cost in seconds of a prompt on a mixed engine, where it slows running answers down.
const ROLE_MISMATCH_COST: f64 = 0.05;
/// Costs closer together than this are not told apart.
const COST_GRAIN_S: f64 = 0.02;
/// Multiple of an equal share at which a workspace's room begins to shrink. At twice that, it is
/// smallest. A large workspace among small ones stays below.
const OVER_SHARE: f64 = 1.5;
/// Time over which a long prompt counts towards the share of time spent on prefill.
const DUTY_HORIZON_S: f64 = 5.0;

impl Scheduler {
    /// Finds the cheapest target with room for the request.
    pub(crate) fn place(&mut self, waiting: &Waiting, now: Duration) -> Result<Placement, Blocked> {
        let arrival = &waiting.arrival;
        let ratio = self.queue.share_ratio(arrival.priority, arrival.workspace);
        let over = ((ratio - OVER_SHARE) / OVER_SHARE).clamp(0.0, 1.0);
        let room = 1.0 - over * (1.0 - self.config.over_share_capacity);
        let choices = match self.config.kind {
            TargetKind::Engine => self.engine_choices(waiting, room, now),
            TargetKind::Service => self.service_choices(waiting, now),
        };
        if choices.is_empty() {
            return Err(Blocked::NoTarget);
        }
        let mut fitting: SmallVec<[Choice; 16]> = choices.into_iter().filter(|c| c.fits).collect();
        if fitting.is_empty() {
            return Err(Blocked::Full);
        }
        fitting.sort_by(|a, b| a.candidate.cost.total_cmp(&b.candidate.cost));
        let best = fitting[0].candidate.cost;
        let limit = (best * self.config.near_best).max(best + COST_GRAIN_S);
        let near = fitting.iter().filter(|c| c.candidate.cost <= limit).count();
        let chosen = self.choose(&fitting[..near]);
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

    /// Shortest predicted time to the first token over all targets, full or not.
    pub(crate) fn best_prefill(&self, arrival: &Arrival, now: Duration) -> Option<Duration> {
        if self.config.kind == TargetKind::Service {
            return self.eligible(arrival, now).next().map(|_| Duration::ZERO);
        }
        let alone = !self.has_prefill(arrival, now);
        let seconds = self
            .eligible(arrival, now)
            .filter(|view| alone || self.role_of(view) != Role::Decode)
            .map(|view| {
                let rate = self.config.rates.prefill_tokens_per_s;
                self.uncached(view, arrival) as f64 / rate
            })
            .min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Best engine for a running answer whose own engine is about to change.
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
                    self.interval_with(view, context_tokens, 0, now),
                    view.info.id,
                )
            })
            .filter(|(interval_ms, _)| *interval_ms <= self.interval_aim_ms())
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

    /// Whether a request that may crash targets would be the only such request at a target. It
    /// waits for one rather than being refused, because the loss of several targets at once makes
    /// suspects of more requests than there are targets.
    fn is_apart(&self, view: &TargetView, arrival: &Arrival, now: Duration) -> bool {
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

    fn engine_choices(&self, waiting: &Waiting, room: f64, now: Duration) -> Vec<Choice> {
        let arrival = &waiting.arrival;
        let decode = self.best_decode(waiting, now);
        let left = waiting.deadline_at().saturating_sub(now).as_secs_f64();
        let has_prefill = self.has_prefill(arrival, now);
        let mut choices = Vec::new();
        for view in self.eligible(arrival, now) {
            // Where no engine of one role can take the request, those of the other do both, so
            // that the loss of the last engine of a role does not end its requests.
            let choice = match (self.role_of(view), decode) {
                (Role::Decode, _) if has_prefill => continue,
                (Role::Prefill, Some((decode, interval_ms, fits))) => {
                    self.split_choice(view, arrival, decode, interval_ms, fits, now)
                }
                _ => self.mixed_choice(view, waiting, now),
            };
            let mut choice = choice;
            choice.fits &= self.has_room(&choice, room) && self.is_apart(view, arrival, now);
            choice.fits &= choice.candidate.first_token.as_secs_f64() <= left;
            choices.push(choice);
        }
        choices
    }

    fn has_prefill(&self, arrival: &Arrival, now: Duration) -> bool {
        self.eligible(arrival, now)
            .any(|view| self.role_of(view) != Role::Decode)
    }

    /// Decode engine with the shortest predicted interval, and whether it has room.
    fn best_decode(&self, waiting: &Waiting, now: Duration) -> Option<(TargetId, f64, bool)> {
        if !self.config.split_prefill {
            return None;
        }
        let context = waiting.arrival.prompt_tokens + waiting.output_tokens / 2;
        let (interval_ms, id) = self
            .eligible(&waiting.arrival, now)
            .filter(|view| view.role != Role::Prefill)
            .filter(|view| self.is_apart(view, &waiting.arrival, now))
            .map(|view| (self.interval_with(view, context, 0, now), view.info.id))
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((id, interval_ms, interval_ms <= self.interval_aim_ms()))
    }

    fn split_choice(
        &self,
        view: &TargetView,
        arrival: &Arrival,
        decode: TargetId,
        interval_ms: f64,
        decode_fits: bool,
        now: Duration,
    ) -> Choice {
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

    fn mixed_choice(&self, view: &TargetView, waiting: &Waiting, now: Duration) -> Choice {
        let arrival = &waiting.arrival;
        let load = self.load(view, now);
        let uncached = self.uncached(view, arrival);
        let rate = self
            .config
            .rates
            .prefill_rate(Role::Mixed, load.streams, load.context_tokens);
        let wait_s = load.prefill_tokens as f64 / rate;
        let context = arrival.prompt_tokens + waiting.output_tokens / 2;
        let interval_ms = self.interval_with(view, context, uncached, now);
        let prefill_s = uncached as f64 / rate;
        self.choice(
            view,
            arrival,
            uncached,
            wait_s,
            prefill_s,
            interval_ms,
            ROLE_MISMATCH_COST,
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
    ) -> Choice {
        let aim_ms = self.config.token_interval.as_secs_f64() * 1000.0;
        let slowdown = (interval_ms / aim_ms - COMFORTABLE).max(0.0);
        Choice {
            candidate: Candidate {
                target: view.info.id,
                first_token: Duration::from_secs_f64(wait_s + prefill_s),
                token_interval_ms: interval_ms,
                cached_tokens: arrival.prompt_tokens.saturating_sub(uncached_tokens),
                cost: wait_s + prefill_s + SLOWDOWN_COST * slowdown + extra_s,
            },
            decode: None,
            zone: view.info.zone,
            uncached_tokens,
            wait_s,
            fits: true,
        }
    }

    fn service_choices(&self, waiting: &Waiting, now: Duration) -> Vec<Choice> {
        let mut choices = Vec::new();
        for view in self.eligible(&waiting.arrival, now) {
            let load = self.load(view, now).in_flight();
            choices.push(Choice {
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
                    && self.is_apart(view, &waiting.arrival, now),
            });
        }
        choices
    }

    /// Predicted token interval with one more request on the engine.
    fn interval_with(
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
        let added = uncached_tokens as f64 / rate / DUTY_HORIZON_S;
        step_ms + (view.duty + added).min(1.0) * rates.chunk_ms()
    }

    /// Whether the wait and the batch stay within a part of the limits. A batch that is empty has
    /// room for everyone.
    fn has_room(&self, choice: &Choice, room: f64) -> bool {
        let longest_wait_s = self.config.longest_target_wait.as_secs_f64();
        let base_ms = self.config.rates.step_base_ms;
        let interval_ms = base_ms + room * (self.interval_aim_ms() - base_ms);
        choice.wait_s <= room * longest_wait_s && choice.candidate.token_interval_ms <= interval_ms
    }

    fn interval_aim_ms(&self) -> f64 {
        self.config.token_interval.as_secs_f64() * 1000.0 * self.config.interval_margin
    }

    /// Prompt tokens that the engine probably has to compute.
    pub(crate) fn uncached(&self, view: &TargetView, arrival: &Arrival) -> u64 {
        let pieces = view.cache.leading_pieces(&arrival.prefix) as f64 * view.cache.confidence();
        let cached = (pieces * f64::from(self.config.rates.cache_piece_tokens)) as u64;
        arrival.prompt_tokens.saturating_sub(cached).max(1)
    }

    fn choose(&mut self, near: &[Choice]) -> Choice {
        let weight = |c: &Choice| {
            if c.zone == self.config.zone {
                self.config.own_zone_weight
            } else {
                1.0
            }
        };
        let total: f64 = near.iter().map(weight).sum();
        let mut left = self.rng.random::<f64>() * total;
        for choice in near {
            left -= weight(choice);
            if left <= 0.0 {
                return *choice;
            }
        }
        near[near.len() - 1]
    }
}

impl Choice {
    fn with_decode(mut self, decode: TargetId, fits: bool) -> Self {
        self.decode = (decode != self.candidate.target).then_some(decode);
        self.fits &= fits;
        self
    }
}
