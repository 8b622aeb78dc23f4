//! Active routes, services and tenants for opaque requests.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use super::quotas::WorkspaceQuota;

/// Position of a tenant in [`GatewaySettings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantIndex(pub u32);

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    #[default]
    Once,
    /// The answer is a stream of events. The request may run at most once unless the route is
    /// resumable.
    Stream,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service by name.
    pub service: String,
    /// Relative share.
    pub weight: u32,
}

/// One route, selected by host and longest path prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostRoute {
    /// Name of the route.
    pub name: String,
    /// Host of the route, in lower case.
    pub host: String,
    /// Prefix of the path. It begins and ends with a slash.
    pub path_prefix: String,
    /// Which requests may be retried.
    pub kind: RequestKind,
    /// Whether a stream may be resumed at another target.
    pub resumable: bool,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective: time within which an answer earns full credit.
    pub latency_aim: Duration,
    /// Longest pause between two events with which a stream is still on time, or zero if not set.
    pub pause_aim: Duration,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether requests list the parts of their prompt.
    pub has_prompt_parts: bool,
    /// Services that share the requests.
    pub services: SmallVec<[ServiceShare; 2]>,
}

/// Limits and speeds of the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLimits {
    /// Number of requests that one engine runs at the same time.
    pub slots: u32,
    /// Memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Size of a token in an engine's memory, in bytes.
    pub token_bytes: u64,
    /// Speed of the links between engines in Mbit/s, or 0 if it is not known.
    pub link_mbps: u64,
}

/// Longest predicted time of a copy. No request waits for as long.
const MAX_COPY_TIME: Duration = Duration::from_secs(24 * 60 * 60);

impl EngineLimits {
    /// Time to copy tokens from one engine to another, if the link speed is known. A copy between
    /// zones takes twice as long.
    pub fn copy_time(&self, tokens: u64, is_other_zone: bool) -> Option<Duration> {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        let bits = if is_other_zone { bits * 2.0 } else { bits };
        let has_link = self.link_mbps > 0 && self.token_bytes > 0;
        let seconds = bits / (self.link_mbps as f64 * 1e6);
        has_link.then(|| Duration::from_secs_f64(seconds.min(MAX_COPY_TIME.as_secs_f64())))
    }
}

/// Limits for the number of ordered targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScalingLimits {
    /// Minimum number of targets in a zone.
    pub min_per_zone: u32,
    /// Maximum number of targets of all kinds in a zone.
    pub max_per_zone: u32,
    /// Time until an ordered target accepts requests.
    pub start_time: Duration,
    /// Whether cheaper, reclaimable targets can be ordered.
    pub has_reclaimable: bool,
    /// Zones in which targets can be ordered.
    pub zones: Vec<String>,
}

/// A service, which is a group of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Set if the targets are inference engines.
    pub engine: Option<EngineLimits>,
    /// Set if targets can be ordered.
    pub scaling: Option<ScalingLimits>,
}

/// A tenant (workspace) with its keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayTenant {
    /// Name of the tenant, which targets receive.
    pub name: String,
    /// Rank that overrides the rank of the route.
    pub priority: Option<u32>,
    /// Quota that applies across all vms together.
    pub quota: Option<WorkspaceQuota>,
}

/// One immutable version of the settings for opaque requests. A newer version replaces it
/// completely.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewaySettings {
    /// Version, which only increases.
    pub version: u64,
    /// Routes.
    pub routes: Vec<HostRoute>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Tenants.
    pub tenants: Vec<GatewayTenant>,
    /// Tenants by key.
    pub keys: HashMap<String, TenantIndex>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for the header of a request.
    pub header_timeout: Duration,
    /// Time after which an idle caller connection may be closed.
    pub idle_timeout: Duration,
    /// Routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Quotas by the name of the tenant.
    quotas: HashMap<String, WorkspaceQuota>,
}

impl GatewaySettings {
    /// Creates settings without routes.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Builds the indices for route and quota look-ups. Must be called once after the fields are set.
    pub fn index(mut self) -> Self {
        self.by_host.clear();
        for (index, route) in self.routes.iter().enumerate() {
            self.by_host
                .entry(route.host.clone())
                .or_default()
                .push(index);
        }
        for indices in self.by_host.values_mut() {
            let routes = &self.routes;
            indices.sort_by_key(|i| std::cmp::Reverse(routes[*i].path_prefix.len()));
        }
        let tenants = self.tenants.iter();
        self.quotas = tenants
            .filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)))
            .collect();
        self
    }

    /// Route of a request, which is the one with the longest matching prefix of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&HostRoute> {
        let lower;
        let host = host.split(':').next().unwrap_or_default();
        let host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            lower = host.to_ascii_lowercase();
            &lower
        } else {
            host
        };
        let indices = self.by_host.get(host)?;
        indices
            .iter()
            .map(|i| &self.routes[*i])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether any tenants are configured, so that requests need keys.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Tenant to which a key belongs.
    pub fn tenant_of(&self, key: &str) -> Option<TenantIndex> {
        self.keys.get(key).copied()
    }

    /// Quota of a tenant by its name.
    pub fn quota_of(&self, tenant: &str) -> Option<WorkspaceQuota> {
        self.quotas.get(tenant).copied()
    }

    /// A tenant by its position.
    pub fn tenant(&self, index: TenantIndex) -> Option<&GatewayTenant> {
        self.tenants.get(index.0 as usize)
    }
}

impl HostRoute {
    /// Whether the route sends requests to a service.
    pub fn has_service(&self, service: &str) -> bool {
        let mut shares = self.services.iter();
        shares.any(|share| share.service == service && share.weight > 0)
    }

    /// Service for a request, chosen by weight with a hash of the request.
    pub fn service_for(&self, hash: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = hash % total;
        for share in &self.services {
            if left < u64::from(share.weight) {
                return Some(&share.service);
            }
            left -= u64::from(share.weight);
        }
        None
    }
}
