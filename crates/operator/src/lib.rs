//! Parsing and checking of the settings documents of operators, and the types of the operator API.
//!
//! See `docs/SETTINGS.md` and `docs/design.md`, sections 7 and 8.

pub mod api;
mod check;
mod checked;
pub mod edit;
mod finding;
mod parse;
mod schema;
mod tree;

pub use check::{check_fleet, check_team};
pub use checked::{Checked, parse_checked};
pub use finding::{Finding, render_findings};
pub use parse::{ParseError, parse_fleet, parse_team};
pub use tree::Tree;

/// Store prefix of all settings.
pub const SETTINGS_PREFIX: &str = "config/";
/// Store key of the fleet subtree.
pub const FLEET_KEY: &str = "config/fleet";
/// Store prefix of the team subtrees.
pub const TEAMS_PREFIX: &str = "config/teams/";
