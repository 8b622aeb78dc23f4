//! A fault in a settings file, with its location and remedy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line of the fault, counted from 1.
    pub line: usize,
    /// Path of the field, such as `routes[0].group`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: String,
}

impl Finding {
    /// Creates a finding.
    pub fn new(
        line: usize,
        field: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            line,
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}: {}; {}",
            self.line, self.field, self.problem, self.remedy
        )
    }
}

/// Renders one finding per line, each prefixed with the file name.
pub fn render_findings(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(|f| format!("{file}: {f}")).collect();
    lines.join("\n")
}
