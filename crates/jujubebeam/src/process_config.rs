//! Settings file of one process: identity, addresses and outlets. See `docs/SETTINGS.md`.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};

use jujubebeam_core::VmId;
use jujubebeam_core::settings::KeyHash;
use jujubebeam_operator::{Checked, Finding, parse_checked, render_findings};
use serde::{Deserialize, Serialize};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ProcessConfig {
    /// Number of the vm, the same as in the vm list.
    pub(crate) vm: VmId,
    /// Zone by name.
    pub(crate) zone: String,
    /// Address for callers and operators.
    pub(crate) caller_address: SocketAddr,
    /// Address that other vms use.
    pub(crate) peer_address: SocketAddr,
    /// Address that is bound for other vms, if it differs from the one that they use.
    #[serde(default)]
    pub(crate) peer_listen_address: Option<SocketAddr>,
    /// Addresses of the platform's services.
    pub(crate) platform: PlatformConfig,
    /// Worker threads of the caller listener.
    #[serde(default = "default_workers")]
    pub(crate) workers: usize,
    /// SHA-256 of the operators' key; without it the operator API is closed.
    #[serde(default)]
    pub(crate) operator_key_sha256: String,
    /// Length of a usage window; the same in all processes of a fleet.
    #[serde(default = "default_usage_window_s")]
    pub(crate) usage_window_s: u64,
    /// Log output.
    #[serde(default)]
    pub(crate) log: LogConfig,
    /// Metrics output.
    #[serde(default)]
    pub(crate) metrics: MetricsConfig,
    /// Trace output.
    #[serde(default)]
    pub(crate) trace: TraceConfig,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformConfig {
    /// Key-value store.
    pub(crate) store: SocketAddr,
    /// List of vms.
    pub(crate) vm_list: SocketAddr,
    /// Ordering of targets.
    pub(crate) ordering: SocketAddr,
    /// Usage reports.
    pub(crate) usage: SocketAddr,
    /// Weight store.
    pub(crate) weights: SocketAddr,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LogConfig {
    /// Least severe level that is written.
    pub(crate) level: String,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

/// Metrics output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct MetricsConfig {
    /// Address of a statsd server; without it no metrics are sent.
    pub(crate) statsd_address: Option<SocketAddr>,
    /// First part of every metric's name.
    pub(crate) prefix: String,
    /// Time between two reports.
    pub(crate) interval_ms: u64,
}

impl Default for MetricsConfig {
    fn default() -> Self {
        Self {
            statsd_address: None,
            prefix: "jujubebeam".into(),
            interval_ms: 1000,
        }
    }
}

/// Trace output.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct TraceConfig {
    /// OTLP endpoint over HTTP, such as `http://127.0.0.1:4318/v1/traces`; without it no spans are
    /// recorded.
    pub(crate) otlp_endpoint: Option<String>,
}

/// Why the settings file of a process cannot be used.
#[derive(Debug)]
pub(crate) enum ConfigError {
    /// The file cannot be read.
    Unreadable {
        /// Name of the file.
        path: String,
        /// Reason of the operating system.
        reason: String,
    },
    /// The file has faults.
    Faults {
        /// Name of the file.
        path: String,
        /// All faults that were found.
        findings: Vec<Finding>,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, reason } => {
                write!(
                    f,
                    "{path} cannot be read: {reason}; check name and permissions"
                )
            }
            Self::Faults { path, findings } => f.write_str(&render_findings(path, findings)),
        }
    }
}

impl std::error::Error for ConfigError {}

impl ProcessConfig {
    /// Reads and checks a settings file.
    pub(crate) fn load(path: &str) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::Unreadable {
            path: path.to_owned(),
            reason: e.to_string(),
        })?;
        Self::parse(&text).map_err(|findings| ConfigError::Faults {
            path: path.to_owned(),
            findings,
        })
    }

    /// Parses and checks the text of a settings file.
    pub(crate) fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let Checked { document, tree } = parse_checked(text, &Self::sample())?;
        let mut findings = Vec::new();
        for (field, problem, remedy) in document.faults() {
            findings.push(Finding::new(tree.line(field), field, problem, remedy));
        }
        if findings.is_empty() {
            return Ok(document);
        }
        Err(findings)
    }

    fn faults(&self) -> Vec<(&'static str, &'static str, &'static str)> {
        let mut faults = Vec::new();
        if self.zone.is_empty() {
            faults.push(("zone", "the zone is empty", "name the zone of this vm"));
        }
        if self.workers == 0 {
            faults.push(("workers", "no worker could serve", "use 1 or more"));
        }
        let listen = self.peer_listen_address.unwrap_or(self.peer_address);
        if self.caller_address == listen {
            faults.push((
                "peer_address",
                "callers and vms would share one listener",
                "use another port",
            ));
        }
        if self.usage_window_s == 0 {
            faults.push((
                "usage_window_s",
                "a window would have no length",
                "use 60, the same in all processes of the fleet",
            ));
        }
        if self.log.level.parse::<log::LevelFilter>().is_err() {
            faults.push((
                "log.level",
                "the level does not exist",
                "use off, error, warn, info, debug or trace",
            ));
        }
        if self.metrics.interval_ms == 0 {
            faults.push((
                "metrics.interval_ms",
                "metrics would be sent without pause",
                "use 1000 or another interval in milliseconds",
            ));
        }
        let hash = &self.operator_key_sha256;
        if !hash.is_empty() && KeyHash::parse(hash).is_none() {
            faults.push((
                "operator_key_sha256",
                "this is not a SHA-256 of 64 hexadecimal digits",
                "create it with `jujubebeam key hash`",
            ));
        }
        faults
    }

    /// A value that has every field, for the check of unknown fields.
    fn sample() -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        Self {
            vm: VmId(1),
            zone: "zone".into(),
            caller_address: address,
            peer_address: address,
            peer_listen_address: Some(address),
            platform: PlatformConfig {
                store: address,
                vm_list: address,
                ordering: address,
                usage: address,
                weights: address,
            },
            workers: default_workers(),
            operator_key_sha256: String::new(),
            usage_window_s: default_usage_window_s(),
            log: LogConfig::default(),
            metrics: MetricsConfig::default(),
            trace: TraceConfig::default(),
        }
    }
}

fn default_workers() -> usize {
    2
}

fn default_usage_window_s() -> u64 {
    60
}
