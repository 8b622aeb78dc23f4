//! Command line of the binary.

use std::ffi::OsString;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::process_config::ProcessConfig;
use crate::server;

const HELP: &str = "\
jujubebeam: serving system for a limited fleet

USAGE:
    jujubebeam run --config FILE

COMMANDS:
    run     Runs the daemon.

OPTIONS:
    -h, --help     Prints this text.
    --version      Prints the version.

EXIT CODES:
    0  success
    1  failure
    2  bad input
";

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

/// Runs the command that the arguments name. The program's own name is not among them.
pub fn run(args: Vec<OsString>) -> ExitCode {
    let mut args = Arguments::from_vec(args);
    if args.contains("--version") {
        println!("jujubebeam {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let command = args.subcommand().ok().flatten();
    if command.is_none() || args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match command.as_deref() {
        Some("run") => run_daemon(args),
        Some(other) => bad_input(&format!(
            "unknown command {other:?}; see `jujubebeam --help`"
        )),
        None => ExitCode::SUCCESS,
    }
}

fn run_daemon(mut args: Arguments) -> ExitCode {
    let path: String = match args.value_from_str("--config") {
        Ok(path) => path,
        Err(e) => return bad_input(&format!("{e}; pass `--config FILE`")),
    };
    let config = match ProcessConfig::load(&path) {
        Ok(config) => config,
        Err(e) => return bad_input(&e.to_string()),
    };
    // Libraries log their own start-up at `info`, which would bury the daemon's lines.
    let filter = format!("warn,jujubebeam={}", config.log.level);
    let logger = flexi_logger::Logger::try_with_str(&filter).and_then(flexi_logger::Logger::start);
    if let Err(e) = logger {
        return bad_input(&format!("log.level {:?}: {e}", config.log.level));
    }
    match server::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("vm: {e}");
            ExitCode::FAILURE
        }
    }
}

fn bad_input(message: &str) -> ExitCode {
    eprintln!("jujubebeam: {message}");
    ExitCode::from(BAD_INPUT)
}
