//! `jujubebeam explain`

mod log;

use std::fs::File;
use std::io::{self, BufReader};

use error_stack::Report;
use pico_args::Arguments;

use self::log::Explanation;
use super::arguments::{bad_input, finish, optional, positional};
use super::client::Session;
use super::failure::{CliResult, Failure};

pub(crate) const HELP: &str = "\
Shows why a request went where it went.

USAGE:
    jujubebeam explain REQUEST
    jujubebeam explain --log FILE REQUEST

With `--log`, reads the log of one or more gateways. Otherwise asks a vm, which keeps its most recent
decisions in memory: ask the one that served the request, soon after it.

OPTIONS:
    --log FILE          Log of JSON lines; `-` reads the standard input.

ARGUMENTS:
    REQUEST             Id of the request: in a log, the value of its lines' `request` field;
                        otherwise the `x-request-id` header of the answer.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let log: Option<String> = optional(&mut args, "--log")?;
    let request = positional(&mut args, "REQUEST")?;
    if let Some(path) = log {
        finish(args)?;
        return from_log(&path, &request);
    }
    let session = Session::from_args(args)?;
    let answer = session.explain(&request)?;
    session.output.print(&answer, |a| a.decisions.join("\n"));
    Ok(())
}

fn from_log(path: &str, request: &str) -> CliResult {
    let explained = match path {
        "-" => log::explain(io::stdin().lock(), request),
        path => File::open(path).and_then(|file| log::explain(BufReader::new(file), request)),
    };
    let Explanation { lines, cause } =
        explained.map_err(|e| bad_input(format!("{path}: {e}; check name and permissions")))?;
    if cause.is_none() && lines.is_empty() {
        let text = format!(
            "{path}: no line names request {request:?}; search the logs of all vms, and look for \
             `left_out` lines at its time"
        );
        return Err(Report::new(Failure::Failed).attach(text));
    }
    for line in lines {
        println!("{line}");
    }
    if let Some(cause) = cause {
        println!("cause: {cause}");
    }
    Ok(())
}
