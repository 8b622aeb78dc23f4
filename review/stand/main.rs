//! Stand-ins and drivers of the cases in `review/`. See `review/REPORT.md`.

mod gateway;
mod http;
mod json;
mod overlap;
mod poison;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run, for this reason.
    Failed(String),
}

/// Where a case runs.
pub struct Place {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// File for the record.
    pub record: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = &words[..] else {
        eprintln!("use: stand CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let place = Place {
        root: root.into(),
        folder: folder.into(),
        record: record.into(),
        // With `poison`, the case runs without its other disruption.
        has_trouble: !matches!(std::env::var("TROUBLE").as_deref(), Ok("0" | "poison")),
    };
    let outcome = match case.as_str() {
        "overlap" => overlap::run(&place),
        "poison" => poison::run(&place, poison::Case::Query),
        "restarts" => poison::run(&place, poison::Case::Restarts),
        other => Outcome::Failed(format!("unknown case {other}")),
    };
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::Failed(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
