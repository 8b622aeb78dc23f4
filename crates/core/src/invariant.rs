//! Named invariants that are checked in every build.
//!
//! The table is in `docs/design.md`, section 3. A violation increments a counter, is passed to the
//! reporter that the process installed, and fails a test run that looks at [`total`].

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

/// What must always hold.
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
    /// No request is cut by a planned change.
    PlannedChangeCutsNothing,
    /// Orders from a process that has lost its authority have no effect.
    StaleHolderHasNoEffect,
    /// A request runs only for the workspace whose valid key came with it.
    KeyBoundToWorkspace,
    /// Two processes that both believe they hold authority never order from the platform.
    OnePlatformOrderer,
    /// A usage window is never reported with two figures or by two believing holders.
    OneUsageFigure,
    /// Every caller gets the whole answer to its own request.
    WholeAnswerToItsCaller,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingTargetGetsNoWork,
    /// A graceful shutdown cuts no request.
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
