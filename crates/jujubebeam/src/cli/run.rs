//! `jujubebeam run`

use std::io;

use error_stack::Report;
use flexi_logger::{DeferredNow, FormatFunction, LoggerHandle, WriteMode};
use jujubebeam_core::invariant;
use pico_args::Arguments;

use super::arguments::{bad_input, finish, required};
use super::failure::{CliResult, Failure};
use crate::process_config::ProcessConfig;
use crate::{server, trace};

pub(crate) const HELP: &str = "\
Runs the daemon until SIGTERM or SIGINT, then drains.

USAGE:
    jujubebeam run --config FILE

OPTIONS:
    --config FILE    Settings file of the process; see docs/SETTINGS.md.
    --check          Checks the file and exits.
";

/// Runs the command.
pub(crate) fn run(mut args: Arguments) -> CliResult {
    let check_only = args.contains("--check");
    let path: String = required(&mut args, "--config")?;
    finish(args)?;
    let config = ProcessConfig::load(&path).map_err(|e| bad_input(e.to_string()))?;
    if check_only {
        println!("{path}: no faults");
        return Ok(());
    }
    let _log = start_log(&config.log.level, format_line)?;
    invariant::set_reporter(|name, detail| log::error!("invariant: {name}: {detail}"));
    let _guard = trace::start(&config.trace).map_err(bad_input)?;
    server::run(config).map_err(|e| Report::new(Failure::Failed).attach(e.to_string()))
}

/// Starts the log. A thread of its own writes it, so that a reader of the standard output that stalls
/// never blocks a request. The handle flushes when it is dropped.
pub(crate) fn start_log(level: &str, format: FormatFunction) -> CliResult<LoggerHandle> {
    // Libraries log their own start-up at `info`, which would bury the daemon's lines.
    let filter = format!("warn,jujubebeam={level},jujubebeam_gateway={level}");
    flexi_logger::Logger::try_with_str(&filter)
        .and_then(|logger| {
            let logger = logger.log_to_stdout().write_mode(WriteMode::Async);
            logger.format(format).start()
        })
        .map_err(|e| bad_input(format!("log.level {level:?}: {e}")))
}

/// Time, level and sentence. The sentence's prefix names the part, so the module is left out.
fn format_line(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let time = now.format_rfc3339();
    write!(writer, "{time} {} {}", record.level(), record.args())
}
