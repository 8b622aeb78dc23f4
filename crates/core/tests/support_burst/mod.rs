//! Plays a load of long prompts on a fleet of vms and engines, and counts what callers get.
//!
//! Engines of the prefill stage compute prompts one after the other and keep their parts, engines of
//! the decode stage have slots, and both refuse what exceeds their queues. Callers choose a vm at
//! random and come back once, when they are told to.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use jujubebeam_core::VmId;
use jujubebeam_core::gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests that an engine queues beyond its slots.
const QUEUE: usize = 12;
/// Time between a vm and an engine, one way, in milliseconds.
const WAY_MS: f64 = 1.0;
/// Time that a decode engine takes for an answer of two tokens with a prompt that is handed over.
const ANSWER_MS: f64 = 6.0;
/// Tokens that an engine keeps.
const MEMORY_TOKENS: u64 = 783_000;
/// Time to ask the owner, there and back.
const ASK_MS: f64 = 4.0;

/// How fast engines compute prompts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineFigures {
    /// Time of a prompt without tokens, which overlaps with other prompts.
    pub(crate) fixed_ms: f64,
    pub(crate) prefill_tokens_per_ms: f64,
    pub(crate) decode_tokens_per_ms: f64,
    pub(crate) token_bytes: u64,
    pub(crate) link_mbps: u64,
}

/// Engines that compute a prompt in some 10 ms.
pub(crate) const FAST_ENGINES: EngineFigures = EngineFigures {
    fixed_ms: 0.0,
    prefill_tokens_per_ms: 340.0,
    decode_tokens_per_ms: 156.0,
    token_bytes: 163_840,
    link_mbps: 6_100_000,
};

/// Engines that need 125 ms for any prompt and 25 ms for a thousand tokens.
pub(crate) const SLOW_ENGINES: EngineFigures = EngineFigures {
    fixed_ms: 125.0,
    prefill_tokens_per_ms: 40.0,
    decode_tokens_per_ms: 20.0,
    token_bytes: 35_136,
    link_mbps: 370_000,
};

/// Prompts of the callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptFigures {
    /// Tokens that all prompts share.
    pub(crate) common_tokens: u64,
    /// Tokens that the prompts of a subject share.
    pub(crate) subject_tokens: u64,
    pub(crate) own_tokens: u64,
    pub(crate) subjects: f64,
}

/// A long prompt about one of many subjects.
pub(crate) const LONG_PROMPTS: PromptFigures = PromptFigures {
    common_tokens: 2520,
    subject_tokens: 3780,
    own_tokens: 2890,
    subjects: 1135.0,
};

/// A fleet and its load.
pub(crate) struct Play {
    pub(crate) vms: usize,
    pub(crate) engines: EngineFigures,
    pub(crate) prompts: PromptFigures,
    /// Whether one vm places the prompts of all.
    pub(crate) asks_owner: bool,
    pub(crate) prefill: usize,
    pub(crate) decode: usize,
    pub(crate) slots: u32,
    /// Requests per second before and during the burst, which lasts from 2 s to 5 s.
    pub(crate) per_s: (f64, f64),
    pub(crate) aim: Duration,
    /// Part of its time after which a refused caller comes back.
    pub(crate) retry_time_ratio: f64,
    /// Whether engines with odd numbers are replaced by empty ones as the burst begins.
    pub(crate) replaced: bool,
    pub(crate) seed: u64,
}

/// What callers got in the burst.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) in_aim: u32,
    pub(crate) late: u32,
    pub(crate) not_served: u32,
    /// Prompt tokens that were computed.
    pub(crate) computed: u64,
    /// Shared ones among them.
    pub(crate) shared_again: u64,
    /// Prompts that began to be computed later than 300 ms after they could have at an idle engine.
    pub(crate) beside_idle: u32,
}

#[derive(Clone, Debug)]
struct Caller {
    first_ms: f64,
    subject: u64,
    own: u64,
    is_return: bool,
    vm: usize,
    placed: Option<Placement>,
    /// Placing by the owner, while it lasts.
    question: Option<(PromptRequestId, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Arrive,
    /// The owner is asked.
    Asked,
    AtPrefill,
    Computed,
    AtDecode,
    Answered,
    /// The engine refused; the vm hears of it.
    Refused,
}

struct Engine {
    stage: Stage,
    running: usize,
    free_at_ms: f64,
    /// Prompt parts by last use, oldest first.
    kept: VecDeque<(u64, u64)>,
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
/// When the last caller arrives. Those who were refused in the burst come back before.
const END_MS: f64 = 8000.0;

fn time(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

impl Play {
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
                // Few subjects are popular: a square root of a uniform choice's inverse.
                subject: (self.prompts.subjects * random.random::<f64>().powf(1.8)) as u64,
                own: random.random(),
                is_return: false,
                vm: random.random_range(0..self.vms),
                placed: None,
                question: None,
            });
            world.schedule(at, Step::Arrive, world.callers.len() - 1);
        }
        let mut is_replaced = !self.replaced;
        while let Some((Reverse(at_us), id, caller)) = world.events.pop() {
            world.now_ms = at_us as f64 / 1000.0;
            if !is_replaced && world.now_ms >= BURST_MS.start {
                is_replaced = true;
                world.replace_odd();
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
            // What the owner told before it fell silent.
            let pace = PrefillCost {
                fixed_ms: self.engines.fixed_ms,
                ms_per_1k: 1000.0 / self.engines.prefill_tokens_per_ms,
                answers: 100,
            };
            if !self.asks_owner {
                placer.adopt_prefill_cost("s", pace, Duration::ZERO);
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
        }
    }
}

impl Engine {
    fn new(target: &CatalogTarget) -> Self {
        Self {
            stage: target.stage.expect("an engine"),
            running: 0,
            free_at_ms: 0.0,
            kept: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    fn keeps(&self, part: &PromptPart) -> bool {
        self.kept.iter().any(|(id, _)| *id == part.id)
    }

    /// Takes a prompt into the memory, after some of its first parts were copied from another engine.
    /// Returns how many of its tokens are computed.
    fn read(&mut self, parts: &[PromptPart], copied: usize) -> u64 {
        let mut computed = 0;
        let mut is_kept = true;
        for (index, part) in parts.iter().enumerate() {
            let found = self.kept.iter().position(|(id, _)| *id == part.id);
            is_kept &= found.is_some() || index < copied;
            if let Some(at) = found {
                self.kept.remove(at);
            }
            if !is_kept {
                computed += part.tokens;
            }
            self.kept.push_back((part.id, part.tokens));
        }
        let mut sum: u64 = self.kept.iter().map(|(_, tokens)| tokens).sum();
        while sum > MEMORY_TOKENS {
            sum -= self.kept.pop_front().map_or(0, |(_, tokens)| tokens);
        }
        computed
    }
}

impl Caller {
    fn parts(&self, figures: &PromptFigures) -> [PromptPart; 3] {
        let part = |id, tokens| PromptPart { id, tokens };
        [
            part(1, figures.common_tokens),
            part(2 + self.subject, figures.subject_tokens),
            part(self.own | 1 << 63, figures.own_tokens),
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

    fn replace_odd(&mut self) {
        for (i, engine) in self.engines.values_mut().enumerate() {
            if i % 2 == 1 {
                engine.kept.clear();
            }
        }
    }

    fn step(&mut self, play: &Play, step: Step, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let target = caller.placed.as_ref().map(|placed| placed.key);
        match step {
            Step::Arrive => self.arrive(play, i, random),
            Step::Asked => self.ask_owner(play, i, random),
            Step::AtPrefill | Step::AtDecode => {
                let key = target.expect("placed");
                let engine = self.engines.get_mut(&key).expect("an engine");
                if engine.running + engine.waiting.len() >= play.slots as usize + QUEUE {
                    return self.after(WAY_MS, Step::Refused, i);
                }
                engine.waiting.push_back(i);
                self.start(play, key);
            }
            Step::Computed => {
                let placed = caller.placed.expect("placed");
                self.freed(play, placed.key);
                let placer = &mut self.placers[caller.vm];
                placer.first_byte(&placed, None, now);
                placer.finished(&placed, now);
                self.tell_owner(i, PromptOutcome::Computed);
                let placer = &mut self.placers[caller.vm];
                let request = play.request(&[], DEADLINE, DEADLINE);
                let request = PlacementRequest {
                    stage: Some(Stage::Decode),
                    ..request
                };
                match placer.place(&self.catalog, &request, now) {
                    Ok(next) => {
                        self.callers[i].placed = Some(next);
                        self.after(WAY_MS, Step::AtDecode, i);
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
                    slots: play.slots,
                };
                self.freed(play, placed.key);
                let placer = &mut self.placers[caller.vm];
                placer.first_byte(&placed, Some(report), now);
                placer.finished(&placed, now);
                let took = time(self.now_ms - caller.first_ms);
                if BURST_MS.contains(&caller.first_ms) {
                    match took <= play.aim {
                        true => self.outcome.in_aim += 1,
                        false => self.outcome.late += 1,
                    }
                }
            }
            Step::Refused => {
                let placed = caller.placed.expect("placed");
                let placer = &mut self.placers[caller.vm];
                placer.refused(&placed, None, now);
                placer.finished(&placed, now);
                self.tell_owner(i, PromptOutcome::Refused);
                self.not_served(i);
            }
        }
    }

    fn tell_owner(&mut self, i: usize, outcome: PromptOutcome) {
        let now = time(self.now_ms);
        let Some((id, placed_at_ms)) = self.callers[i].question.take() else {
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

    fn arrive(&mut self, play: &Play, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let is_counted = BURST_MS.contains(&caller.first_ms);
        if is_counted && !caller.is_return {
            self.outcome.asked += 1;
        }
        let left = self.left(i);
        let longest = self.admissions[caller.vm].longest_wait("r", play.aim, Some(left), left);
        let parts = caller.parts(&play.prompts);
        let request = play.request(&parts, longest, left);
        if play.asks_owner {
            let placer = &self.placers[caller.vm];
            let plan = placer.plan_engine_request(&self.catalog, &request, now);
            if matches!(plan, Ok(EnginePlan::Split { .. })) {
                return self.after(ASK_MS / 2.0, Step::Asked, i);
            }
        }
        let placer = &mut self.placers[caller.vm];
        match placer.place_engine_request(&self.catalog, &request, now) {
            Ok(EnginePath::Split(placed)) => {
                self.callers[i].placed = Some(placed);
                self.after(WAY_MS, Step::AtPrefill, i);
            }
            Ok(EnginePath::Direct(placed)) => {
                self.callers[i].placed = Some(placed);
                self.after(WAY_MS, Step::AtDecode, i);
            }
            Err(refused) => self.refused(play, i, refused, random),
        }
    }

    /// Time for which a caller waits from now on.
    fn left(&self, i: usize) -> Duration {
        let passed = time(self.now_ms - self.callers[i].first_ms);
        DEADLINE.saturating_sub(passed)
    }

    fn ask_owner(&mut self, play: &Play, i: usize, random: &mut SmallRng) {
        let now = time(self.now_ms);
        let caller = self.callers[i].clone();
        let parts = caller.parts(&play.prompts);
        let left = self.left(i);
        let longest = self.admissions[caller.vm].longest_wait("r", play.aim, Some(left), left);
        self.next += 1;
        let id = PromptRequestId {
            vm: VmId(caller.vm as u32),
            number: self.next,
        };
        let question = PromptPlacementRequest {
            id,
            service: "s".into(),
            parts: parts.into_iter().collect(),
            excluded: Default::default(),
            longest_wait: longest,
            time_left: left,
            zone: "a".into(),
        };
        let answer = self
            .owner
            .place(&self.catalog, &question, play.limits(), now);
        let placer = &mut self.placers[caller.vm];
        placer.adopt_prefill_cost("s", answer.prefill_cost, now);
        match answer.place {
            Ok(place) => {
                let key = self.catalog.key_of(&place.target).expect("an engine");
                let source = place.copied_from.as_ref();
                let source = source.and_then(|id| self.catalog.key_of(id));
                let target = self.catalog.get(key).expect("an engine");
                let request = play.request(&parts, longest, left);
                let placed =
                    placer.record_owner_placement(target, key, source, &place, &request, now);
                self.callers[i].placed = Some(placed);
                self.callers[i].question = Some((id, self.now_ms));
                self.after(ASK_MS / 2.0 + WAY_MS, Step::AtPrefill, i);
            }
            Err(refused) => self.refused(play, i, refused, random),
        }
    }

    fn refused(&mut self, play: &Play, i: usize, refused: PlacementRefused, random: &mut SmallRng) {
        match refused {
            PlacementRefused::Overloaded { retry_after, .. } if !self.callers[i].is_return => {
                let again_ms = retry_after.as_secs_f64() * 1000.0 * random.random_range(1.0..1.3);
                self.callers[i].is_return = true;
                self.callers[i].vm = random.random_range(0..play.vms);
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

    fn freed(&mut self, play: &Play, key: TargetKey) {
        self.engines.get_mut(&key).expect("an engine").running -= 1;
        self.start(play, key);
    }

    /// Starts waiting requests while slots are free.
    fn start(&mut self, play: &Play, key: TargetKey) {
        loop {
            let engine = self.engines.get_mut(&key).expect("an engine");
            if engine.running >= play.slots as usize {
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
                self.after(ANSWER_MS + WAY_MS, Step::Answered, i);
                continue;
            }
            let parts = caller.parts(&play.prompts);
            let copied_from = placed.copied_from.map(|source| &self.engines[&source]);
            let copied = copied_from.map_or(0, |source| {
                parts.iter().take_while(|part| source.keeps(part)).count()
            });
            let idle_since_ms = self
                .engines
                .values()
                .filter(|engine| engine.stage == Stage::Prefill)
                .map(|engine| engine.free_at_ms)
                .fold(f64::MAX, f64::min);
            let engine = self.engines.get_mut(&key).expect("an engine");
            let computed = engine.read(&parts, copied);
            if BURST_MS.contains(&caller.first_ms) {
                self.outcome.computed += computed;
                self.outcome.shared_again += computed.saturating_sub(play.prompts.own_tokens);
            }
            let (rate, end) = match engine.stage {
                Stage::Prefill => (play.engines.prefill_tokens_per_ms, Step::Computed),
                Stage::Decode => (play.engines.decode_tokens_per_ms, Step::Answered),
            };
            let ready_ms = self.now_ms + play.engines.fixed_ms;
            let begins = engine.free_at_ms.max(ready_ms);
            let waits_long = begins > ready_ms.max(idle_since_ms) + 300.0;
            if waits_long && BURST_MS.contains(&caller.first_ms) {
                self.outcome.beside_idle += 1;
            }
            engine.free_at_ms = begins + computed as f64 / rate;
            let ends = engine.free_at_ms + WAY_MS;
            self.schedule(ends, end, i);
        }
    }
}
