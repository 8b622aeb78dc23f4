//! Options of membership, see `docs/design.md`, section 5.5.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Record;
use crate::VmId;

/// Options of a [`super::Membership`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipConfig {
    /// This vm with its first record.
    pub own: Record,
    /// Seed of the random choice of peers.
    pub seed: u64,
    /// Time between two rounds of gossip.
    pub gossip_interval: Duration,
    /// Number of vms above which the gossip interval and the message size are doubled. At 360 vms,
    /// half of the traffic was the overhead of the exchanges.
    pub slow_above: u32,
    /// Peers per round.
    pub fanout: usize,
    /// Largest number of updates in one message.
    pub max_records: usize,
    /// Largest number of complete records among them.
    pub max_whole: usize,
    /// Number of rounds in which this vm passes on one update.
    pub repeats: u8,
    /// Shortest time between two heartbeats of a vm.
    pub heartbeat_min: Duration,
    /// Time between two heartbeats for each vm of the fleet. Every heartbeat reaches every vm, so
    /// a fixed interval would make the traffic grow with the fleet.
    pub heartbeat_per_vm: Duration,
    /// Number of missed heartbeats after which a vm counts as unreachable.
    pub missed_heartbeats: u32,
    /// Time allowed for gossip to arrive, in addition to the missed heartbeats.
    pub gossip_allowance: Duration,
    /// Number of failed exchanges in a row after which a vm counts as unreachable.
    pub failures: u32,
    /// Time after which a vm with failed exchanges is tried again.
    pub retry_after: Duration,
    /// How long callers may keep an address answer.
    pub address_lifetime: Duration,
    /// Time beyond the lifetime for which a leaving vm continues to serve.
    pub linger: Duration,
    /// Time between two direct messages to a peer that has not confirmed the leaving.
    pub farewell_interval: Duration,
    /// Whether a leaving vm exits without waiting, for tests that show that the wait is needed.
    pub omit_linger: bool,
}

impl MembershipConfig {
    /// Default options for a vm.
    pub fn new(own: Record) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Number of this vm.
    pub fn vm(&self) -> VmId {
        self.own.vm
    }
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            own: Record::default(),
            seed: 0,
            gossip_interval: Duration::from_millis(500),
            slow_above: 12,
            fanout: 3,
            // 40 filled messages exceeded 10 KB/s at 360 vms after a restart of the whole fleet.
            max_records: 24,
            max_whole: 2,
            // Two rounds to three peers reach a vm with probability 1 - exp(-6).
            repeats: 2,
            heartbeat_min: Duration::from_secs(1),
            heartbeat_per_vm: Duration::from_millis(50),
            missed_heartbeats: 3,
            gossip_allowance: Duration::from_secs(2),
            failures: 2,
            retry_after: Duration::from_secs(5),
            address_lifetime: Duration::from_secs(10),
            linger: Duration::from_secs(4),
            farewell_interval: Duration::from_millis(500),
            omit_linger: false,
        }
    }
}
