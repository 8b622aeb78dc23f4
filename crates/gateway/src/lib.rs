//! The gateway: forwards opaque requests byte for byte between callers and targets.
//!
//! Decisions are made in [`jujubebeam_core::gateway`]. The formats and calls of the surrounding
//! platform are provided by an implementation of [`Adapters`], which is in `platform/`. See
//! `docs/platform.md`.

mod adapters;
mod addresses;
mod answer;
mod attempt;
mod backup;
mod caller_connections;
mod caller_memory;
mod caller_server;
mod collected;
mod config;
mod connection;
mod control;
mod crash_evidence;
mod crashes;
mod decision_log;
mod duties;
mod events;
mod forward;
mod hand_over;
mod host_address;
mod in_flight;
mod invalid_entries;
mod job;
mod link_tests;
mod listener;
mod message;
mod metrics;
mod notice;
mod owner;
mod pass_on;
mod peers;
mod permit;
mod prompt;
mod quota;
mod replication;
mod request_log;
mod server;
mod state;
mod stored_crashes;
mod stored_streams;
mod stream;
mod taken_up;
mod where_placed;

pub use adapters::{
    Adapters, AnswerHead, Authorised, BackoffRequest, DutiesApi, DutyResult, HeaderLookup,
    Incoming, OrderAnswer, Outgoing, OutgoingHeaders, RateLimitNotice, StoreApi, StoredSettings,
    TakenUpStream, TargetNotice, WatchReply, Wire, Work,
};
pub use config::{GatewayConfig, GatewayDuty, ListenAddresses, ReplicationConfig, StreamGaps};
pub use decision_log::write_json;
pub use host_address::is_host_address;
pub use server::run;
