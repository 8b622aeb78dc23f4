//! Stand-ins for the systems around jujubebeam, for trying it out and for tests.

mod capacity;
mod cli;
mod control;
mod echo;
mod engine;
mod experiment;
mod fault_cli;
mod load;
mod overhead;
mod platform;
mod relay;
mod serve;
mod service;
mod text;
mod up;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
