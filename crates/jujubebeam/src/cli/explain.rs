//! `jujubebeam explain`

use pico_args::Arguments;

use super::arguments::positional;
use super::client::Session;
use super::failure::CliResult;

pub(crate) const HELP: &str = "\
Shows why a request went where it went. A vm keeps its most recent decisions in memory, so ask the
vm that served the request, soon after it.

USAGE:
    jujubebeam explain REQUEST

ARGUMENTS:
    REQUEST             Value of the `x-request-id` header of the answer.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let request = positional(&mut args, "REQUEST")?;
    let session = Session::from_args(args)?;
    let answer = session.explain(&request)?;
    session.output.print(&answer, |a| a.decisions.join("\n"));
    Ok(())
}
