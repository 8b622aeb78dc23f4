//! Command line of the binary.

mod arguments;
mod change;
mod check;
mod client;
mod explain;
mod failure;
mod gateway;
mod key;
mod limit;
mod output;
mod rule;
mod run;
mod status;
mod workspace;

use std::ffi::OsString;
use std::process::ExitCode;

use error_stack::Report;
use pico_args::Arguments;

use failure::{CliResult, Failure};

const HELP: &str = "\
jujubebeam: serving system for a limited fleet

USAGE:
    jujubebeam COMMAND [OPTIONS]

COMMANDS:
    run          Runs the daemon.
    gateway      Forwards opaque requests on the users' platform.
    check        Checks a settings file.
    workspace    Lists, shows, creates, changes and deletes workspaces.
    key          Creates, withdraws and hashes keys.
    limit        Sets limits and spending of a workspace.
    rule         Sets the rule for planned changes of a workspace.
    change       Reads or replaces a whole subtree.
    status       Shows vms, their settings in force and targets.
    explain      Shows why a request went where it went.

OPTIONS:
    -h, --help    Prints this text, or the help of a command.
    --version     Prints the version.

EXIT CODES:
    0  success
    1  failure
    2  bad input; nothing was applied
    3  conflict with another change; nothing was applied
    4  no vm could be reached
    5  the change was accepted, but `--wait` ran out of time
";

/// Which options a command has beside its own.
enum Shared {
    /// None.
    None,
    /// Address and output.
    Read,
    /// Address, output and waiting for a change.
    Change,
}

/// A command with its help text.
struct Command {
    name: &'static str,
    help: &'static str,
    shared: Shared,
    run: fn(Arguments) -> CliResult,
}

/// All commands.
const COMMANDS: [Command; 10] = [
    Command {
        name: "run",
        help: run::HELP,
        shared: Shared::None,
        run: run::run,
    },
    Command {
        name: "gateway",
        help: gateway::HELP,
        shared: Shared::None,
        run: gateway::run,
    },
    Command {
        name: "check",
        help: check::HELP,
        shared: Shared::None,
        run: check::run,
    },
    Command {
        name: "workspace",
        help: workspace::HELP,
        shared: Shared::Change,
        run: workspace::run,
    },
    Command {
        name: "key",
        help: key::HELP,
        shared: Shared::Change,
        run: key::run,
    },
    Command {
        name: "limit",
        help: limit::HELP,
        shared: Shared::Change,
        run: limit::run,
    },
    Command {
        name: "rule",
        help: rule::HELP,
        shared: Shared::Change,
        run: rule::run,
    },
    Command {
        name: "change",
        help: change::HELP,
        shared: Shared::Change,
        run: change::run,
    },
    Command {
        name: "status",
        help: status::HELP,
        shared: Shared::Read,
        run: status::run,
    },
    Command {
        name: "explain",
        help: explain::HELP,
        shared: Shared::Read,
        run: explain::run,
    },
];

/// Runs the command that the arguments name. The program's own name is not among them.
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("jujubebeam: {}", failure::render(&report));
            ExitCode::from(report.current_context().exit_code())
        }
    }
}

fn dispatch(mut args: Arguments) -> CliResult {
    if args.contains("--version") {
        println!("jujubebeam {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let name = args
        .subcommand()
        .map_err(|e| Report::new(Failure::BadInput).attach(e.to_string()))?;
    let wants_help = args.contains(["-h", "--help"]);
    let Some(name) = name else {
        print!("{HELP}");
        return Ok(());
    };
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        return Err(Report::new(Failure::BadInput)
            .attach(format!("unknown command {name:?}; see `jujubebeam --help`")));
    };
    if wants_help {
        print_help(command);
        return Ok(());
    }
    (command.run)(args)
}

fn print_help(command: &Command) {
    print!("{}", command.help);
    match command.shared {
        Shared::None => {}
        Shared::Read => print!("\n{}\n{}", client::READ_OPTIONS, client::KEY_NOTE),
        Shared::Change => print!(
            "\n{}{}\n{}",
            client::READ_OPTIONS,
            client::WAIT_OPTIONS,
            client::KEY_NOTE
        ),
    }
}
