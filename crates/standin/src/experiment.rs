//! Experiments: the decision crate on a virtual clock against a small engine model.
//!
//! The figures are in `docs/MEASUREMENTS.md`.

mod baseline;
mod engine;
mod figures;
mod outcome;
mod scenario;
mod summary;
mod traffic;
mod workload;
mod world;

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use pico_args::Arguments;
use strum::IntoEnumIterator;

use outcome::Outcome;
use scenario::{Name, Policy, Scenario};

/// Runs at the same time. The machine is shared.
const THREADS: usize = 3;

/// Runs the experiment that the arguments name.
pub(crate) fn run(mut args: Arguments) -> Result<(), String> {
    let seeds: String = args
        .opt_value_from_str("--seeds")
        .map_err(|e| e.to_string())?
        .unwrap_or_else(|| "1..20".into());
    let policy: String = args
        .opt_value_from_str("--policy")
        .map_err(|e| e.to_string())?
        .unwrap_or_else(|| "all".into());
    let output: String = args
        .opt_value_from_str("--output")
        .map_err(|e| e.to_string())?
        .unwrap_or_else(|| "table".into());
    let plot: Option<String> = args
        .opt_value_from_str("--plot")
        .map_err(|e| e.to_string())?;
    let short = args.contains("--short");
    let name: String = args.free_from_str().map_err(|e| e.to_string())?;
    let name: Name = name.parse().map_err(|_| unknown_name(&name))?;
    let scenario = Scenario::new(name, short);
    let runs = runs(&policies(&policy)?, &parse_seeds(&seeds)?);
    let outcomes = run_all(&scenario, &runs);
    if let Some(directory) = plot {
        let path = Path::new(&directory).join(format!("{name}.svg"));
        summary::plot(&path, &scenario, &outcomes).map_err(|e| e.to_string())?;
    }
    print_outcomes(&output, &outcomes)
}

fn print_outcomes(output: &str, outcomes: &[Outcome]) -> Result<(), String> {
    let summaries = summary::summarise(outcomes);
    match output {
        "table" => print!("{}", summary::table(&summaries)),
        "json" => {
            let all = serde_json::json!({ "summaries": summaries, "runs": outcomes });
            println!(
                "{}",
                serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?
            );
        }
        other => return Err(format!("unknown output {other:?}; use `table` or `json`")),
    }
    let violations = jujubebeam_core::invariant::total();
    if violations > 0 {
        return Err(format!("{violations} violations of invariants"));
    }
    Ok(())
}

fn run_all(scenario: &Scenario, runs: &[(Policy, u64)]) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(vec![None; runs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    let Some((policy, seed)) = runs.get(position) else {
                        return;
                    };
                    let outcome = outcome::run(scenario, *policy, *seed);
                    outcomes.lock().unwrap_or_else(|e| e.into_inner())[position] = Some(outcome);
                }
            });
        }
    });
    let outcomes = outcomes.into_inner().unwrap_or_else(|e| e.into_inner());
    outcomes.into_iter().flatten().collect()
}

fn runs(policies: &[Policy], seeds: &[u64]) -> Vec<(Policy, u64)> {
    let runs = policies.iter().flat_map(|p| seeds.iter().map(|s| (*p, *s)));
    runs.collect()
}

fn policies(name: &str) -> Result<Vec<Policy>, String> {
    if name == "all" {
        return Ok(Policy::iter().collect());
    }
    let parse = |part: &str| {
        part.parse().map_err(|_| {
            let known: Vec<String> = Policy::iter().map(|p| p.to_string()).collect();
            format!(
                "unknown policy {part:?}; use `all` or one of {}",
                known.join(", ")
            )
        })
    };
    name.split(',').map(parse).collect()
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let remedy = || format!("seeds {text:?} are not understood; write `1..20` or `7`");
    let number = |part: &str| part.parse::<u64>().map_err(|_| remedy());
    let Some((first, last)) = text.split_once("..") else {
        return Ok(vec![number(text)?]);
    };
    let (first, last) = (number(first)?, number(last)?);
    if first > last {
        return Err(remedy());
    }
    Ok((first..=last).collect())
}

fn unknown_name(name: &str) -> String {
    let known: Vec<String> = Name::iter().map(|n| n.to_string()).collect();
    format!(
        "unknown experiment {name:?}; use one of {}",
        known.join(", ")
    )
}
