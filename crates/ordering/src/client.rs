//! Client of the platform's ordering interface.

use std::time::Duration;

use jujubebeam_http::{CallError, JsonClient};
use ntex::client::Client;

use crate::wire::{OrderedTargets, PlatformOrder, PlatformOrderAnswer, paths};

/// Settings of the ordering client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderingClientConfig {
    /// Timeout of one call. It must be shorter than the safety margin of the lease.
    pub timeout: Duration,
}

impl Default for OrderingClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(800),
        }
    }
}

/// Client of the ordering interface.
#[derive(Clone, Debug)]
pub struct OrderingClient {
    json: JsonClient,
}

impl OrderingClient {
    /// Creates a client for the interface at `address`.
    pub fn new(client: Client, address: &str, config: OrderingClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.timeout),
        }
    }

    /// Sends an order to start or stop a target.
    pub async fn order(&self, order: &PlatformOrder) -> Result<PlatformOrderAnswer, CallError> {
        Ok(self.json.post(paths::ORDERS, order).await?.body)
    }

    /// Lists the targets that the platform runs for this system.
    pub async fn targets(&self) -> Result<OrderedTargets, CallError> {
        Ok(self.json.get(paths::TARGETS).await?.body)
    }
}
