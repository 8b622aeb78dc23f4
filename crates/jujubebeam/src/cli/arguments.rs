//! Options that several commands share.

use std::fmt::Display;
use std::str::FromStr;

use error_stack::Report;
use pico_args::Arguments;

use super::failure::{CliResult, Failure};
use super::output::Output;

/// Reads an option that must be given.
pub(crate) fn required<T>(args: &mut Arguments, name: &'static str) -> CliResult<T>
where
    T: FromStr<Err: Display>,
{
    args.value_from_str(name)
        .map_err(|e| bad_input(e.to_string()))
}

/// Reads an option that may be left out.
pub(crate) fn optional<T>(args: &mut Arguments, name: &'static str) -> CliResult<Option<T>>
where
    T: FromStr<Err: Display>,
{
    args.opt_value_from_str(name)
        .map_err(|e| bad_input(e.to_string()))
}

/// Reads an argument without a name.
pub(crate) fn positional(args: &mut Arguments, what: &str) -> CliResult<String> {
    match args.opt_free_from_str() {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(bad_input(format!("{what} is missing"))),
        Err(e) => Err(bad_input(e.to_string())),
    }
}

/// Reads `--output`.
pub(crate) fn output(args: &mut Arguments) -> CliResult<Output> {
    Ok(optional(args, "--output")?.unwrap_or_default())
}

/// Refuses arguments that no one has read.
pub(crate) fn finish(args: Arguments) -> CliResult {
    let rest = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => Err(bad_input(format!(
            "unknown argument {:?}; see `--help` of the command",
            first.to_string_lossy()
        ))),
    }
}

/// A failure because of bad input.
pub(crate) fn bad_input(message: impl Into<String>) -> Report<Failure> {
    Report::new(Failure::BadInput).attach(message.into())
}
