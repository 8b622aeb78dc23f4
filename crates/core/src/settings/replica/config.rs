//! Options of the settings replica, see `docs/design.md`, section 5.3.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::VmId;

/// Options of a [`super::Replica`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaConfig {
    /// This vm.
    pub vm: VmId,
    /// Seed of the random choice of peers.
    pub seed: u64,
    /// Prefix of all settings in the store.
    pub prefix: String,
    /// Number of vms per region that watch the store.
    pub watchers: usize,
    /// Time between two reads of the store's revision by a watcher.
    pub read_interval: Duration,
    /// Time between two full reads by a watcher. They find keys that were deleted in the store
    /// directly while no watch was open.
    pub full_read_interval: Duration,
    /// Time after which a store call without a reply is repeated.
    pub call_timeout: Duration,
    /// Time before a watch that ended is opened again.
    pub watch_retry: Duration,
    /// Time between two rounds of anti-entropy.
    #[serde(rename = "ask_interval")]
    pub exchange_interval: Duration,
    /// Number of vms above which each vm exchanges with one parent, see `tree.rs`. In smaller fleets
    /// a vm exchanges with a watcher and a random vm, which is faster and costs little there.
    pub tree_above: usize,
    /// Children of one vm in the tree.
    pub tree_children: usize,
    /// Age of the freshness proof above which a vm also sends requests to vms other than its
    /// parent. Watchers read once a second, so a proof is about 1.1 s old just before the next one
    /// arrives.
    #[serde(rename = "hurry_after")]
    pub fallback_after: Duration,
    /// Number of random vms that receive a request in one round while a vm collects proofs of a
    /// majority.
    #[serde(rename = "burst_asks")]
    pub burst_requests: usize,
    /// Time after which an unanswered request to the parent is repeated.
    #[serde(rename = "wait_limit")]
    pub parent_timeout: Duration,
    /// Time between two requests to a random vm in addition to the parent.
    pub random_interval: Duration,
    /// Age of the freshness proof from which keyed routes are refused.
    pub stale_limit: Duration,
    /// Further time for which running keyed streams may continue.
    pub stream_grace: Duration,
    /// Age of the freshness proof at which outage mode ends.
    pub outage_limit: Duration,
    /// Time in which the probe of a change must reach the store and a majority.
    pub probe_timeout: Duration,
    /// Time in which a change must be written.
    pub write_timeout: Duration,
    /// Time in which a majority must confirm a written change.
    pub confirm_timeout: Duration,
    /// Largest total size of the names and texts in one page. A single larger text is sent alone.
    pub page_bytes: usize,
    /// Mechanisms to disable, for tests that show that each one is needed.
    pub omit: Omit,
}

/// Mechanisms that a test can disable. All are enabled by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Omit {
    /// Apply entries of any revision.
    pub revision_order: bool,
    /// Serve regardless of the age of the freshness proof.
    pub stale_limit: bool,
    /// Enter outage mode without a majority.
    pub outage_majority: bool,
    /// Report a change as accepted before a majority holds it.
    pub confirmation: bool,
    /// Treat an unknown store answer as a failed write.
    pub read_back: bool,
    /// Count vms towards a majority that have not been fresh since their start.
    pub witness: bool,
    /// Send no requests to peers.
    pub anti_entropy: bool,
    /// Send requests in the tree to the parent only.
    pub tree_fallback: bool,
    /// Collect proofs of a majority at the usual interval in a large fleet.
    pub tree_burst: bool,
    /// Use the tree in a fleet of any size instead of exchanging with a watcher and a random vm.
    pub pairs: bool,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            vm: VmId(0),
            seed: 0,
            prefix: "config/".into(),
            watchers: 3,
            read_interval: Duration::from_secs(1),
            full_read_interval: Duration::from_secs(60),
            call_timeout: Duration::from_secs(1),
            watch_retry: Duration::from_secs(1),
            exchange_interval: Duration::from_millis(300),
            tree_above: 12,
            tree_children: 4,
            fallback_after: Duration::from_millis(1400),
            burst_requests: 4,
            parent_timeout: Duration::from_secs(2),
            random_interval: Duration::from_secs(5),
            stale_limit: Duration::from_millis(2500),
            stream_grace: Duration::from_secs(1),
            outage_limit: Duration::from_secs(15 * 60),
            probe_timeout: Duration::from_secs(2),
            write_timeout: Duration::from_secs(8),
            confirm_timeout: Duration::from_secs(3),
            page_bytes: 256 * 1024,
            omit: Omit::default(),
        }
    }
}
