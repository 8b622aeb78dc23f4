//! Settings of a gateway process. See `docs/SETTINGS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use jujubebeam_core::gateway::{PauseLimits, RefreshPolicy};
use serde::{Deserialize, Serialize};

use crate::replication::ReplicaKind;

/// Shortest bound for a change in the store. Half of it passes before a vm reads the store itself.
const MIN_REPLICA_BOUND_MS: u64 = 1000;

/// Least memory that a vm is taken to have. An idle process uses up to 20 MB of it.
const MIN_MEMORY_MB: f64 = 40.0;

/// Settings of a gateway process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// Name of the vm.
    pub vm_name: String,
    /// Name of the zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Peer addresses of other vms, which a starting vm contacts first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address to which usage reports and orders are sent; without it none are.
    #[serde(default)]
    pub duties_address: Option<SocketAddr>,
    /// Duties that this vm may perform.
    #[serde(default)]
    pub duties: Vec<GatewayDuty>,
    /// Worker threads that serve callers.
    #[serde(default = "one")]
    pub workers: usize,
    /// Share of a core that each worker may use.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Longest time for which callers may keep an address.
    pub address_lifetime_ms: u64,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace_ms: u64,
    /// Share of the requests that may be retried.
    pub repeat_ratio: f64,
    /// Retries that are allowed in one window regardless of the number of requests, for all vms
    /// together.
    pub repeat_allowance: f64,
    /// Window of the retry budget.
    pub repeat_window_ms: u64,
    /// Length of a usage window.
    pub usage_window_ms: u64,
    /// Time after the end of a usage window at which its report is due.
    pub usage_due_ms: u64,
    /// Time for which a missing target is kept after an outage of the store has ended for all vms.
    #[serde(default = "default_reappear_ms")]
    pub reappear_ms: u64,
    /// Replication of the store.
    #[serde(default)]
    pub replication: ReplicationConfig,
    /// Share of a service's engines that compute prompts.
    #[serde(default = "default_prefill_part")]
    pub prefill_part: f64,
    /// Share of the engines allowed in a zone that are regular. The others may be reclaimed.
    #[serde(default = "default_regular_part")]
    pub regular_part: f64,
    /// Gaps in a stream after which its caller has disconnected. A stalled stream ends at that
    /// time, or is continued at another target before.
    #[serde(default)]
    pub stream_gaps: StreamGaps,
    /// Whether targets reject orders with a stale fence.
    #[serde(default)]
    pub targets_check_fences: bool,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Memory of the vm. A part of it is for what connections hold.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Descriptors that the process may open; the soft limit of the process if it is not set.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
}

/// Replication of the store on all vms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicationConfig {
    /// Time within which changed settings must be in force on every vm.
    pub settings_bound_ms: u64,
    /// Time within which a target that leaves must get no more work from any vm.
    pub targets_bound_ms: u64,
    /// Interval in which targets write their entries, which expire after three of them.
    pub target_heartbeat_ms: u64,
}

impl Default for ReplicationConfig {
    fn default() -> Self {
        Self {
            settings_bound_ms: 2000,
            targets_bound_ms: 2000,
            target_heartbeat_ms: 1200,
        }
    }
}

impl ReplicationConfig {
    /// Longest time between two confirmations of a replica that is no interruption of the store.
    pub(crate) fn max_gap(&self, kind: ReplicaKind) -> Duration {
        let heartbeat = Duration::from_millis(self.target_heartbeat_ms);
        self.refresh_policy(kind).max_gap(heartbeat)
    }

    /// Policy by which a replica is kept fresh.
    pub(crate) fn refresh_policy(&self, kind: ReplicaKind) -> RefreshPolicy {
        let bound_ms = match kind {
            ReplicaKind::Settings => self.settings_bound_ms,
            ReplicaKind::Targets => self.targets_bound_ms,
        };
        RefreshPolicy::new(Duration::from_millis(bound_ms))
    }
}

/// Gaps in a stream after which its caller has disconnected: the longest of the first three.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamGaps {
    /// Gap that callers tolerate on every route.
    pub shortest_ms: u64,
    /// Gap that callers tolerate, as a multiple of the route's latency aim.
    pub latency_aims: f64,
    /// Gap that callers tolerate, as a multiple of the longest pause with which the answer is on
    /// time.
    pub pause_aims: f64,
    /// Share of the gap after which another target continues a stream that may be resumed.
    pub resume_part: f64,
}

impl Default for StreamGaps {
    fn default() -> Self {
        let limits = PauseLimits::default();
        Self {
            shortest_ms: limits.shortest.as_millis() as u64,
            latency_aims: limits.latency_aims,
            pause_aims: limits.pause_aims,
            resume_part: limits.resume_part,
        }
    }
}

/// Addresses that a gateway listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness queries.
    pub readiness: SocketAddr,
    /// Queries for addresses.
    pub addresses: SocketAddr,
    /// Messages of other vms.
    pub peers: SocketAddr,
    /// Metrics in text format; without it none are served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

impl ListenAddresses {
    /// Whether an address is one of these, also as an IPv4 address in the form of IPv6.
    pub(crate) fn contains(&self, address: &str) -> bool {
        let canonical = |address: SocketAddr| (address.ip().to_canonical(), address.port());
        let fixed = [self.callers, self.readiness, self.addresses, self.peers];
        let mut own = fixed.into_iter().chain(self.metrics).map(canonical);
        let parsed = address.parse().ok().map(canonical);
        parsed.is_some_and(|parsed| own.any(|own| own == parsed))
    }
}

/// A duty that is performed by one vm at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GatewayDuty {
    /// Reports usage.
    #[serde(alias = "metering")]
    Usage,
    /// Orders targets.
    #[serde(alias = "autoscale")]
    Ordering,
}

impl GatewayConfig {
    /// Parses and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field and the remedy.
    pub fn parse(text: &str) -> Result<Self, String> {
        let config: Self = serde_yaml(text)?;
        if config.workers == 0 {
            return Err("workers: no worker could serve; use 1 or more".into());
        }
        if config.usage_window_ms == 0 || config.repeat_window_ms == 0 {
            return Err("usage_window_ms, repeat_window_ms: use a length above 0".into());
        }
        let bounds = config.replication;
        if bounds.settings_bound_ms.min(bounds.targets_bound_ms) < MIN_REPLICA_BOUND_MS {
            return Err(format!(
                "replication: a read of the store takes up to a second; use bounds of \
                 {MIN_REPLICA_BOUND_MS} or more"
            ));
        }
        if !(0.0..=1.0).contains(&config.cpu_share) || config.cpu_share == 0.0 {
            return Err("cpu_share: use a part above 0, at most 1".into());
        }
        if !(0.0..=1.0).contains(&config.regular_part) {
            return Err("regular_part: use a part from 0 to 1".into());
        }
        if !(0.0..=1.0).contains(&config.prefill_part) {
            return Err("prefill_part: use a part from 0 to 1".into());
        }
        let gaps = config.stream_gaps;
        let factors = [gaps.latency_aims, gaps.pause_aims];
        if gaps.shortest_ms == 0 || factors.iter().any(|f| !(0.0..=1000.0).contains(f)) {
            return Err("stream_gaps: use a shortest_ms above 0 and factors from 0 to 1000".into());
        }
        if !(0.0..=1.0).contains(&gaps.resume_part) || gaps.resume_part == 0.0 {
            return Err("stream_gaps.resume_part: use a part above 0, at most 1".into());
        }
        if config.shutdown_grace_ms < 2000 {
            return Err(
                "shutdown_grace_ms: callers keep addresses for seconds; use 2000 or more".into(),
            );
        }
        Ok(config)
    }

    pub(crate) fn pause_limits(&self) -> PauseLimits {
        PauseLimits {
            shortest: Duration::from_millis(self.stream_gaps.shortest_ms),
            latency_aims: self.stream_gaps.latency_aims,
            pause_aims: self.stream_gaps.pause_aims,
            resume_part: self.stream_gaps.resume_part,
        }
    }

    /// Memory of this vm.
    pub(crate) fn memory_bytes(&self) -> usize {
        (self.memory_mb.max(MIN_MEMORY_MB) * 1024.0 * 1024.0) as usize
    }

    /// Processor capacity of this vm.
    pub(crate) fn capacity_millicores(&self) -> u32 {
        (self.cpu_share * self.workers as f64 * 1000.0) as u32
    }

    /// Time for which callers may keep an address.
    pub(crate) fn address_lifetime(&self) -> Duration {
        Duration::from_millis(self.address_lifetime_ms)
    }
}

fn serde_yaml(text: &str) -> Result<GatewayConfig, String> {
    serde_yaml_ng::from_str(text).map_err(|e| e.to_string())
}

fn one() -> usize {
    1
}

fn default_cpu_share() -> f64 {
    1.0
}

/// After an outage of the store, targets write their entries again within about two seconds.
fn default_reappear_ms() -> u64 {
    2000
}

/// Computing prompts is most of the work on all deployments. With a larger share, the long answers
/// of a burst wait for a slot. The figures are in `docs/platform.md`.
fn default_prefill_part() -> f64 {
    0.62
}

/// Enough engines to keep a zone in service while its other engines are reclaimed.
fn default_regular_part() -> f64 {
    0.2
}

/// Memory of the smallest vms.
fn default_memory_mb() -> f64 {
    120.0
}

fn default_log_level() -> String {
    "info".into()
}
