//! JSON bodies of usage reports.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Returns the path of the report of a window.
pub fn window_path(window: u64) -> String {
    format!("/windows/{window}")
}

/// Usage of one workspace in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Team and workspace as `team/workspace`.
    pub workspace: String,
    /// Number of complete answers.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

/// Report of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Length of the window.
    pub length_s: u32,
    /// Name of the sending process, for the platform's records.
    pub sender: String,
    /// Usage of each workspace, sorted by name.
    pub workspaces: Vec<WorkspaceUsage>,
}

/// Result of sending a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ReportResult {
    /// The report was stored.
    Accepted,
    /// A report of this window is already stored.
    AlreadyReported,
}

/// Answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAnswer {
    /// Whether the report was stored now or had been stored before.
    pub result: ReportResult,
}
