//! Settings of planned changes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of planned changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConfig {
    /// Time between two messages of a holder with the marks of a scope.
    pub repeat_every: Duration,
    /// Time after which a drain mark expires if its holder does not renew it.
    pub mark_ttl: Duration,
    /// Time since its last renewal after which an ordered mark expires, provided that its holder's
    /// process has ended. Longer than an order may be in flight.
    pub ordered_ttl: Duration,
    /// Time for which a holder repeats its list of marks after marks were removed from it, so that
    /// vms that missed one message get the next.
    pub linger: Duration,
    /// Time after which a new vm sends requests although too few peers answered its query. Longer
    /// than it takes to replace a holder, whose successor announces the marks.
    #[serde(rename = "ask_limit")]
    pub sync_timeout: Duration,
    /// Time for which a vm reports a new vm that queried it. Longer than the lag of the vm list.
    #[serde(rename = "introduction_ttl")]
    pub new_vm_ttl: Duration,
    /// Mechanisms that tests disable.
    pub faults: ChangeFaults,
}

impl Default for ChangeConfig {
    fn default() -> Self {
        Self {
            repeat_every: Duration::from_millis(500),
            mark_ttl: Duration::from_secs(3),
            ordered_ttl: Duration::from_secs(10),
            linger: Duration::from_secs(5),
            sync_timeout: Duration::from_secs(10),
            new_vm_ttl: Duration::from_secs(10),
            faults: ChangeFaults::default(),
        }
    }
}

/// Mechanisms that tests disable to show that their checks detect the failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeFaults {
    /// Sends orders without waiting for acknowledgements.
    pub skip_acknowledgements: bool,
    /// Expires ordered marks after the time to live of drain marks.
    pub expire_ordered: bool,
    /// Lets new vms send requests before they have queried their peers for marks.
    #[serde(rename = "skip_asking")]
    pub skip_sync: bool,
}
