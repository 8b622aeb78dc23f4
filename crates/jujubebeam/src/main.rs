//! The shipped binary.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    jujubebeam::run(env::args_os().skip(1).collect())
}
