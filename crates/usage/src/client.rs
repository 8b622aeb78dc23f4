//! Client of the platform's usage interface.

use std::time::Duration;

use jujubebeam_http::{CallError, JsonClient};
use ntex::client::Client;
use ntex::http::Method;

use crate::wire::{UsageAnswer, UsageReport, window_path};

/// Settings of the usage client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageClientConfig {
    /// Timeout of one call. It must be shorter than the safety margin of the lease.
    pub timeout: Duration,
}

impl Default for UsageClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(800),
        }
    }
}

/// Client of the usage interface.
#[derive(Clone, Debug)]
pub struct UsageClient {
    json: JsonClient,
}

impl UsageClient {
    /// Creates a client for the interface at `address`.
    pub fn new(client: Client, address: &str, config: UsageClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.timeout),
        }
    }

    /// Reports the usage of a window.
    pub async fn report(&self, report: &UsageReport) -> Result<UsageAnswer, CallError> {
        let path = window_path(report.window);
        Ok(self.json.call(Method::PUT, &path, Some(report)).await?.body)
    }

    /// Reads the stored report of a window; `None` if the platform has none.
    pub async fn stored(&self, window: u64) -> Result<Option<UsageReport>, CallError> {
        match self.json.get(&window_path(window)).await {
            Ok(answer) => Ok(Some(answer.body)),
            Err(CallError::Status { code: 404, .. }) => Ok(None),
            Err(e) => Err(e),
        }
    }
}
