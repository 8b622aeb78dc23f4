//! Figures of one run.

use serde::Serialize;

use super::scenario::{Policy, Scenario};
use super::workload::WORKSPACES;
use super::world::{CHEAP, PRICES, Progress, RECLAIMABLE_SHARE, World};

/// Engines' worth of work that ten engines are expected to serve in time.
const FAIR_CAPACITY_ENGINES: f64 = 8.0;
/// Part of an engine that can be used within the latency aims, for the least spending.
const USABLE_SHARE: f64 = 0.85;

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Outcome {
    pub(crate) policy: String,
    pub(crate) seed: u64,
    /// Requests per second that callers sent, repeats not counted.
    pub(crate) offered_per_s: f64,
    /// Whole answers within the aims per second.
    pub(crate) goodput_per_s: f64,
    /// Part of its fair share that each workspace received.
    pub(crate) shares: Vec<f64>,
    /// Smallest of the shares.
    pub(crate) worst_share: f64,
    /// Role changes.
    pub(crate) role_changes: u32,
    /// Requests that a planned change cut.
    pub(crate) cut: u32,
    /// Refusals and failures that callers saw.
    pub(crate) refused: u32,
    /// Requests whose caller left before the first token.
    pub(crate) given_up: u32,
    /// Answers whose first token was late.
    pub(crate) late_first_token: u32,
    /// Answers in time at first, but with too long intervals.
    pub(crate) slow_tokens: u32,
    /// Cost of ordered targets.
    pub(crate) spent_cents: f64,
    /// Least cost of ordered targets that serves the load.
    pub(crate) least_cents: f64,
    /// Average error of predicted output lengths, as a factor.
    pub(crate) length_error: f64,
    /// Goodput in steps of ten seconds.
    #[serde(skip)]
    pub(crate) course: Vec<f64>,
}

/// Length of one step of the course.
pub(crate) const COURSE_STEP_S: f64 = 10.0;

/// Runs one policy with one seed.
pub(crate) fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(scenario, policy, seed);
    world.run();
    let is_good = |p: &Progress| in_time(p, &world) && even(p, &world);
    let good: Vec<&Progress> = world.requests.iter().filter(|p| is_good(p)).collect();
    let steps = (scenario.duration_s / COURSE_STEP_S).ceil() as usize;
    let mut course = vec![0.0; steps.max(1)];
    for progress in &good {
        course[(progress.spec.at_s / COURSE_STEP_S) as usize] += 1.0 / COURSE_STEP_S;
    }
    let late = |p: &&Progress| p.first_token_at.is_some() && !in_time(p, &world);
    let slow = |p: &&Progress| in_time(p, &world) && !even(p, &world);
    let shares = shares(scenario, &world.requests, &good);
    Outcome {
        worst_share: shares.iter().copied().fold(f64::MAX, f64::min),
        shares,
        policy: policy.to_string(),
        seed,
        offered_per_s: world.requests.len() as f64 / scenario.duration_s,
        goodput_per_s: good.len() as f64 / scenario.duration_s,
        role_changes: world.role_changes,
        cut: world.cut,
        refused: world.refused,
        given_up: world.given_up,
        late_first_token: world.requests.iter().filter(late).count() as u32,
        slow_tokens: world.requests.iter().filter(slow).count() as u32,
        spent_cents: world.spent_cents,
        least_cents: least_cents(scenario, &world.requests),
        length_error: world.schedulers[0].lengths().error().exp(),
        course,
    }
}

fn in_time(progress: &Progress, world: &World<'_>) -> bool {
    progress
        .first_token_at
        .is_some_and(|at| at.saturating_sub(progress.sent_at) <= world.figures.first_token)
}

fn even(progress: &Progress, world: &World<'_>) -> bool {
    let (Some(first), Some(done)) = (progress.first_token_at, progress.done_at) else {
        return false;
    };
    let gaps = progress.spec.output_tokens.saturating_sub(1).max(1) as u32;
    (done - first) / gaps <= world.figures.token_interval
}

/// Fair shares divide a fixed capacity: nobody gets more than it asks for, and what is left is
/// divided equally.
fn shares(scenario: &Scenario, all: &[Progress], good: &[&Progress]) -> Vec<f64> {
    let work = |of: &mut dyn Iterator<Item = &Progress>| {
        let mut sums = [0.0; WORKSPACES];
        of.for_each(|p| sums[p.spec.workspace] += p.spec.work_s());
        sums
    };
    let offered = work(&mut all.iter());
    let served = work(&mut good.iter().copied());
    let engines = FAIR_CAPACITY_ENGINES * scenario.engines as f64 / 10.0;
    let level = fair_level(&offered, engines * scenario.duration_s);
    offered
        .iter()
        .zip(served)
        .filter(|(offered, _)| **offered > 0.0)
        .map(|(offered, served)| served / offered.min(level))
        .collect()
}

fn fair_level(offered: &[f64; WORKSPACES], capacity: f64) -> f64 {
    let mut sorted = *offered;
    sorted.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (position, demand) in sorted.iter().enumerate() {
        let equal = left / (WORKSPACES - position) as f64;
        if *demand > equal {
            return equal;
        }
        left -= demand;
    }
    f64::MAX
}

/// Cost of the engines that the offered load needs at each time, bought and released at once, with
/// as many cheap ones as rules allow.
fn least_cents(scenario: &Scenario, requests: &[Progress]) -> f64 {
    if !scenario.buys {
        return 0.0;
    }
    let step_s = 60.0;
    let steps = (scenario.duration_s / step_s).ceil() as usize;
    let mut work = vec![0.0; steps];
    for progress in requests {
        work[(progress.spec.at_s / step_s) as usize] += progress.spec.work_s();
    }
    let price = |class: &str| PRICES.iter().find(|p| p.0 == class).map_or(0, |p| p.1) as f64;
    let (cheap, firm) = (price(CHEAP), price(super::world::FIRM));
    let cost = |work: f64| {
        let needed = (work / step_s / USABLE_SHARE).ceil();
        let bought = (needed - scenario.engines as f64).max(0.0);
        let at_most_cheap = (needed * RECLAIMABLE_SHARE).floor();
        let cheap_ones = bought.min(at_most_cheap);
        (cheap_ones * cheap + (bought - cheap_ones) * firm) * step_s / 3600.0
    };
    work.into_iter().map(cost).sum()
}

/// Share of the offered work that is prefill, for the plot.
pub(crate) fn prefill_course(scenario: &Scenario) -> Vec<f64> {
    let steps = (scenario.duration_s / COURSE_STEP_S).ceil() as usize;
    (0..steps)
        .map(|i| scenario.prefill_share(i as f64 * COURSE_STEP_S))
        .collect()
}
