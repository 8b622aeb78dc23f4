//! Client of the platform's interface for usage reports.

mod client;
mod wire;

pub use client::{UsageClient, UsageClientConfig};
pub use wire::{ReportResult, UsageAnswer, UsageReport, WorkspaceUsage, window_path};
