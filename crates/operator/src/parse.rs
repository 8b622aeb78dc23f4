//! Parses settings documents from YAML.

use std::fmt;

use jujubebeam_core::settings::document::{FleetDocument, TeamDocument};
use serde::de::DeserializeOwned;

/// Why a document could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line of the error, counted from 1, if it is known.
    pub line: Option<usize>,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.message),
            None => f.write_str(&self.message),
        }
    }
}

impl std::error::Error for ParseError {}

/// Parses the fleet subtree.
pub fn parse_fleet(text: &str) -> Result<FleetDocument, ParseError> {
    parse(text)
}

/// Parses the subtree of a team.
pub fn parse_team(text: &str) -> Result<TeamDocument, ParseError> {
    parse(text)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ParseError> {
    serde_yaml_ng::from_str(text).map_err(|e| ParseError {
        line: e.location().map(|l| l.line()),
        message: e.to_string(),
    })
}
