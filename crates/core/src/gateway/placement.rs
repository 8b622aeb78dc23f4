//! The choice of a target for an opaque request.
//!
//! Every vm computes the same home for a shared part of a prompt without messages (rendezvous
//! hashing), so the part stays in one engine's memory. A request leaves its home when the
//! predicted time to the first token is shorter elsewhere, which bounds the load of a popular
//! home. The alternatives are weighed in `docs/platform.md`.
//!
//! A prompt may be computed by an engine of the prefill stage, which is twice as fast, and handed
//! over to an engine of the decode stage. A short prompt is not worth the hand-over.

mod config;
mod load;

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

pub use config::PlacementConfig;
pub use load::LoadReport;
use load::{GroupLoad, TargetState};

use super::catalog::{Catalog, CatalogTarget, Stage, TargetKey, TargetPhase};
use crate::authority::mix;

/// Recently placed prompt parts that are remembered.
const REMEMBERED_PARTS: usize = 8192;

/// Longest wait that is told, in milliseconds; no caller waits for longer.
const MAX_WAIT_MS: f64 = 600_000.0;

/// One part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part. Equal parts of different prompts are the same text.
    pub id: u64,
    /// Length of the part.
    pub tokens: u64,
}

/// A request that needs a target.
#[derive(Clone, Debug)]
pub struct PlaceRequest<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Stage that the engine must have, or `None` for plain services.
    pub stage: Option<Stage>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Targets that failed this request.
    pub excluded: &'a [TargetKey],
    /// Longest predicted wait for others with which the request is still sent. A longer one would
    /// only make the requests behind it late too.
    pub longest_wait: Duration,
    /// Time for which the caller waits from now on.
    pub time_left: Duration,
}

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Key of the target.
    pub key: TargetKey,
    /// The target.
    pub target: CatalogTarget,
    /// Prompt tokens that the target probably has to compute.
    pub uncached_tokens: u64,
    /// Predicted time to the first byte, in milliseconds.
    pub predicted_ms: f64,
    /// Part of it that the request waits for others.
    pub wait_ms: f64,
    /// Requests of all vms that this vm expects at the target.
    pub expected_in_flight: f64,
    /// Last load report of the target and its age.
    pub report: Option<(LoadReport, Duration)>,
    /// When the target was chosen.
    pub placed_at: Duration,
    /// Rank of the target among the homes of the prompt; 0 is the home itself.
    pub home_rank: usize,
    /// Targets of the service that were left out.
    pub left_out: LeftOut,
}

/// How an engine service runs a request.
#[derive(Clone, Debug)]
pub enum EnginePath {
    /// One engine computes the prompt and generates the answer.
    Direct(Placed),
    /// This engine computes the prompt; another one is chosen for the answer afterwards.
    Split(Placed),
}

/// Targets of a service that no request is sent to, by what they said of themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Targets that said that they leave.
    pub leaving: u32,
    /// Targets that asked for rest.
    pub resting: u32,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedPlace {
    /// No target of the service takes new work.
    NoTarget,
    /// All targets are so busy that the answer would come too late.
    Overloaded {
        /// When a target is expected to have room.
        retry_after: Duration,
        /// Predicted wait at the best target.
        wait: Duration,
    },
    /// All targets that could run the request asked for rest.
    Resting {
        /// When the first of them takes work again.
        retry_after: Duration,
    },
}

/// Chooses targets and keeps what this vm knows of their load.
#[derive(Debug)]
pub struct Placer {
    config: PlacementConfig,
    states: HashMap<TargetKey, TargetState>,
    /// Vms that send to the same targets, this one included.
    vms: usize,
    /// Choices made so far.
    choices: u64,
    /// Targets that got a part lately, newest last.
    recent: HashMap<u64, SmallVec<[TargetKey; 3]>>,
}

/// One target as a candidate.
struct Candidate<'a> {
    key: TargetKey,
    target: &'a CatalogTarget,
    uncached_tokens: u64,
    predicted_ms: f64,
    /// Part of it that the request waits for others.
    wait_ms: f64,
    /// What the request would lose by the slower pace of a busy engine.
    slowdown_ms: f64,
    expected_in_flight: f64,
    home_rank: usize,
}

impl Placer {
    /// Creates a placer that knows nothing of any load.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            vms: 1,
            choices: 0,
            recent: HashMap::new(),
        }
    }

    /// Sets the number of vms that send to the same targets, this one included.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Chooses a target and counts the request there until [`Placer::finished`].
    ///
    /// # Errors
    ///
    /// Says why no target can take the request; nothing is counted then.
    pub fn place(
        &mut self,
        catalog: &Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Result<Placed, RefusedPlace> {
        self.choices += 1;
        let chance = mix(self.config.seed ^ self.choices);
        let candidates = self.candidates(catalog, request, now);
        // Vms that know nothing of the targets, or the same, would all choose the same one.
        let rank = |c: &Candidate<'_>| {
            let random = mix(chance ^ u64::from(c.key.0)) as f64 / u64::MAX as f64;
            c.predicted_ms + c.slowdown_ms + random * self.config.tie_ms
        };
        let best = candidates
            .into_iter()
            .min_by(|a, b| rank(a).total_cmp(&rank(b)))
            .ok_or_else(|| self.no_candidate(catalog, request, now))?;
        self.admit(request, best.wait_ms)?;
        let placed = Placed {
            key: best.key,
            target: best.target.clone(),
            uncached_tokens: best.uncached_tokens,
            predicted_ms: best.predicted_ms,
            wait_ms: best.wait_ms,
            expected_in_flight: best.expected_in_flight,
            report: self.states.get(&best.key).and_then(|s| s.last_report(now)),
            placed_at: now,
            home_rank: best.home_rank,
            left_out: self.left_out(catalog, request.service, now),
        };
        self.started(&placed, request.parts, now);
        Ok(placed)
    }

    /// Chooses between one engine for the whole request, and an engine for its prompt alone.
    ///
    /// # Errors
    ///
    /// Says why no engine can take the request; nothing is counted then.
    pub fn place_engine(
        &mut self,
        catalog: &Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Result<EnginePath, RefusedPlace> {
        let prefill = PlaceRequest {
            stage: Some(Stage::Prefill),
            ..request.clone()
        };
        // A decode engine that is handed a prompt has none to compute.
        let handed_over = PlaceRequest {
            stage: Some(Stage::Decode),
            parts: &[],
            ..request.clone()
        };
        let best = |request: &PlaceRequest<'_>| {
            let candidates = self.candidates(catalog, request, now);
            let times = candidates.iter().map(|c| (c.predicted_ms, c.wait_ms));
            times.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let (direct_ms, direct_wait_ms) =
            best(request).ok_or_else(|| self.no_candidate(catalog, request, now))?;
        let all_tokens: u64 = request.parts.iter().map(|part| part.tokens).sum();
        let decode_ms = all_tokens as f64 / self.config.decode_prefill_tokens_per_ms;
        let direct_cost_ms = direct_ms * self.config.decode_prompt_cost;
        let direct_cost_ms = if decode_ms < self.config.hand_over_ms {
            direct_ms
        } else {
            direct_cost_ms
        };
        let split_ms = best(&prefill).zip(best(&handed_over));
        let split_wait_ms = split_ms.map_or(f64::MAX, |(prompt, rest)| prompt.1 + rest.1);
        let split_ms = split_ms.map(|(prompt, rest)| prompt.0 + rest.0 + self.config.hand_over_ms);
        self.admit(request, split_wait_ms.min(direct_wait_ms))?;
        if split_ms.is_some_and(|split_ms| split_ms < direct_cost_ms) {
            return self.place(catalog, &prefill, now).map(EnginePath::Split);
        }
        self.place(catalog, request, now).map(EnginePath::Direct)
    }

    /// Refuses a request that would wait too long for others. Its own work does not count, so a long
    /// prompt is served as often as a short one.
    fn admit(&self, request: &PlaceRequest<'_>, wait_ms: f64) -> Result<(), RefusedPlace> {
        let longest_ms = request.longest_wait.as_secs_f64() * 1000.0;
        if wait_ms <= longest_ms {
            return Ok(());
        }
        let excess_ms = (wait_ms - longest_ms).clamp(0.0, MAX_WAIT_MS);
        let excess = Duration::from_secs_f64(excess_ms / 1000.0);
        let retry_after = excess
            .max(request.time_left.mul_f64(self.config.retry_part))
            .clamp(self.config.retry_shortest, self.config.retry_longest);
        let wait = Duration::from_secs_f64(wait_ms.min(MAX_WAIT_MS) / 1000.0);
        Err(RefusedPlace::Overloaded { retry_after, wait })
    }

    fn started(&mut self, placed: &Placed, parts: &[PromptPart], now: Duration) {
        let state = self.state(placed.key, placed.target.stage);
        state.advance(now);
        state.in_flight += 1;
        state.pending_tokens += placed.uncached_tokens;
        state.unanswered_since.get_or_insert(now);
        if self.recent.len() > REMEMBERED_PARTS {
            // Homes are known without this memory; it only helps after a request left its home.
            self.recent.clear();
        }
        for part in shared_parts(parts) {
            let keys = self.recent.entry(part.id).or_default();
            keys.retain(|key| *key != placed.key);
            if keys.len() == keys.inline_size() {
                keys.remove(0);
            }
            keys.push(placed.key);
        }
    }

    /// The first byte of an answer arrived, so the prompt is computed.
    pub fn first_byte(&mut self, placed: &Placed, report: Option<LoadReport>, now: Duration) {
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.pending_tokens = state.pending_tokens.saturating_sub(placed.uncached_tokens);
        state.unanswered_since = None;
        let took_ms = now.saturating_sub(placed.placed_at).as_secs_f64() * 1000.0;
        let own_ms = placed.uncached_tokens as f64 / self.config.rate(placed.target.stage);
        state.delay = Some(((took_ms - own_ms).max(0.0), now));
        state.refusals = 0;
        state.failing *= 0.8;
        if state.failing < self.config.failing_part / 2.0 {
            state.ejections = 0;
        }
        if let Some(report) = report {
            state.report = Some((report, now));
        }
    }

    /// The target refused the request because it is full.
    pub fn refused(&mut self, placed: &Placed, report: Option<LoadReport>, now: Duration) {
        let config = &self.config;
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.pending_tokens = state.pending_tokens.saturating_sub(placed.uncached_tokens);
        state.unanswered_since = None;
        if let Some(report) = report {
            state.report = Some((report, now));
        }
        // A full target is refilled by whoever asks first, and one that changes its stage refuses for
        // seconds; both are left alone for a while.
        let time = config.refused_first * (1 << state.refusals.min(6));
        state.avoided_until = now + time.min(config.eject_longest);
        state.refusals += 1;
    }

    /// The engine was ordered to take a stage; it refuses new work until it has.
    pub fn changes_stage(&mut self, key: TargetKey, stage: Stage, now: Duration) {
        let until = now + self.config.longest_change;
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

    /// The attempt failed: the connection was refused, broke or gave no answer in time.
    pub fn failed(&mut self, placed: &Placed, now: Duration) {
        let config = &self.config;
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        state.advance(now);
        state.pending_tokens = state.pending_tokens.saturating_sub(placed.uncached_tokens);
        state.failing = state.failing * 0.8 + 0.2;
        if state.failing < config.failing_part || now < state.avoided_until {
            return;
        }
        let time = config.eject_first * (1 << state.ejections.min(6));
        state.avoided_until = now + time.min(config.eject_longest);
        state.ejections += 1;
    }

    /// The target refused the connection, so it is down or gone.
    pub fn unreachable(&mut self, placed: &Placed, now: Duration) {
        if let Some(state) = self.states.get_mut(&placed.key) {
            // A target that is down fails at once; it is avoided from the first failure on.
            state.failing = state.failing.max(self.config.failing_part);
        }
        self.failed(placed, now);
    }

    /// The attempt ended, however it ended.
    pub fn finished(&mut self, placed: &Placed, now: Duration) {
        if let Some(state) = self.states.get_mut(&placed.key) {
            state.advance(now);
            state.in_flight = state.in_flight.saturating_sub(1);
            if state.in_flight == 0 {
                state.pending_tokens = 0;
                state.unanswered_since = None;
            }
        }
    }

    /// Forgets targets that are gone, that no request uses and that wish no rest. An entry that
    /// lapses does not end a rest.
    pub fn forget_gone(&mut self, catalog: &Catalog, now: Duration) {
        self.states.retain(|key, state| {
            state.in_flight > 0 || state.rest_until > now || catalog.get(*key).is_some()
        });
    }

    fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let all: Vec<_> = self
            .eligible(catalog, request, now)
            .filter(|(key, _)| self.rest(*key, now).is_zero())
            .collect();
        let sound: Vec<_> = all
            .iter()
            .filter(|(key, _)| self.is_sound(*key, now))
            .copied()
            .collect();
        // A target that seems to fail is better than none.
        let targets = if sound.is_empty() { all } else { sound };
        let homes = homes(&targets, request.parts);
        let states = targets.iter().map(|(key, _)| self.states.get(key));
        let group = GroupLoad::new(states, self.vms, now);
        targets
            .into_iter()
            .zip(homes)
            .map(|((key, target), rank)| self.candidate(key, target, rank, request, &group, now))
            .collect()
    }

    /// Targets that could run the request, those that rest included.
    fn eligible<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (TargetKey, &'a CatalogTarget)> {
        catalog.usable().filter(move |(key, target)| {
            target.service == request.service
                && !request.excluded.contains(key)
                && (request.stage.is_none() || target.stage == request.stage)
                && !self.is_changing(*key, target, now)
        })
    }

    /// Why there is no candidate.
    fn no_candidate(
        &self,
        catalog: &Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> RefusedPlace {
        let eligible = self.eligible(catalog, request, now);
        let first_back = eligible.map(|(key, _)| self.rest(key, now)).min();
        match first_back {
            Some(retry_after) => RefusedPlace::Resting { retry_after },
            None => RefusedPlace::NoTarget,
        }
    }

    /// Time for which a target still wants no work from this vm.
    pub fn rest(&self, key: TargetKey, now: Duration) -> Duration {
        let until = self
            .states
            .get(&key)
            .map_or(Duration::ZERO, |s| s.rest_until);
        until.saturating_sub(now)
    }

    /// The target wants nothing from this vm for a time. A later, shorter wish does not end an
    /// earlier one.
    pub fn rests(&mut self, key: TargetKey, stage: Option<Stage>, time: Duration, now: Duration) {
        let state = self.state(key, stage);
        state.rest_until = state.rest_until.max(now.saturating_add(time));
    }

    /// Targets of a service that are left out because they leave or rest.
    pub fn left_out(&self, catalog: &Catalog, service: &str, now: Duration) -> LeftOut {
        let mut left_out = LeftOut::default();
        for (key, target) in catalog.iter().filter(|(_, t)| t.service == service) {
            left_out.leaving += u32::from(catalog.said_leaving(key));
            let rests = target.phase == TargetPhase::Ready && !self.rest(key, now).is_zero();
            left_out.resting += u32::from(rests);
        }
        left_out
    }

    fn is_sound(&self, key: TargetKey, now: Duration) -> bool {
        self.states.get(&key).is_none_or(|state| {
            now >= state.avoided_until && !state.is_silent(self.config.silent_after, now)
        })
    }

    fn candidate<'a>(
        &self,
        key: TargetKey,
        target: &'a CatalogTarget,
        home_rank: usize,
        request: &PlaceRequest<'_>,
        group: &GroupLoad,
        now: Duration,
    ) -> Candidate<'a> {
        let config = &self.config;
        let uncached_tokens = self.uncached(key, home_rank, request.parts);
        let state = self.states.get(&key);
        let report = state.and_then(|s| s.report(now)).unwrap_or_default();
        let expected = group.expected(state, now);
        let waiting_ms = match target.stage {
            Some(_) => config.engine_waiting_ms,
            None => config.service_waiting_ms,
        };
        let rate = config.rate(target.stage);
        let pending_ms = expected.pending_tokens / rate;
        let delay_ms = state.map_or(0.0, |s| s.delay_ms(now)) * config.last_delay_part;
        // Three views of the same queue: what the target said, what this vm and probably the others
        // have there, and how long the last answer took.
        let mut queue_ms = f64::from(report.waiting) * waiting_ms;
        if target.stage == Some(Stage::Prefill) {
            // Whatever runs there is a prompt ahead of this one.
            queue_ms += f64::from(report.running) * waiting_ms;
        }
        let mut predicted_ms = queue_ms.max(pending_ms);
        match target.stage {
            Some(_) => {
                predicted_ms = predicted_ms.max(delay_ms) + uncached_tokens as f64 / rate;
            }
            None => {
                let slots = f64::from(target.slots.max(1));
                let busy = expected.in_flight.max(f64::from(report.running));
                predicted_ms += waiting_ms * busy / slots;
            }
        }
        // Beyond its slots a target queues whatever it gets.
        let busy = expected.in_flight.max(f64::from(report.running));
        let over = (busy + 1.0 - f64::from(target.slots.max(1))).max(0.0);
        predicted_ms += over * waiting_ms;
        if target.zone != config.zone {
            predicted_ms += config.other_zone_cost_ms;
        }
        let slowdown_ms = match target.stage {
            Some(Stage::Decode) => config.full_slowdown_ms * busy / f64::from(target.slots.max(1)),
            _ => 0.0,
        };
        let own_ms = target.stage.map_or(0.0, |_| uncached_tokens as f64 / rate);
        Candidate {
            wait_ms: predicted_ms - own_ms,
            slowdown_ms,
            expected_in_flight: expected.in_flight,
            key,
            target,
            uncached_tokens,
            predicted_ms,
            home_rank,
        }
    }

    /// Prompt tokens that the target probably has to compute. A part is in its memory only if all
    /// parts before it are.
    fn uncached(&self, key: TargetKey, home_rank: usize, parts: &[PromptPart]) -> u64 {
        let cached: u64 = shared_parts(parts)
            .iter()
            .take_while(|part| {
                let recent = self.recent.get(&part.id);
                home_rank == 0 || recent.is_some_and(|keys| keys.contains(&key))
            })
            .map(|part| part.tokens)
            .sum();
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        all - cached
    }
}

/// Parts that other requests share. The last one belongs to the request itself.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Ranks of the targets as homes of the prompt's longest shared beginning. Without shared parts all
/// are equal.
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

/// FNV-1a, which is the same on all vms and after restarts.
fn hash_of(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
