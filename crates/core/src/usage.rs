//! Usage metering: counting, replication to other vms, and closing of reporting windows.
//!
//! See `docs/design.md`, section 5.4. Each run of a vm keeps one log of the answers that it served,
//! and each frozen window records the position of each log up to which it counted. Records that
//! are missing from a window are therefore counted in the next one, even if the vm that served the
//! answers has been removed.

mod closer;
mod config;
mod log;
mod message;
mod meter;

pub use closer::{CloserCommand, CloserEvent, WindowCloser};
pub use config::{UsageConfig, UsageFaults};
pub use log::{Counts, UsageRecord};
pub use message::{CollectedLog, FrozenWindow, IncludedPosition, UsageMessage, frozen_window_key};
pub use meter::{MeterCommand, MeterEvent, UsageMeter, UsagePeer};
