//! `jujubebeam gateway`

mod placement;

use std::io;

use error_stack::Report;
use flexi_logger::DeferredNow;
use jujubebeam_gateway::GatewayConfig;
use jujubebeam_platform::Platform;
use pico_args::Arguments;

use super::arguments::{bad_input, finish, required};
use super::failure::{CliResult, Failure};
use super::run::start_log;

pub(crate) const HELP: &str = "\
Forwards opaque requests on the users' platform until SIGTERM, then drains.

USAGE:
    jujubebeam gateway --config FILE
    jujubebeam gateway where --metrics IP:PORT --host HOST --path PATH [OPTIONS]

`where` asks a running gateway where a request would go now, and why. The request is neither sent nor
counted.

OPTIONS:
    --config FILE    Settings file of the process; see docs/SETTINGS.md.
    --check          Checks the file and exits.

OPTIONS OF `where`:
    --metrics IP:PORT     Address for metrics of the gateway that is asked.
    --host HOST           Host of the request.
    --path PATH           Path of the request.
    --service NAME        Service, if the route has several; default is the one with most requests.
    --parts ID:TOKENS,..  Parts of the prompt in their order, with hexadecimal ids.
    --output-tokens N     Largest number of output tokens.
    --output FORM         text (default) or json.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let subcommand = args.subcommand().map_err(|e| bad_input(e.to_string()))?;
    match subcommand.as_deref() {
        Some("where") => return placement::run(args),
        Some(other) => {
            return Err(bad_input(format!(
                "unknown command {other:?}; see `jujubebeam gateway --help`"
            )));
        }
        None => {}
    }
    let check_only = args.contains("--check");
    let path: String = required(&mut args, "--config")?;
    finish(args)?;
    let text = std::fs::read_to_string(&path).map_err(|e| {
        bad_input(format!(
            "{path} cannot be read: {e}; check name and permissions"
        ))
    })?;
    let config = GatewayConfig::parse(&text).map_err(|e| bad_input(format!("{path}: {e}")))?;
    if check_only {
        println!("{path}: no faults");
        return Ok(());
    }
    let _log = start_log(&config.log_level, format_json)?;
    jujubebeam_gateway::run::<Platform>(config)
        .map_err(|e| Report::new(Failure::Failed).attach(e.to_string()))
}

fn format_json(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    jujubebeam_gateway::write_json(writer, &now.format_rfc3339(), record)
}
