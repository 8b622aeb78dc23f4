//! The cases, each with its check.

mod dark;
mod overlap;
mod unframed;

use std::path::Path;

use crate::record::Record;

/// What a play has shown.
pub enum Verdict {
    Held,
    Broken,
}

/// Runs an engine in this process until it is killed. Returns the exit code.
pub fn run_engine(id: Option<String>, stage: Option<String>) -> i32 {
    let (Some(id), Some(stage)) = (id, stage) else {
        return 2;
    };
    unframed::run_engine(&id, &stage).map_or(2, |()| 0)
}

/// Plays a case and returns the exit code.
pub fn play(case: &str, folder: &Path, has_trouble: bool) -> i32 {
    let record = Record::new();
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let played = match case {
        "dark" => dark::play(&record, has_trouble),
        "overlap" => overlap::play(&record, has_trouble),
        "unframed" => unframed::play(&record, has_trouble),
        _ => {
            eprintln!("unknown case {case}");
            return 2;
        }
    };
    let code = match played {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            1
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            2
        }
    };
    record.write(folder);
    code
}
