//! Settings file of one process: identity, addresses and outlets. See `docs/SETTINGS.md`.

use std::fmt;
use std::net::SocketAddr;

use jujubebeam_core::VmId;
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
    /// Address for other vms.
    pub(crate) peer_address: SocketAddr,
    /// Addresses of the platform's services.
    pub(crate) platform: PlatformConfig,
    /// Worker threads of the caller listener.
    #[serde(default = "default_workers")]
    pub(crate) workers: usize,
    /// Log output.
    #[serde(default)]
    pub(crate) log: LogConfig,
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

fn default_workers() -> usize {
    2
}

/// Why the settings file of a process cannot be used.
#[derive(Debug)]
pub(crate) struct ConfigError {
    path: String,
    reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; correct the file", self.path, self.reason)
    }
}

impl std::error::Error for ConfigError {}

impl ProcessConfig {
    /// Reads and checks a settings file.
    pub(crate) fn load(path: &str) -> Result<Self, ConfigError> {
        let error = |reason: String| ConfigError {
            path: path.to_owned(),
            reason,
        };
        let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
        serde_yaml_ng::from_str(&text).map_err(|e| error(e.to_string()))
    }
}
