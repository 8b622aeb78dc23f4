//! Stand-ins for the systems around jujubebeam, for trying it out and for tests.

mod cli;
mod engine;
mod experiment;
mod platform;
mod serve;
mod service;
mod up;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
