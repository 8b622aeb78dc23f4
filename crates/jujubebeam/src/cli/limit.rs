//! `jujubebeam limit`

use jujubebeam_operator::edit::Edit;
use pico_args::Arguments;

use super::arguments::{optional, required};
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Sets limits and spending of a workspace. What is left out stays as it is; 0 means no limit.

USAGE:
    jujubebeam limit --team TEAM --workspace NAME [LIMITS]

LIMITS:
    --requests-per-s N            Requests per second.
    --tokens-per-min N            Prompt and output tokens per minute.
    --concurrent-requests N       Requests at the same time.
    --budget-cents-per-day N      Cost of use per day.
    --capacity-cents-per-hour N   Most that bought capacity may cost; 0 forbids buying.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let team: String = required(&mut args, "--team")?;
    let edit = Edit::SetLimits {
        workspace: required(&mut args, "--workspace")?,
        requests_per_s: optional(&mut args, "--requests-per-s")?,
        tokens_per_min: optional(&mut args, "--tokens-per-min")?,
        concurrent_requests: optional(&mut args, "--concurrent-requests")?,
        budget_cents_per_day: optional(&mut args, "--budget-cents-per-day")?,
        capacity_cents_per_hour: optional(&mut args, "--capacity-cents-per-hour")?,
    };
    Session::from_args(args)?.edit_and_print(&team, edit)
}
