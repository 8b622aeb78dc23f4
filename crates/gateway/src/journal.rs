//! One line for each decision, bounded in volume.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Lines of one kind in a second. What exceeds it is counted and told with the next line.
const LINES_PER_S: u32 = 40;

/// Kinds of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LineKind {
    /// A request was answered by a target.
    Answered,
    /// A request was refused or failed.
    Ended,
    /// An attempt failed.
    Attempt,
    /// A caller left.
    CallerLeft,
    /// Belief about settings.
    Settings,
    /// Belief about targets.
    Targets,
    /// A dependency was lost or is back.
    Dependency,
    /// A duty was done or failed.
    Duty,
}

#[derive(Debug, Default)]
struct KindState {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Bounded log of decisions.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<HashMap<LineKind, KindState>>);

impl Journal {
    /// Writes a line of `key=value` pairs unless too many of this kind were written.
    pub(crate) fn write(&self, kind: LineKind, now: Duration, fields: fmt::Arguments<'_>) {
        let mut kinds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let state = kinds.entry(kind).or_default();
        if state.second != now.as_secs() {
            state.second = now.as_secs();
            state.written = 0;
        }
        if state.written >= LINES_PER_S {
            state.left_out += 1;
            return;
        }
        state.written += 1;
        let left_out = std::mem::take(&mut state.left_out);
        drop(kinds);
        match left_out {
            0 => log::info!("event={kind} {fields}"),
            _ => log::info!("event={kind} {fields} left_out={left_out}"),
        }
    }
}
