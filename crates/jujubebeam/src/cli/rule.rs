//! `jujubebeam rule`

use jujubebeam_operator::edit::Edit;
use pico_args::Arguments;

use super::arguments::{optional, required};
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Sets how planned changes treat a workspace's running requests.

USAGE:
    jujubebeam rule --team TEAM --workspace NAME [--mode move|wait] [--longest-wait-s N]

OPTIONS:
    --mode MODE          move running requests to another target, or wait until they end.
    --longest-wait-s N   Time after which a change that still waits is postponed.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let team: String = required(&mut args, "--team")?;
    let edit = Edit::SetPlannedChange {
        workspace: required(&mut args, "--workspace")?,
        mode: optional(&mut args, "--mode")?,
        longest_wait_s: optional(&mut args, "--longest-wait-s")?,
    };
    Session::from_args(args)?.edit_and_print(&team, edit)
}
