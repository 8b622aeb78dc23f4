//! `jujubebeam check`

use jujubebeam_core::settings::document::FleetDocument;
use jujubebeam_operator::{Finding, check_fleet, check_team, render_findings};
use pico_args::Arguments;
use serde::Serialize;
use strum::EnumString;

use super::arguments::{bad_input, finish, optional, output, positional};
use super::failure::CliResult;
use super::output::Output;
use crate::process_config::ProcessConfig;

pub(crate) const HELP: &str = "\
Checks a settings file without a running system. Every fault is printed with file, line, field and
remedy, and the exit code is 2.

USAGE:
    jujubebeam check FILE [--kind KIND] [--fleet FILE] [--output text|json]

OPTIONS:
    --kind KIND      fleet, team (default) or process.
    --fleet FILE     Fleet subtree against which a team's references are checked.
    --output FORM    text (default) or json.
";

#[derive(Clone, Copy, Default, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Kind {
    Fleet,
    #[default]
    Team,
    Process,
}

#[derive(Serialize)]
struct CheckOutput<'a> {
    file: &'a str,
    findings: &'a [Finding],
}

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let output = output(&mut args)?;
    let kind: Kind = optional(&mut args, "--kind")?.unwrap_or_default();
    let fleet: Option<String> = optional(&mut args, "--fleet")?;
    let file = positional(&mut args, "FILE")?;
    finish(args)?;
    let fleet = match fleet {
        Some(path) => Some(load_fleet(&path)?),
        None => None,
    };
    let text = read(&file)?;
    let result = match kind {
        Kind::Fleet => check_fleet(&text).map(|_| ()),
        Kind::Team => check_team(&text, fleet.as_ref()).map(|_| ()),
        Kind::Process => ProcessConfig::parse(&text).map(|_| ()),
    };
    let findings = result.err().unwrap_or_default();
    if output == Output::Json || findings.is_empty() {
        let value = CheckOutput {
            file: &file,
            findings: &findings,
        };
        output.print(&value, |_| format!("{file}: no faults"));
    }
    if findings.is_empty() {
        return Ok(());
    }
    Err(bad_input(render_findings(&file, &findings)))
}

fn load_fleet(path: &str) -> CliResult<FleetDocument> {
    check_fleet(&read(path)?).map_err(|findings| bad_input(render_findings(path, &findings)))
}

/// Reads a file that the operator named.
pub(crate) fn read(path: &str) -> CliResult<String> {
    std::fs::read_to_string(path).map_err(|e| bad_input(format!("{path}: {e}")))
}
