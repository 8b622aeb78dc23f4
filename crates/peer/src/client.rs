//! Client of another vm.

use std::time::Duration;

use jujubebeam_http::CallError;
use ntex::client::Client;
use ntex::time::{Millis, timeout};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::envelope::{Envelope, MESSAGES_PATH, decode, encode};

/// Settings of the peer client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClientConfig {
    /// Timeout of one exchange.
    pub timeout: Duration,
}

impl Default for PeerClientConfig {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
        }
    }
}

/// Exchanges messages with other vms.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client,
    config: PeerClientConfig,
}

impl PeerClient {
    /// Creates a client that opens its connections through `client`.
    pub fn new(client: Client, config: PeerClientConfig) -> Self {
        Self { client, config }
    }

    /// Sends an envelope to the vm at `address` and returns its answer.
    pub async fn exchange<M: Serialize + DeserializeOwned>(
        &self,
        address: &str,
        envelope: &Envelope<M>,
    ) -> Result<Envelope<M>, CallError> {
        let body = encode(envelope).map_err(|e| CallError::Malformed(e.to_string()))?;
        let budget = Millis(self.config.timeout.as_millis().min(u128::from(u32::MAX)) as u32);
        match timeout(budget, self.post(address, body)).await {
            Ok(result) => result,
            Err(()) => Err(CallError::NoAnswer("timeout".into())),
        }
    }

    async fn post<M: DeserializeOwned>(
        &self,
        address: &str,
        body: Vec<u8>,
    ) -> Result<Envelope<M>, CallError> {
        let response = self
            .client
            .post(format!("http://{address}{MESSAGES_PATH}"))
            .timeout(Millis::ZERO)
            .content_type("application/msgpack")
            .send_body(body)
            .await?;
        let status = response.status();
        let bytes = response
            .body()
            .await
            .map_err(|e| CallError::NoAnswer(e.to_string()))?;
        if !status.is_success() {
            return Err(CallError::Status {
                code: status.as_u16(),
                retry_after_s: None,
                body: String::from_utf8_lossy(&bytes).into_owned(),
                header: None,
            });
        }
        decode(&bytes).map_err(|e| CallError::Malformed(e.to_string()))
    }
}
