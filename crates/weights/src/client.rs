//! Client of the weight store.

use std::time::Duration;

use jujubebeam_http::{CallError, JsonClient};
use ntex::client::Client;

use crate::wire::{GRANTS_PATH, Grant, GrantRequest};

/// Settings of the weight store client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightsClientConfig {
    /// Timeout of one call.
    pub timeout: Duration,
}

impl Default for WeightsClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
        }
    }
}

/// Client of the weight store.
#[derive(Clone, Debug)]
pub struct WeightsClient {
    json: JsonClient,
}

impl WeightsClient {
    /// Creates a client for the weight store at `address`.
    pub fn new(client: Client, address: &str, config: WeightsClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.timeout),
        }
    }

    /// Requests a grant. The store answers with status 429 when its rate limit is reached.
    pub async fn grant(&self, request: &GrantRequest) -> Result<Grant, CallError> {
        Ok(self.json.post(GRANTS_PATH, request).await?.body)
    }
}
