//! Counting of usage, its copies on other vms, and the closing of windows.
//!
//! See `docs/design.md`, section 5.4. Each run of a vm keeps one log of what it served, and each
//! frozen window says up to which position of each log it counted. What a window does not contain
//! is therefore counted by the next one, also if the vm that served it is gone.

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
