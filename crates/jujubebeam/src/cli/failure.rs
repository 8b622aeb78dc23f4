//! Failures of commands and their exit codes.

use std::fmt;

use error_stack::{AttachmentKind, FrameKind, Report};

/// Result of a command.
pub(crate) type CliResult<T = ()> = Result<T, Report<Failure>>;

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The command failed.
    Failed,
    /// The input has faults.
    BadInput,
    /// Another change came first.
    Conflict,
    /// No vm could be reached.
    Unreachable,
    /// The change is accepted, but not in force everywhere yet.
    WaitTimedOut,
}

impl Failure {
    /// Exit code of the process.
    pub(crate) fn exit_code(self) -> u8 {
        match self {
            Failure::Failed => 1,
            Failure::BadInput => 2,
            Failure::Conflict => 3,
            Failure::Unreachable => 4,
            Failure::WaitTimedOut => 5,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::Failed => "the command failed",
            Failure::BadInput => "the input has faults; nothing was applied",
            Failure::Conflict => "another change came first; nothing was applied",
            Failure::Unreachable => "no vm could be reached",
            Failure::WaitTimedOut => "the change is accepted, but not in force everywhere yet",
        })
    }
}

impl std::error::Error for Failure {}

/// Renders a failure with its attachments, without source locations.
pub(crate) fn render(report: &Report<Failure>) -> String {
    let mut lines = vec![report.current_context().to_string()];
    for frame in report.frames() {
        if let FrameKind::Attachment(AttachmentKind::Printable(text)) = frame.kind() {
            lines.push(text.to_string());
        }
    }
    lines.join("\n")
}
