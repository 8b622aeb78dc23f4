//! Requests of eight workspaces under a mix that shifts.

use jujubebeam_core::targets::EngineRates;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::scenario::Scenario;

/// Shape of a workspace's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// Part of the whole work, within its kind.
    pub(crate) share: f64,
    /// Long prompts with short answers, or short prompts with long answers.
    pub(crate) long: bool,
    /// Median of the prompt length.
    pub(crate) prompt_tokens: f64,
    /// Pieces of the prompt that requests have in common.
    pub(crate) shared_pieces: usize,
    /// Median of the answer length.
    pub(crate) output_tokens: f64,
}

/// Number of workspaces.
pub(crate) const WORKSPACES: usize = 8;
/// Different shared prefixes per workspace.
const PREFIXES: u64 = 8;
const PROMPT_SIGMA: f64 = 0.4;
const OUTPUT_SIGMA: f64 = 0.5;
/// Longer prompts cannot meet the aim for the first token on an idle engine.
const LONGEST_PROMPT: f64 = 9000.0;

/// Even workspaces chat, odd ones check long documents. The first four are large.
pub(crate) fn shape(workspace: usize) -> Shape {
    const SHARES: [f64; 4] = [0.5, 0.25, 0.15, 0.1];
    let share = SHARES[workspace / 2];
    if workspace % 2 == 1 {
        return Shape {
            share,
            long: true,
            prompt_tokens: 3500.0,
            shared_pieces: 4,
            output_tokens: 90.0,
        };
    }
    Shape {
        share,
        long: false,
        prompt_tokens: 1000.0,
        shared_pieces: 2,
        output_tokens: 220.0,
    }
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) at_s: f64,
    pub(crate) workspace: usize,
    pub(crate) vm: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prefix: Vec<u64>,
}

/// Engine time of a request with its shared prefix cached.
pub(crate) fn work_s(prompt_tokens: u64, shared_pieces: usize, output: u64) -> f64 {
    let rates = EngineRates::default();
    let cached = shared_pieces as f64 * f64::from(rates.cache_piece_tokens);
    let prefill = (prompt_tokens as f64 - cached).max(1.0) / rates.prefill_tokens_per_s;
    prefill + output as f64 * 0.001
}

impl Spec {
    pub(crate) fn work_s(&self) -> f64 {
        work_s(self.prompt_tokens, self.prefix.len(), self.output_tokens)
    }
}

/// Average work and prefill work of a request of a kind.
fn average(long: bool) -> (f64, f64) {
    let shape = shape(usize::from(long));
    let prompt = shape.prompt_tokens * (PROMPT_SIGMA * PROMPT_SIGMA / 2.0).exp();
    let output = shape.output_tokens * (OUTPUT_SIGMA * OUTPUT_SIGMA / 2.0).exp();
    let all = work_s(prompt as u64, shape.shared_pieces, output as u64);
    (all, all - output * 0.001)
}

/// Requests per second of a workspace at a time.
fn rate(workspace: usize, at_s: f64, scenario: &Scenario) -> f64 {
    let (chat, chat_prefill) = average(false);
    let (check, check_prefill) = average(true);
    let (low, high) = (chat_prefill / chat, check_prefill / check);
    let long_part = ((scenario.prefill_share(at_s) - low) / (high - low)).clamp(0.0, 1.0);
    let engines = scenario.load_engines(at_s);
    let shape = shape(workspace);
    let (part, work) = if shape.long {
        (long_part, check)
    } else {
        (1.0 - long_part, chat)
    };
    let share = if scenario.equal_workspaces {
        0.25
    } else {
        shape.share
    };
    let own = engines * part * share / work;
    if scenario.noisy_workspace == Some(workspace) {
        own * 10.0
    } else {
        own
    }
}

/// All requests of a run, in order of time.
pub(crate) fn generate(scenario: &Scenario, vms: usize, seed: u64) -> Vec<Spec> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut specs = Vec::new();
    for workspace in 0..WORKSPACES {
        let mut at_s = 0.0;
        loop {
            // Arrivals of a process whose rate varies, by thinning.
            let highest = scenario.highest_rate(|t| rate(workspace, t, scenario));
            at_s += -rng.random::<f64>().max(1e-12).ln() / highest;
            if at_s >= scenario.duration_s {
                break;
            }
            if rng.random::<f64>() * highest <= rate(workspace, at_s, scenario) {
                specs.push(request(workspace, at_s, vms, &mut rng));
            }
        }
    }
    specs.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    specs
}

fn request(workspace: usize, at_s: f64, vms: usize, rng: &mut SmallRng) -> Spec {
    let shape = shape(workspace);
    let shared = shape.shared_pieces;
    let prompt = (shape.prompt_tokens * (PROMPT_SIGMA * normal(rng)).exp()).min(LONGEST_PROMPT);
    let output = shape.output_tokens * (OUTPUT_SIGMA * normal(rng)).exp();
    // A few prefixes are used most of the time.
    let prefix = (rng.random::<f64>().powi(2) * PREFIXES as f64) as u64;
    let prefix = (0..shared as u64).map(|piece| {
        let name = (workspace as u64) << 32 | prefix << 16 | piece;
        name.wrapping_mul(0x9e37_79b9_7f4a_7c15)
    });
    Spec {
        at_s,
        workspace,
        vm: rng.random_range(0..vms),
        prompt_tokens: (prompt as u64).max(shared as u64 * 256 + 16),
        output_tokens: (output as u64).max(2),
        prefix: prefix.collect(),
    }
}

fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
