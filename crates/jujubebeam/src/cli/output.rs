//! Output for people and for programs.

use serde::Serialize;
use strum::EnumString;

/// Form of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Output {
    /// Lines of text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

impl Output {
    /// Prints a value in the chosen form.
    pub(crate) fn print<T: Serialize>(self, value: &T, text: impl FnOnce(&T) -> String) {
        match self {
            Output::Text => println!("{}", text(value)),
            Output::Json => match serde_json::to_string_pretty(value) {
                Ok(json) => println!("{json}"),
                Err(e) => eprintln!("jujubebeam: output not encoded: {e}"),
            },
        }
    }
}
