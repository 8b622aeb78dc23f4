//! Settings of the authority machine.

use std::time::Duration;

/// Settings of the authority machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthorityConfig {
    /// Time to live of a lease.
    pub ttl: Duration,
    /// Time between two renewals of a lease.
    pub renew_interval: Duration,
    /// Last part of the time to live, in which the holder no longer starts a send.
    pub margin: Duration,
    /// Timeout of one send. Shorter than `margin`, so that a send ends before the lease expires.
    pub send_timeout: Duration,
    /// Time after which an unanswered send can no longer arrive at the receiver.
    pub max_delivery_delay: Duration,
    /// Longest time between requesting a vm list and passing it to the machine. A list that may
    /// be older than the intents of an earlier holder does not prove that the holder has ended.
    pub max_vm_list_age: Duration,
    /// Time before a failed call or send is retried.
    pub retry_delay: Duration,
    /// Time between two probes of a scope by the vms of the two highest ranks. The time doubles
    /// with each further rank, so that all vms together make fewer than four calls per interval.
    pub probe_interval: Duration,
    /// Longest time between two probes of a scope.
    pub max_probe_interval: Duration,
    /// Whether a new incarnation of a target counts as proof that orders of earlier holders can no
    /// longer reach it. Off by default, because a vm that resumes after a pause may send its order
    /// over a new connection, which reaches the new incarnation.
    pub trust_target_incarnation: bool,
    /// Seed of the jitter of probes.
    pub seed: u64,
    /// Mechanisms that tests disable.
    pub faults: AuthorityFaults,
}

impl Default for AuthorityConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            send_timeout: Duration::from_millis(800),
            max_delivery_delay: Duration::from_secs(1),
            max_vm_list_age: Duration::from_secs(3),
            retry_delay: Duration::from_millis(500),
            probe_interval: Duration::from_secs(1),
            max_probe_interval: Duration::from_secs(600),
            trust_target_incarnation: false,
            seed: 0,
            faults: AuthorityFaults::default(),
        }
    }
}

/// Mechanisms that tests disable to show that their checks detect the failure. Never set in
/// production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuthorityFaults {
    /// Sends orders without recording an intent.
    pub skip_intents: bool,
    /// Sends orders after the lease has expired.
    pub skip_validity_check: bool,
    /// Sends orders without waiting until earlier holders have ended.
    pub ignore_earlier_holders: bool,
}
