//! Client of the vm list.

use std::time::Duration;

use jujubebeam_http::{CallError, JsonClient};
use ntex::client::Client;

use crate::wire::{VM_LIST_PATH, VmList};

/// Settings of the vm list client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmListClientConfig {
    /// Timeout of one call.
    pub timeout: Duration,
}

impl Default for VmListClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
        }
    }
}

/// Client of the vm list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    json: JsonClient,
}

impl VmListClient {
    /// Creates a client for the list at `address`.
    pub fn new(client: Client, address: &str, config: VmListClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.timeout),
        }
    }

    /// Reads the list.
    pub async fn list(&self) -> Result<VmList, CallError> {
        Ok(self.json.get(VM_LIST_PATH).await?.body)
    }
}
