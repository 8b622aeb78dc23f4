//! Command line of the stand-ins.

use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::{
    capacity, echo, engine, experiment, fault_cli, load, overhead, platform, relay, service, up,
};

const HELP: &str = "\
jujubebeam-standin: stand-ins for the systems around jujubebeam

USAGE:
    jujubebeam-standin up [--once] [--base-port PORT] [--relays] [--usage-window-s N]
    jujubebeam-standin platform --address IP:PORT --vms FILE [--targets FILE]
    jujubebeam-standin engine --address IP:PORT --model MODEL
    jujubebeam-standin service --address IP:PORT --name NAME [--journal FILE]
    jujubebeam-standin relay --address IP:PORT [--link KIND,VM,LISTEN,TARGET]...
    jujubebeam-standin fault --address IP:PORT [--clear] [--records] [NAME=VALUE]...
    jujubebeam-standin load [--address URL|ask] [--entry URL,URL] [--key KEY] [--rate N]
                            [--concurrency N] [--seconds N] [--requests N]
                            [--mix chat|checkout|mixed] [--seed N] [--output table|json]
    jujubebeam-standin overhead [--seed N] [--seconds N] [--rate N]
    jujubebeam-standin vm ARGUMENTS OF jujubebeam
    jujubebeam-standin capacity [--role settings|membership|scheduler|limits|targets|usage|leases]
                                [--output table|json]
    jujubebeam-standin experiment NAME [--seeds A..B] [--policy all|NAME] [--output json|table]
                                  [--plot DIR] [--short]

COMMANDS:
    up          Starts the stand-ins and six vms on loopback until Ctrl-C.
    platform    Runs the store, vm list, ordering, usage and weight store.
    engine      Runs one inference engine.
    service     Runs one plain service.
    relay       Forwards connections of vms and cuts them on request.
    fault       Shows or sets the faults of a running stand-in, or shows its records.
    load        Sends requests, checks every answer and prints latencies.
    overhead    Measures what one vm adds to a direct call.
    vm          Runs the jujubebeam daemon or client.
    capacity    Measures control traffic per vm; see docs/CAPACITY.md.
    experiment  Measures the decision crate on a virtual clock; see docs/MEASUREMENTS.md.

OPTIONS:
    --once        Serves one streamed request and one checkout, prints both and exits.
    --base-port   First port to use; default 17000.
    --relays      Connects vms with each other and the platform through a relay.
    --usage-window-s  Length of a usage window; default 60.
    -h, --help    Prints this text.
";

/// Parses the command line and runs the chosen command.
pub(crate) fn run() -> ExitCode {
    let mut raw: Vec<_> = std::env::args_os().skip(1).collect();
    if raw.first().is_some_and(|first| first == "vm") {
        raw.remove(0);
        return jujubebeam::run(raw);
    }
    let mut args = Arguments::from_vec(raw);
    let command = args.subcommand().ok().flatten();
    if command.is_none() || args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match dispatch(command.as_deref().unwrap_or_default(), args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("jujubebeam-standin: {message}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: &str, mut args: Arguments) -> Result<(), String> {
    match command {
        "up" => {
            let once = args.contains("--once");
            let base_port = optional(&mut args, "--base-port")?.unwrap_or(17_000);
            let options = up::Options {
                once,
                relays: args.contains("--relays"),
                usage_window_s: optional(&mut args, "--usage-window-s")?,
            };
            up::run(base_port, options)
        }
        "platform" => {
            let address: SocketAddr = required(&mut args, "--address")?;
            let vms: String = required(&mut args, "--vms")?;
            let targets: Option<String> = optional(&mut args, "--targets")?;
            platform::run(address, &vms, targets.as_deref())
        }
        "engine" => {
            let address: SocketAddr = required(&mut args, "--address")?;
            let model: String = required(&mut args, "--model")?;
            engine::run(address, model)
        }
        "service" => {
            let address: SocketAddr = required(&mut args, "--address")?;
            let name: String = required(&mut args, "--name")?;
            let journal: Option<String> = optional(&mut args, "--journal")?;
            service::run(address, name, journal.as_deref())
        }
        "echo" => echo::run(required(&mut args, "--address")?),
        "relay" => {
            let address: SocketAddr = required(&mut args, "--address")?;
            let links = args
                .values_from_str("--link")
                .map_err(|e: pico_args::Error| e.to_string())?;
            relay::run(address, links)
        }
        "fault" => fault_cli::run(args),
        "load" => load::run(args),
        "overhead" => overhead::run(args),
        "capacity" => capacity::run(args),
        "experiment" => experiment::run(args),
        other => Err(format!("unknown command {other:?}; see `--help`")),
    }
}

fn required<T: std::str::FromStr>(args: &mut Arguments, name: &'static str) -> Result<T, String>
where
    T::Err: std::fmt::Display,
{
    args.value_from_str(name).map_err(|e| e.to_string())
}

fn optional<T: std::str::FromStr>(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name).map_err(|e| e.to_string())
}
