//! Settings documents as operators write them, and the types of the operator API.

mod parse;

pub use parse::{ParseError, parse_fleet, parse_team};

/// Store prefix of all settings.
pub const SETTINGS_PREFIX: &str = "config/";
/// Store key of the fleet subtree.
pub const FLEET_KEY: &str = "config/fleet";
/// Store prefix of the team subtrees.
pub const TEAMS_PREFIX: &str = "config/teams/";
