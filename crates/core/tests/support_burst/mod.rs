//! Simulates a load of long prompts on a fleet of vms and engines, and counts the outcomes.
//!
//! Prefill engines compute prompts one after the other and cache their parts, decode engines have
//! slots, and both refuse requests beyond their queues. Callers choose a vm at random and retry
//! once at the time that the refusal gives.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of requests that an engine queues beyond its slots.
const QUEUE: usize = 12;
/// One-way network delay between a vm and an engine.
const NETWORK_DELAY_MS: f64 = 1.0;
/// Time that a decode engine takes for an answer of two tokens to a prompt that is handed over.
const ANSWER_MS: f64 = 6.0;
/// Number of tokens that an engine caches.
const MEMORY_TOKENS: u64 = 783_000;
/// Round trip time of a request to the prompt owner.
const OWNER_ROUND_TRIP_MS: f64 = 4.0;

/// Speed of the engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSpeeds {
    /// Fixed time per prompt, which overlaps with other prompts.
    pub(crate) fixed_ms: f64,
    pub(crate) prefill_tokens_per_ms: f64,
    pub(crate) decode_tokens_per_ms: f64,
    pub(crate) token_bytes: u64,
    pub(crate) link_mbps: u64,
}

/// Engines that compute a prompt in about 10 ms.
pub(crate) const FAST_ENGINES: EngineSpeeds = EngineSpeeds {
    fixed_ms: 0.0,
    prefill_tokens_per_ms: 340.0,
    decode_tokens_per_ms: 156.0,
    token_bytes: 163_840,
    link_mbps: 6_100_000,
};

/// Engines that take 125 ms per prompt and 25 ms per thousand tokens.
pub(crate) const SLOW_ENGINES: EngineSpeeds = EngineSpeeds {
    fixed_ms: 125.0,
    prefill_tokens_per_ms: 40.0,
    decode_tokens_per_ms: 20.0,
    token_bytes: 35_136,
    link_mbps: 370_000,
};

/// Sizes of the callers' prompts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptSizes {
    /// Number of tokens that all prompts share.
    pub(crate) common_tokens: u64,
    /// Number of tokens that the prompts of a subject share.
    pub(crate) subject_tokens: u64,
    pub(crate) own_tokens: u64,
    pub(crate) subjects: f64,
}

/// A long prompt about one of many subjects.
pub(crate) const LONG_PROMPTS: PromptSizes = PromptSizes {
    common_tokens: 2520,
    subject_tokens: 3780,
    own_tokens: 2890,
    subjects: 1135.0,
};

/// A fleet and its load.
pub(crate) struct Scenario {
    pub(crate) vms: usize,
    pub(crate) engines: EngineSpeeds,
    pub(crate) prompts: PromptSizes,
    /// Whether one vm places the prompts of all vms.
    pub(crate) uses_owner: bool,
    pub(crate) prefill: usize,
    pub(crate) decode: usize,
    pub(crate) slots: u32,
    /// Requests per second before and during the burst, which lasts from 2 s to 5 s.
    pub(crate) per_s: (f64, f64),
    pub(crate) aim: Duration,
    /// Time after which a refused caller retries, as a share of its remaining time.
    pub(crate) retry_time_ratio: f64,
    /// Whether the caches of engines with odd numbers are cleared when the burst begins.
    pub(crate) clears_caches: bool,
    pub(crate) seed: u64,
}

/// Outcomes of the requests of the burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) not_served: u32,
    /// Number of computed prompt tokens.
    pub(crate) computed_tokens: u64,
    /// Number of computed prompt tokens that belong to shared parts.
    pub(crate) recomputed_tokens: u64,
    /// Number of prompts whose computation began more than 300 ms later than possible at an idle
    /// engine.
    pub(crate) beside_idle: u32,
}

#[derive(Clone, Debug)]
struct Caller {
    first_ms: f64,
    subject: u64,
    own: u64,
    is_retry: bool,
    vm: usize,
    placed: Option<Placement>,
    /// Placement by the owner whose end has not been reported, and its time.
    prompt_request: Option<(PromptRequestId, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Arrive,
    /// The placement request reaches the owner.
    AtOwner,
    AtPrefill,
    Computed,
    AtDecode,
    Answered,
    /// The vm receives the refusal of the engine.
    Refused,
}

struct Engine {
    stage: Stage,
    running: usize,
    free_at_ms: f64,
    /// Prompt parts by last use, oldest first.
    cached: VecDeque<(u64, u64)>,
    waiting: VecDeque<usize>,
}

struct World {
    catalog: Catalog,
    placers: Vec<Placer>,
    owner: PromptOwner,
    admissions: Vec<Admission>,
    engines: HashMap<TargetKey, Engine>,
    callers: Vec<Caller>,
    events: BinaryHeap<(Reverse<u64>, u64, usize)>,
    steps: HashMap<u64, Step>,
    next: u64,
    now_ms: f64,
    outcome: Outcome,
}

const DEADLINE: Duration = Duration::from_secs(2);
const BURST_MS: std::ops::Range<f64> = 2000.0..5000.0;
/// Time at which the last caller arrives. Callers that were refused in the burst retry before.
const END_MS: f64 = 8000.0;

fn time(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl Scenario {
    pub(crate) fn run(&self) -> Outcome {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut world = self.world();
        let mut at = 0.0;
        while at < END_MS {
            let per_s = if BURST_MS.contains(&at) {
                self.per_s.1
            } else {
                self.per_s.0
            };
            at += -(1.0 - random.random::<f64>()).ln() * 1000.0 / per_s;
            world.callers.push(Caller {
                first_ms: at,
                // Few subjects are popular, because the power moves a uniform choice towards zero.
                subject: (self.prompts.subjects * random.random::<f64>().powf(1.8)) as u64,
                own: random.random(),
                is_retry: false,
                vm: random.random_range(0..self.vms),
                placed: None,
                prompt_request: None,
            });
            world.schedule(at, Step::Arrive, world.callers.len() - 1);
        }
        let mut is_cleared = !self.clears_caches;
        while let Some((Reverse(at_us), id, caller)) = world.events.pop() {
            world.now_ms = at_us as f64 / 1000.0;
            if !is_cleared && world.now_ms >= BURST_MS.start {
                is_cleared = true;
                world.clear_odd_caches();
            }
            let step = world.steps.remove(&id).expect("a scheduled step");
            world.step(self, step, caller, &mut random);
        }
        world.outcome
    }

    fn world(&self) -> World {
        let mut catalog = Catalog::default();
        let stages = std::iter::repeat_n(Stage::Prefill, self.prefill)
            .chain(std::iter::repeat_n(Stage::Decode, self.decode));
        let targets: Vec<_> = stages.enumerate().map(|(i, s)| self.target(i, s)).collect();
        catalog.update(targets, Duration::ZERO, Duration::ZERO);
        let engines = catalog
            .iter()
            .map(|(key, target)| (key, Engine::new(target)));
        let mut vm = 0;
        let mut placer = || {
            vm += 1;
            let mut placer = Placer::new(PlacementConfig {
                seed: vm,
                retry_time_ratio: self.retry_time_ratio,
                ..PlacementConfig::default()
            });
            placer.set_vms(self.vms);
            // The last estimate that the owner sent before it became unresponsive.
            let prefill_cost = PrefillCost {
                fixed_ms: self.engines.fixed_ms,
                ms_per_1k: 1000.0 / self.engines.prefill_tokens_per_ms,
                answers: 100,
            };
            if !self.uses_owner {
                placer.adopt_prefill_cost("s", prefill_cost, Duration::ZERO);
            }
            placer
        };
        World {
            owner: PromptOwner::new(PlacementConfig {
                retry_time_ratio: self.retry_time_ratio,
                ..PlacementConfig::default()
            }),
            engines: engines.collect(),
            placers: std::iter::repeat_with(&mut placer).take(self.vms).collect(),
            admissions: std::iter::repeat_with(Admission::default)
                .take(self.vms)
                .collect(),
            catalog,
            callers: Vec::new(),
            events: BinaryHeap::new(),
            steps: HashMap::new(),
            next: 0,
            now_ms: 0.0,
            outcome: Outcome::default(),
        }
    }

    fn limits(&self) -> EngineLimits {
        EngineLimits {
            slots: self.slots,
            memory_tokens: MEMORY_TOKENS,
            token_bytes: self.engines.token_bytes,
            link_mbps: self.engines.link_mbps,
        }
    }

    fn request<'a>(
        &self,
        parts: &'a [PromptPart],
        longest_wait: Duration,
        time_left: Duration,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: "s",
            stage: Some(Stage::Decode),
            parts,
            excluded: &[],
            longest_wait,
            time_left,
            zone: "a",
            engine: self.limits(),
            hand_over: None,
            version: RequiredVersion::Any,
        }
    }

    fn target(&self, i: usize, stage: Stage) -> CatalogTarget {
        CatalogTarget {
            id: format!("engine-{i}"),
            service: "s".into(),
            address: format!("10.0.0.{i}:80"),
            zone: "a".into(),
            slots: self.slots,
            phase: TargetPhase::Ready,
            stage: Some(stage),
            is_reclaimable: false,
            born_ms: 1,
            version: Some("v1".into()),
        }
    }
}

impl Engine {
    fn new(target: &CatalogTarget) -> Self {
        Self {
            stage: target.stage.expect("an engine"),
            running: 0,
            free_at_ms: 0.0,
            cached: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    fn has_cached(&self, part: &PromptPart) -> bool {
        self.cached.iter().any(|(id, _)| *id == part.id)
    }

    /// Caches a prompt, of which the first `copied` parts are copied from another engine. Returns
    /// the number of tokens that are computed.
    fn read(&mut self, parts: &[PromptPart], copied: usize) -> u64 {
        let mut computed_tokens = 0;
        let mut is_kept = true;
        for (index, part) in parts.iter().enumerate() {
            let found = self.cached.iter().position(|(id, _)| *id == part.id);
            is_kept &= found.is_some() || index < copied;
            if let Some(at) = found {
                self.cached.remove(at);
            }
            if !is_kept {
                computed_tokens += part.tokens;
            }
            self.cached.push_back((part.id, part.tokens));
        }
        let mut sum: u64 = self.cached.iter().map(|(_, tokens)| tokens).sum();
        while sum > MEMORY_TOKENS {
            sum -= self.cached.pop_front().map_or(0, |(_, tokens)| tokens);
        }
        computed_tokens
    }
}

impl Caller {
    fn parts(&self, sizes: &PromptSizes) -> [PromptPart; 3] {
        let part = |id, tokens| PromptPart { id, tokens };
        [
            part(1, sizes.common_tokens),
            part(2 + self.subject, sizes.subject_tokens),
            part(self.own | 1 << 63, sizes.own_tokens),
        ]
    }
}

impl World {
    fn schedule(&mut self, at_ms: f64, step: Step, caller: usize) {
        self.next += 1;
        self.steps.insert(self.next, step);
        let at_us = (at_ms * 1000.0) as u64;
        self.events.push((Reverse(at_us), self.next, caller));
    }

    fn after(&mut self, ms: f64, step: Step, caller: usize) {
        self.schedule(self.now_ms + ms, step, caller);
    }

    fn clear_odd_caches(&mut self) {
        for (i, engine) in self.engines.values_mut().enumerate() {
            if i % 2 == 1 {
                engine.cached.clear();
            }
        }
    }

    fn step(&mut self, scenario: &Scenario, step: Step, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let target = caller.placed.as_ref().map(|placed| placed.key);
        match step {
            Step::Arrive => self.arrive(scenario, i, random),
            Step::AtOwner => self.query_owner(scenario, i, random),
            Step::AtPrefill | Step::AtDecode => {
                let key = target.expect("placed");
                let engine = self.engines.get_mut(&key).expect("an engine");
                if engine.running + engine.waiting.len() >= scenario.slots as usize + QUEUE {
                    return self.after(NETWORK_DELAY_MS, Step::Refused, i);
                }
                engine.waiting.push_back(i);
                self.start(scenario, key);
            }
            Step::Computed => {
                let placed = caller.placed.expect("placed");
                self.release_slot(scenario, placed.key);
                let placer = &mut self.placers[caller.vm];
                placer.first_byte(&placed, None, now);
                placer.finished(&placed, now);
                self.report_to_owner(i, PromptOutcome::Computed);
                let placer = &mut self.placers[caller.vm];
                let request = scenario.request(&[], DEADLINE, DEADLINE);
                let request = PlacementRequest {
                    stage: Some(Stage::Decode),
                    ..request
                };
                match placer.place(&self.catalog, &request, now) {
                    Ok(next) => {
                        self.callers[i].placed = Some(next);
                        self.after(NETWORK_DELAY_MS, Step::AtDecode, i);
                    }
                    Err(_) => self.not_served(i),
                }
            }
            Step::Answered => {
                let placed = caller.placed.expect("placed");
                let engine = &self.engines[&placed.key];
                let report = LoadReport {
                    running: engine.running as u32,
                    waiting: engine.waiting.len() as u32,
                    slots: scenario.slots,
                    ..LoadReport::default()
                };
                self.release_slot(scenario, placed.key);
                let placer = &mut self.placers[caller.vm];
                placer.first_byte(&placed, Some(report), now);
                placer.finished(&placed, now);
                let took = time(self.now_ms - caller.first_ms);
                if BURST_MS.contains(&caller.first_ms) {
                    match took <= scenario.aim {
                        true => self.outcome.in_time += 1,
                        false => self.outcome.late += 1,
                    }
                }
            }
            Step::Refused => {
                let placed = caller.placed.expect("placed");
                let placer = &mut self.placers[caller.vm];
                placer.refused(&placed, None, now);
                placer.finished(&placed, now);
                self.report_to_owner(i, PromptOutcome::Refused);
                self.not_served(i);
            }
        }
    }

    fn report_to_owner(&mut self, i: usize, outcome: PromptOutcome) {
        let now = time(self.now_ms);
        let Some((id, placed_at_ms)) = self.callers[i].prompt_request.take() else {
            return;
        };
        let end = PromptEnd {
            id,
            outcome,
            took: time(self.now_ms - placed_at_ms),
            report: None,
        };
        self.owner.ended(&end, now);
    }

    fn arrive(&mut self, scenario: &Scenario, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let is_counted = BURST_MS.contains(&caller.first_ms);
        if is_counted && !caller.is_retry {
            self.outcome.requests += 1;
        }
        let left = self.left(i);
        let class = self.admissions[caller.vm].classify("r", Some(left));
        let longest = class.longest_wait(scenario.aim, left);
        let parts = caller.parts(&scenario.prompts);
        let request = scenario.request(&parts, longest, left);
        if scenario.uses_owner {
            let placer = &self.placers[caller.vm];
            let plan = placer.plan_engine_request(&self.catalog, &request, now);
            if matches!(plan, Ok(EnginePlan::Split { .. })) {
                return self.after(OWNER_ROUND_TRIP_MS / 2.0, Step::AtOwner, i);
            }
        }
        let placer = &mut self.placers[caller.vm];
        match placer.place_engine_request(&self.catalog, &request, now) {
            Ok(EnginePath::Split(placed)) => {
                self.callers[i].placed = Some(placed);
                self.after(NETWORK_DELAY_MS, Step::AtPrefill, i);
            }
            Ok(EnginePath::Direct(placed)) => {
                self.callers[i].placed = Some(placed);
                self.after(NETWORK_DELAY_MS, Step::AtDecode, i);
            }
            Err(refused) => self.refused(scenario, i, refused, random),
        }
    }

    /// Remaining time for which a caller waits.
    fn left(&self, i: usize) -> Duration {
        let passed = time(self.now_ms - self.callers[i].first_ms);
        DEADLINE.saturating_sub(passed)
    }

    fn query_owner(&mut self, scenario: &Scenario, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let parts = caller.parts(&scenario.prompts);
        let left = self.left(i);
        let class = self.admissions[caller.vm].classify("r", Some(left));
        let longest = class.longest_wait(scenario.aim, left);
        self.next += 1;
        let id = PromptRequestId {
            vm: VmId(caller.vm as u32),
            number: self.next,
        };
        let prompt_request = PromptPlacementRequest {
            id,
            service: "s".into(),
            parts: parts.into_iter().collect(),
            excluded: Default::default(),
            longest_wait: longest,
            time_left: left,
            zone: "a".into(),
            rank: 0,
            is_continuation: false,
            known_links: None,
        };
        let answer = self
            .owner
            .place(&self.catalog, &prompt_request, scenario.limits(), now);
        let placer = &mut self.placers[caller.vm];
        placer.adopt_prefill_cost("s", answer.prefill_cost, now);
        match answer.place {
            Ok(place) => {
                let key = self.catalog.key_of(&place.target).expect("an engine");
                let source = place.copied_from.as_ref();
                let source = source.and_then(|id| self.catalog.key_of(id));
                let target = self.catalog.get(key).expect("an engine");
                let request = scenario.request(&parts, longest, left);
                let placed =
                    placer.record_owner_placement(target, key, source, &place, &request, now);
                self.callers[i].placed = Some(placed);
                self.callers[i].prompt_request = Some((id, self.now_ms));
                self.after(
                    OWNER_ROUND_TRIP_MS / 2.0 + NETWORK_DELAY_MS,
                    Step::AtPrefill,
                    i,
                );
            }
            Err(refused) => self.refused(scenario, i, refused, random),
        }
    }

    fn refused(
        &mut self,
        scenario: &Scenario,
        i: usize,
        refused: PlacementRefused,
        random: &mut SmallRng,
    ) {
        match refused {
            PlacementRefused::Overloaded { retry_after, .. } if !self.callers[i].is_retry => {
                let again_ms = retry_after.as_secs_f64() * 1000.0 * random.random_range(1.0..1.3);
                self.callers[i].is_retry = true;
                self.callers[i].vm = random.random_range(0..scenario.vms);
                self.after(again_ms, Step::Arrive, i);
            }
            _ => self.not_served(i),
        }
    }

    fn not_served(&mut self, i: usize) {
        if BURST_MS.contains(&self.callers[i].first_ms) {
            self.outcome.not_served += 1;
        }
    }

    fn release_slot(&mut self, scenario: &Scenario, key: TargetKey) {
        self.engines.get_mut(&key).expect("an engine").running -= 1;
        self.start(scenario, key);
    }

    /// Starts waiting requests while slots are free.
    fn start(&mut self, scenario: &Scenario, key: TargetKey) {
        loop {
            let engine = self.engines.get_mut(&key).expect("an engine");
            if engine.running >= scenario.slots as usize {
                return;
            }
            let Some(i) = engine.waiting.pop_front() else {
                return;
            };
            engine.running += 1;
            let caller = &self.callers[i];
            let placed = caller.placed.as_ref().expect("placed");
            let is_handed_over = engine.stage == Stage::Decode && placed.uncached_tokens == 0;
            if is_handed_over {
                self.after(ANSWER_MS + NETWORK_DELAY_MS, Step::Answered, i);
                continue;
            }
            let parts = caller.parts(&scenario.prompts);
            let copied_from = placed.copied_from.map(|source| &self.engines[&source]);
            let copied = copied_from.map_or(0, |source| {
                parts
                    .iter()
                    .take_while(|part| source.has_cached(part))
                    .count()
            });
            let idle_since_ms = self
                .engines
                .values()
                .filter(|engine| engine.stage == Stage::Prefill)
                .map(|engine| engine.free_at_ms)
                .fold(f64::MAX, f64::min);
            let engine = self.engines.get_mut(&key).expect("an engine");
            let computed_tokens = engine.read(&parts, copied);
            if BURST_MS.contains(&caller.first_ms) {
                self.outcome.computed_tokens += computed_tokens;
                self.outcome.recomputed_tokens +=
                    computed_tokens.saturating_sub(scenario.prompts.own_tokens);
            }
            let (rate, end) = match engine.stage {
                Stage::Prefill => (scenario.engines.prefill_tokens_per_ms, Step::Computed),
                Stage::Decode => (scenario.engines.decode_tokens_per_ms, Step::Answered),
            };
            let ready_ms = self.now_ms + scenario.engines.fixed_ms;
            let begins = engine.free_at_ms.max(ready_ms);
            let waits_long = begins > ready_ms.max(idle_since_ms) + 300.0;
            if waits_long && BURST_MS.contains(&caller.first_ms) {
                self.outcome.beside_idle += 1;
            }
            engine.free_at_ms = begins + computed_tokens as f64 / rate;
            let ends = engine.free_at_ms + NETWORK_DELAY_MS;
            self.schedule(ends, end, i);
        }
    }
}
