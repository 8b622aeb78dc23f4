//! Client of one plain service.

use std::time::Duration;

use jujubebeam_core::targets::LoadReport;
use jujubebeam_http::{CallError, JsonClient};
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::{HeaderMap, Method};
use ntex::time::Millis;
use ntex::util::Bytes;

/// Path of the load report.
pub const LOAD_PATH: &str = "/load";

/// Settings of the service client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceClientConfig {
    /// Timeout for reading a load report.
    pub load_timeout: Duration,
    /// Timeout for receiving the head of an answer.
    pub answer_timeout: Duration,
}

impl Default for ServiceClientConfig {
    fn default() -> Self {
        Self {
            load_timeout: Duration::from_secs(1),
            answer_timeout: Duration::from_secs(30),
        }
    }
}

/// Client of one plain service.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    json: JsonClient,
    answer_timeout: Duration,
}

impl ServiceClient {
    /// Creates a client for the service at `address`.
    pub fn new(client: Client, address: &str, config: ServiceClientConfig) -> Self {
        Self {
            json: JsonClient::new(client, address, config.load_timeout),
            answer_timeout: config.answer_timeout,
        }
    }

    /// Reads the load report.
    pub async fn load(&self) -> Result<LoadReport, CallError> {
        Ok(self.json.get(LOAD_PATH).await?.body)
    }

    /// Forwards a request. `headers` must not contain the caller's key.
    pub async fn forward(
        &self,
        method: Method,
        path_and_query: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<ClientResponse, CallError> {
        let timeout = Millis(self.answer_timeout.as_millis().min(u128::from(u32::MAX)) as u32);
        let mut request: ClientRequest = self
            .json
            .http()
            .request(method, self.json.url(path_and_query))
            .timeout(timeout);
        for (name, value) in headers {
            request = request.header(name.clone(), value.clone());
        }
        if body.is_empty() {
            return Ok(request.send().await?);
        }
        Ok(request.send_body(body).await?)
    }
}
