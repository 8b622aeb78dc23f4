//! Entries of the store that describe no usable target, for the log.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Most keys in one line of the log.
const MAX_LOGGED_KEYS: usize = 8;

/// Longest part of a key in the log, in characters.
const MAX_LOGGED_CHARS: usize = 200;

/// Keys whose entries describe no usable target.
#[derive(Debug, Default)]
pub(crate) struct InvalidEntries(Mutex<BTreeSet<String>>);

impl InvalidEntries {
    /// Replaces the keys. Returns the first of those that are new, as text for the log, or `None`
    /// if there is none. An entry that is written again and again is thus logged once.
    pub(crate) fn replace(&self, keys: BTreeSet<String>) -> Option<String> {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let logged: Vec<String> = keys
            .difference(&known)
            .take(MAX_LOGGED_KEYS)
            .map(|key| key.chars().take(MAX_LOGGED_CHARS).collect())
            .collect();
        *known = keys;
        (!logged.is_empty()).then(|| logged.join(", "))
    }
}
