//! Named invariants that are checked in every build.
//!
//! They are listed in `docs/design.md`, section 3. A violation increments a counter, is passed to
//! the reporter that the process installed, and fails a test run that checks [`total`].

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

/// A condition that must always hold.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// An engine never receives conflicting orders.
    NoConflictingOrders,
    /// No request is interrupted by a planned change.
    PlannedChangeCutsNothing,
    /// Orders from a process that has lost its authority have no effect.
    StaleHolderHasNoEffect,
    /// A request runs only for the workspace whose valid key it carries.
    KeyBoundToWorkspace,
    /// Two processes that both assume they hold authority never both order from the platform.
    OnePlatformOrderer,
    /// A usage window is never reported with two different figures, or by two processes that both
    /// assume they hold authority.
    OneUsageFigure,
    /// Every caller gets the complete answer to its own request.
    WholeAnswerToItsCaller,
    /// A request that is refused as "not run" has not run.
    NotRunIsTrue,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingTargetGetsNoWork,
    /// A graceful shutdown interrupts no request.
    GracefulShutdownCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    SettingsNeverRevert,
}

/// Called once for each violation.
pub type Reporter = fn(Invariant, &str);

static COUNTS: [AtomicU64; Invariant::COUNT] = [const { AtomicU64::new(0) }; Invariant::COUNT];
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Installs the function that logs violations. Later calls have no effect.
pub fn set_reporter(reporter: Reporter) {
    let _ = REPORTER.set(reporter);
}

/// Reports a violation of `invariant` unless `holds`. Returns `holds`.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) -> bool {
    if holds {
        return true;
    }
    COUNTS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let detail = detail();
    if let Some(reporter) = REPORTER.get() {
        reporter(invariant, &detail);
    }
    false
}

/// Number of violations of one invariant since the process started.
pub fn count(invariant: Invariant) -> u64 {
    COUNTS[invariant as usize].load(Ordering::Relaxed)
}

/// Number of violations of all invariants since the process started.
pub fn total() -> u64 {
    COUNTS.iter().map(|c| c.load(Ordering::Relaxed)).sum()
}
