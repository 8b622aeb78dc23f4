//! The gateway: forwards opaque requests byte for byte between callers and targets.
//!
//! Decisions stand in [`jujubebeam_core::gateway`]. What the outside says on the wire comes in
//! through the traits of [`Adapters`], which `platform/` implements. See `docs/platform.md`.

mod adapters;
mod addresses;
mod answer;
mod attempt;
mod backup;
mod caller_server;
mod config;
mod connection;
mod control;
mod duties;
mod events;
mod forward;
mod in_flight;
mod job;
mod journal;
mod message;
mod metrics;
mod notice;
mod owner;
mod peers;
mod prompt;
mod server;
mod state;
mod stream;
mod tell;

pub use adapters::{
    Adapters, AnswerHead, Authorised, BackoffRequest, DutiesApi, DutyResult, HeaderLookup,
    Incoming, OrderAnswer, Outgoing, OutgoingHeaders, StoreApi, StoredSettings, TargetNotice,
    WatchReply, Wire, Work,
};
pub use config::{GatewayConfig, GatewayDuty, ListenAddresses, StreamGaps};
pub use journal::write_json;
pub use server::run;
