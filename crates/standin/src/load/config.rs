//! Options of the load tool.

use std::time::Duration;

use pico_args::Arguments;
use strum::{Display, EnumString};

/// Which requests are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Mix {
    /// Streamed chat requests.
    #[default]
    Chat,
    /// Checkouts that may run at most once.
    Checkout,
    /// Four chat requests for each checkout.
    Mixed,
}

/// Form of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Output {
    /// Lines for a person.
    #[default]
    Table,
    /// One JSON object.
    Json,
}

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct LoadConfig {
    /// Base URL to use, or `None` to ask an entry vm.
    pub(crate) address: Option<String>,
    /// Base URLs of vms that are asked for addresses.
    pub(crate) entries: Vec<String>,
    /// Zone of the caller.
    pub(crate) zone: String,
    /// Key of the caller.
    pub(crate) key: String,
    /// Model of chat requests.
    pub(crate) model: String,
    /// Requests per second; 0 sends the next request when an answer has arrived.
    pub(crate) rate: f64,
    /// Most requests at the same time.
    pub(crate) concurrency: usize,
    /// Time in which requests are started.
    pub(crate) time: Duration,
    /// Most requests in all.
    pub(crate) requests: u64,
    /// Longest time of one request.
    pub(crate) timeout: Duration,
    /// Kinds of requests.
    pub(crate) mix: Mix,
    /// Seed of prompts and arrival times.
    pub(crate) seed: u64,
    /// Form of the report.
    pub(crate) output: Output,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            address: None,
            entries: vec!["http://127.0.0.1:17001".into()],
            zone: "brest".into(),
            key: crate::up::example::KEY.into(),
            model: crate::up::example::MODEL.into(),
            rate: 0.0,
            concurrency: 16,
            time: Duration::from_secs(10),
            requests: 1_000_000,
            timeout: Duration::from_secs(60),
            mix: Mix::default(),
            seed: 1,
            output: Output::default(),
        }
    }
}

impl LoadConfig {
    /// Reads the options of the command line.
    pub(crate) fn parse(mut args: Arguments) -> Result<Self, String> {
        let mut config = Self::default();
        let address: Option<String> = option(&mut args, "--address")?;
        config.address = address.filter(|a| a != "ask");
        if let Some(entries) = option::<String>(&mut args, "--entry")? {
            config.entries = entries.split(',').map(str::to_owned).collect();
        }
        set(&mut args, "--zone", &mut config.zone)?;
        set(&mut args, "--key", &mut config.key)?;
        set(&mut args, "--model", &mut config.model)?;
        set(&mut args, "--rate", &mut config.rate)?;
        set(&mut args, "--concurrency", &mut config.concurrency)?;
        set(&mut args, "--requests", &mut config.requests)?;
        set(&mut args, "--mix", &mut config.mix)?;
        set(&mut args, "--seed", &mut config.seed)?;
        set(&mut args, "--output", &mut config.output)?;
        if let Some(seconds) = option(&mut args, "--seconds")? {
            config.time = Duration::try_from_secs_f64(seconds).map_err(|e| e.to_string())?;
        }
        if config.concurrency == 0 || config.rate.is_nan() || config.rate < 0.0 {
            return Err("`--concurrency` must be at least 1 and `--rate` at least 0".into());
        }
        match args.finish().first() {
            Some(unknown) => Err(format!("unknown argument {unknown:?}; see `--help`")),
            None => Ok(config),
        }
    }
}

fn option<T: std::str::FromStr>(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name).map_err(|e| e.to_string())
}

fn set<T: std::str::FromStr>(
    args: &mut Arguments,
    name: &'static str,
    field: &mut T,
) -> Result<(), String>
where
    T::Err: std::fmt::Display,
{
    if let Some(value) = option(args, name)? {
        *field = value;
    }
    Ok(())
}
