//! The jujubebeam daemon and the operators' client.

mod caller;
mod cli;
mod context;
mod control;
mod crashes;
mod dispatch;
mod ledger;
mod metrics;
mod operator_api;
mod part;
mod peers;
mod process_config;
mod recorder;
mod running;
mod server;
mod shared;
mod trace;

pub use cli::run;
