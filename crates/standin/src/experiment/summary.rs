//! Medians and worst values over seeds, as a table, JSON or a plot.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use super::outcome::{COURSE_STEP_S, Outcome, prefill_course};
use super::scenario::Scenario;

/// Figures of one policy over all seeds.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    pub(crate) policy: String,
    pub(crate) seeds: usize,
    pub(crate) offered_median: f64,
    pub(crate) goodput_median: f64,
    pub(crate) goodput_worst: f64,
    /// Goodput relative to the clairvoyant run of the same seed.
    pub(crate) of_bound_median: f64,
    pub(crate) of_bound_worst: f64,
    pub(crate) worst_share_median: f64,
    pub(crate) worst_share_worst: f64,
    pub(crate) role_changes_median: f64,
    pub(crate) role_changes_worst: f64,
    pub(crate) refused_median: f64,
    pub(crate) given_up_median: f64,
    pub(crate) late_median: f64,
    pub(crate) slow_median: f64,
    pub(crate) cut_worst: f64,
    pub(crate) spent_to_least_median: f64,
    pub(crate) spent_to_least_worst: f64,
    pub(crate) length_error_median: f64,
    /// Seeds on which this policy's goodput is not below that of `jujubebeam`.
    pub(crate) seeds_not_below_jujubebeam: usize,
}

/// Summarises outcomes per policy, in the order of first appearance.
pub(crate) fn summarise(outcomes: &[Outcome]) -> Vec<Summary> {
    let mut policies: Vec<&str> = Vec::new();
    for outcome in outcomes {
        if !policies.contains(&outcome.policy.as_str()) {
            policies.push(&outcome.policy);
        }
    }
    policies
        .into_iter()
        .map(|policy| summary(policy, outcomes))
        .collect()
}

fn summary(policy: &str, outcomes: &[Outcome]) -> Summary {
    let own: Vec<&Outcome> = outcomes.iter().filter(|o| o.policy == policy).collect();
    let values = |f: &dyn Fn(&Outcome) -> f64| -> Vec<f64> {
        let mut values: Vec<f64> = own.iter().map(|o| f(o)).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let other = |name: &str, seed: u64| {
        let found = outcomes.iter().find(|o| o.policy == name && o.seed == seed);
        found.map_or(f64::NAN, |o| o.goodput_per_s)
    };
    let goodput = values(&|o| o.goodput_per_s);
    let of_bound = values(&|o| o.goodput_per_s / other("clairvoyant", o.seed));
    let share = values(&|o| o.worst_share);
    let changes = values(&|o| f64::from(o.role_changes));
    let spent = values(&|o| o.spent_cents / o.least_cents);
    Summary {
        policy: policy.to_owned(),
        seeds: own.len(),
        offered_median: median(&values(&|o| o.offered_per_s)),
        goodput_median: median(&goodput),
        goodput_worst: goodput[0],
        of_bound_median: median(&of_bound),
        of_bound_worst: of_bound[0],
        worst_share_median: median(&share),
        worst_share_worst: share[0],
        role_changes_median: median(&changes),
        role_changes_worst: changes[changes.len() - 1],
        refused_median: median(&values(&|o| f64::from(o.refused))),
        given_up_median: median(&values(&|o| f64::from(o.given_up))),
        late_median: median(&values(&|o| f64::from(o.late_first_token))),
        slow_median: median(&values(&|o| f64::from(o.slow_tokens))),
        cut_worst: values(&|o| f64::from(o.cut))
            .last()
            .copied()
            .unwrap_or_default(),
        spent_to_least_median: median(&spent),
        spent_to_least_worst: spent[spent.len() - 1],
        length_error_median: median(&values(&|o| o.length_error)),
        seeds_not_below_jujubebeam: own
            .iter()
            .filter(|o| o.goodput_per_s >= other("jujubebeam", o.seed))
            .count(),
    }
}

fn median(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        return sorted[middle];
    }
    (sorted[middle - 1] + sorted[middle]) / 2.0
}

/// Renders summaries as a Markdown table.
pub(crate) fn table(summaries: &[Summary]) -> String {
    let mut text = String::from(
        "| policy | offered/s | goodput/s median | worst | of bound median | worst | \
         worst-served median | worst | role changes median | most | refused | given up | late | slow | \
         cut | spent/least median | most | length error |\n|---|---|---|---|---|---|---|---|---|---|\
         ---|---|---|---|---|---|---|---|\n",
    );
    for s in summaries {
        text.push_str(&format!(
            "| {} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {} | \
             {} | {} | {} | {} | {} | {:.2} |\n",
            s.policy,
            s.offered_median,
            s.goodput_median,
            s.goodput_worst,
            s.of_bound_median,
            s.of_bound_worst,
            s.worst_share_median,
            s.worst_share_worst,
            s.role_changes_median,
            s.role_changes_worst,
            s.refused_median,
            s.given_up_median,
            s.late_median,
            s.slow_median,
            s.cut_worst,
            ratio(s.spent_to_least_median),
            ratio(s.spent_to_least_worst),
            s.length_error_median,
        ));
    }
    text
}

/// Experiments in which nothing is bought have no ratio.
fn ratio(value: f64) -> String {
    if value.is_finite() {
        format!("{value:.2}")
    } else {
        "-".into()
    }
}

/// Plots the goodput of the first seed over time.
pub(crate) fn plot(
    path: &Path,
    scenario: &Scenario,
    outcomes: &[Outcome],
) -> Result<(), Box<dyn Error>> {
    const COLOURS: [RGBColor; 5] = [
        RGBColor(150, 150, 150),
        RGBColor(200, 130, 0),
        MAGENTA,
        BLUE,
        BLACK,
    ];
    let Some(seed) = outcomes.first().map(|o| o.seed) else {
        return Ok(());
    };
    let first: Vec<&Outcome> = outcomes.iter().filter(|o| o.seed == seed).collect();
    let highest = first
        .iter()
        .flat_map(|o| &o.course)
        .copied()
        .fold(1.0, f64::max)
        * 1.1;
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..scenario.duration_s, 0.0..highest)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("time (s)")
        .y_desc("whole answers in time per second")
        .draw()?;
    let points = |course: &[f64], scale: f64| -> Vec<(f64, f64)> {
        let at = |i: usize| i as f64 * COURSE_STEP_S;
        course
            .iter()
            .enumerate()
            .map(|(i, y)| (at(i), y * scale))
            .collect()
    };
    let share = points(&prefill_course(scenario), highest);
    chart
        .draw_series(LineSeries::new(
            share,
            RGBColor(210, 220, 255).stroke_width(6),
        ))?
        .label("prefill share of the work (full height = 1)")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 15, y)], RGBColor(210, 220, 255)));
    for (position, outcome) in first.into_iter().enumerate() {
        let colour = COLOURS[position % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(points(&outcome.course, 1.0), colour))?
            .label(outcome.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
