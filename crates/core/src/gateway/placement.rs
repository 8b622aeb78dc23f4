//! The choice of a target for an opaque request.
//!
//! Every vm computes the same home for a shared part of a prompt without messages (rendezvous
//! hashing), so the part stays in one engine's memory. A request leaves its home when the
//! predicted time to the first token is shorter elsewhere, which bounds the load of a popular
//! home. The alternatives are weighed in `docs/platform.md`.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::catalog::{Catalog, CatalogTarget, Stage, TargetKey, TargetPhase};
use crate::authority::mix;

/// Recently placed prompt parts that are remembered.
const REMEMBERED_PARTS: usize = 8192;

/// Age at which a load report no longer says anything. Queues of some milliseconds have turned over
/// many times by then.
const REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// Settings of a [`Placer`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementConfig {
    /// Zone of this vm.
    pub zone: String,
    /// Prompt tokens that an engine computes in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Part of that speed at which an engine of the decode stage computes prompts.
    pub decode_prefill_part: f64,
    /// Predicted extra time of a target in another zone, in milliseconds.
    pub other_zone_cost_ms: f64,
    /// Predicted time that a request waiting at an engine takes, in milliseconds.
    pub engine_waiting_ms: f64,
    /// Predicted time that a request waiting at a plain service takes, in milliseconds.
    pub service_waiting_ms: f64,
    /// Time without any answer while requests are outstanding after which a target is avoided.
    pub silent_after: Duration,
    /// First time for which a failing target is avoided; doubled with each further failure.
    pub eject_first: Duration,
    /// Longest time for which a failing target is avoided.
    pub eject_longest: Duration,
    /// Part of recent attempts that must have failed for a target to be avoided.
    pub failing_part: f64,
}

impl Default for PlacementConfig {
    fn default() -> Self {
        Self {
            zone: String::new(),
            // The engines' sheet: 514 prompt tokens in a millisecond, half of it while decoding.
            prefill_tokens_per_ms: 514.0,
            decode_prefill_part: 0.5,
            other_zone_cost_ms: 1.5,
            engine_waiting_ms: 8.0,
            service_waiting_ms: 15.0,
            // Four times the tightest latency aim of the deployments, 100 ms.
            silent_after: Duration::from_millis(400),
            eject_first: Duration::from_millis(400),
            eject_longest: Duration::from_secs(4),
            failing_part: 0.25,
        }
    }
}

/// One part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part. Equal parts of different prompts are the same text.
    pub id: u64,
    /// Length of the part.
    pub tokens: u64,
}

/// What a target said of its load with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
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
    /// Time in which the first byte of the answer must arrive.
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
    /// Rank of the target among the homes of the prompt; 0 is the home itself.
    pub home_rank: usize,
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
    },
}

#[derive(Debug, Default)]
struct TargetState {
    /// Requests of this vm at the target.
    in_flight: u32,
    /// Prompt tokens of those whose first token has not arrived.
    pending_tokens: u64,
    report: Option<(LoadReport, Duration)>,
    /// When the oldest request was sent since the target last answered anything.
    unanswered_since: Option<Duration>,
    /// Weighted part of recent attempts that failed.
    failing: f64,
    ejections: u32,
    avoided_until: Duration,
}

impl TargetState {
    fn report(&self, now: Duration) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now < at + REPORT_LIFETIME).then_some(report)
    }

    fn is_silent(&self, after: Duration, now: Duration) -> bool {
        self.unanswered_since.is_some_and(|at| now > at + after)
    }
}

/// Chooses targets and keeps what this vm knows of their load.
#[derive(Debug)]
pub struct Placer {
    config: PlacementConfig,
    states: HashMap<TargetKey, TargetState>,
    /// Targets that got a part lately, newest last.
    recent: HashMap<u64, SmallVec<[TargetKey; 3]>>,
}

/// One target as a candidate.
struct Candidate<'a> {
    key: TargetKey,
    target: &'a CatalogTarget,
    uncached_tokens: u64,
    predicted_ms: f64,
    home_rank: usize,
}

impl Placer {
    /// Creates a placer that knows nothing of any load.
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            recent: HashMap::new(),
        }
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
        let candidates = self.candidates(catalog, request, now);
        let best = candidates
            .into_iter()
            .min_by(|a, b| a.predicted_ms.total_cmp(&b.predicted_ms))
            .ok_or(RefusedPlace::NoTarget)?;
        let left_ms = request.time_left.as_secs_f64() * 1000.0;
        if best.predicted_ms > left_ms {
            let late_ms = (best.predicted_ms - left_ms).clamp(50.0, 2000.0);
            return Err(RefusedPlace::Overloaded {
                retry_after: Duration::from_secs_f64(late_ms / 1000.0),
            });
        }
        let placed = Placed {
            key: best.key,
            target: best.target.clone(),
            uncached_tokens: best.uncached_tokens,
            predicted_ms: best.predicted_ms,
            home_rank: best.home_rank,
        };
        self.started(&placed, request.parts, now);
        Ok(placed)
    }

    fn started(&mut self, placed: &Placed, parts: &[PromptPart], now: Duration) {
        let state = self.states.entry(placed.key).or_default();
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
        state.pending_tokens = state.pending_tokens.saturating_sub(placed.uncached_tokens);
        state.unanswered_since = None;
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
        self.first_byte(placed, None, now);
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
        let slots = placed.target.slots;
        let full = LoadReport {
            running: slots,
            waiting: slots * 2,
            slots,
        };
        state.report = Some((report.unwrap_or(full), now));
    }

    /// The attempt failed: the connection was refused, broke or gave no answer in time.
    pub fn failed(&mut self, placed: &Placed, now: Duration) {
        let config = &self.config;
        let Some(state) = self.states.get_mut(&placed.key) else {
            return;
        };
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
    pub fn finished(&mut self, placed: &Placed) {
        if let Some(state) = self.states.get_mut(&placed.key) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if state.in_flight == 0 {
                state.pending_tokens = 0;
                state.unanswered_since = None;
            }
        }
    }

    /// Forgets targets that are gone and that no request uses.
    pub fn forget_gone(&mut self, catalog: &Catalog) {
        self.states
            .retain(|key, state| state.in_flight > 0 || catalog.get(*key).is_some());
    }

    fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let usable = |stage_matters: bool| {
            catalog.iter().filter(move |(key, target)| {
                target.service == request.service
                    && target.phase == TargetPhase::Ready
                    && !request.excluded.contains(key)
                    && (!stage_matters || target.stage == request.stage)
            })
        };
        let all: Vec<_> = usable(request.stage.is_some()).collect();
        let sound: Vec<_> = all
            .iter()
            .filter(|(key, _)| self.is_sound(*key, now))
            .copied()
            .collect();
        // A target that seems to fail is better than none.
        let targets = if sound.is_empty() { all } else { sound };
        let homes = homes(&targets, request.parts);
        targets
            .into_iter()
            .zip(homes)
            .map(|((key, target), rank)| self.candidate(key, target, rank, request, now))
            .collect()
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
        now: Duration,
    ) -> Candidate<'a> {
        let config = &self.config;
        let uncached_tokens = self.uncached(key, home_rank, request.parts);
        let state = self.states.get(&key);
        let report = state.and_then(|s| s.report(now)).unwrap_or_default();
        let in_flight = state.map_or(0, |s| s.in_flight);
        let waiting_ms = match target.stage {
            Some(_) => config.engine_waiting_ms,
            None => config.service_waiting_ms,
        };
        let mut predicted_ms = f64::from(report.waiting) * waiting_ms;
        match target.stage {
            Some(stage) => {
                let part = match stage {
                    Stage::Prefill => 1.0,
                    Stage::Decode => config.decode_prefill_part,
                };
                let rate = config.prefill_tokens_per_ms * part;
                let pending = state.map_or(0, |s| s.pending_tokens);
                predicted_ms += (pending + uncached_tokens) as f64 / rate;
            }
            None => {
                let slots = f64::from(target.slots.max(1));
                let busy = f64::from(in_flight.max(report.running));
                predicted_ms += waiting_ms * busy / slots;
            }
        }
        // Beyond its slots a target queues whatever it gets.
        let over = (in_flight.max(report.running) + 1).saturating_sub(target.slots.max(1));
        predicted_ms += f64::from(over) * waiting_ms;
        if target.zone != config.zone {
            predicted_ms += config.other_zone_cost_ms;
        }
        Candidate {
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
