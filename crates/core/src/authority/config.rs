//! Settings of the authority machine.

use std::time::Duration;

/// Settings of the authority machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityConfig {
    /// Time to live of a lease.
    pub ttl: Duration,
    /// Time between two renewals.
    pub renew_every: Duration,
    /// Part of the time to live in which the holder no longer starts a send.
    pub margin: Duration,
    /// Time for one send. It must end inside `margin`.
    pub send_timeout: Duration,
    /// Time after which bytes of an unanswered send can no longer arrive at the receiver.
    pub quiet: Duration,
    /// Longest time between asking for a vm list and handing it to the machine. A list that may
    /// be older than the intents of an earlier holder is no evidence that the holder has ended.
    pub list_age: Duration,
    /// Time before a failed call or send is tried again.
    pub retry_after: Duration,
    /// Time between two looks at a free scope by the vms of the two highest ranks. Each further
    /// rank waits twice as long, so the calls of all vms together stay below four per interval.
    pub probe_every: Duration,
    /// Longest time between two looks at a scope.
    pub probe_limit: Duration,
    /// Whether a new incarnation of a target frees it from the orders of earlier holders. Off by
    /// default: an order that a paused vm sends over a new connection reaches the new incarnation.
    pub trust_target_incarnation: bool,
    /// Seed of the random choices.
    pub seed: u64,
    /// Mechanisms that a test switches off.
    pub faults: AuthorityFaults,
}

impl Default for AuthorityConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew_every: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            send_timeout: Duration::from_millis(800),
            quiet: Duration::from_secs(1),
            list_age: Duration::from_secs(3),
            retry_after: Duration::from_millis(500),
            probe_every: Duration::from_secs(1),
            probe_limit: Duration::from_secs(600),
            trust_target_incarnation: false,
            seed: 0,
            faults: AuthorityFaults::default(),
        }
    }
}

/// Mechanisms that a test switches off to show that its checks notice. Never set in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuthorityFaults {
    /// Sends orders without recording an intent.
    pub skip_intents: bool,
    /// Sends orders after the lease has lapsed.
    pub skip_validity: bool,
    /// Does not wait for earlier holders.
    pub ignore_earlier: bool,
}
