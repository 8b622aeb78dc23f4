//! Settings of planned changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of planned changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConfig {
    /// Time between two messages of a holder with the marks of a scope.
    pub repeat_every: Duration,
    /// Time after which a drain mark ends that its holder does not renew.
    pub mark_ttl: Duration,
    /// Time for which an ordered mark outlasts the end of its holder's process. Longer than an
    /// order may be under way.
    pub ordered_ttl: Duration,
    /// Time for which a holder repeats its marks after they have ended, so that vms that missed
    /// one message learn it from the next.
    pub linger: Duration,
    /// Time after which a new vm sends work although too few peers answered it. Longer than it takes
    /// to replace a holder, which tells the marks of its predecessor.
    pub ask_limit: Duration,
    /// Time for which a vm names a new vm that asked it. Longer than the vm list lags.
    pub introduction_ttl: Duration,
    /// Mechanisms that tests switch off.
    pub faults: ChangeFaults,
}

impl Default for ChangeConfig {
    fn default() -> Self {
        Self {
            repeat_every: Duration::from_millis(500),
            mark_ttl: Duration::from_secs(3),
            ordered_ttl: Duration::from_secs(10),
            linger: Duration::from_secs(5),
            ask_limit: Duration::from_secs(10),
            introduction_ttl: Duration::from_secs(10),
            faults: ChangeFaults::default(),
        }
    }
}

/// Mechanisms that tests switch off to see that the checks notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeFaults {
    /// Orders without acknowledgements.
    pub skip_acknowledgements: bool,
    /// Lets ordered marks end like drain marks.
    pub expire_ordered: bool,
    /// Lets new vms send work before they asked for marks.
    pub skip_asking: bool,
}
