//! HTTP client set-up and a JSON client for one peer.

use std::time::Duration;

use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::{Method, StatusCode, header};
use ntex::time::Millis;
use ntex::{SharedCfg, time};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallError;

/// Maximum length of the stored part of an error body. On a conflict, the body from the store holds
/// the current state of the compared keys.
const ERROR_BODY_BYTES: usize = 16 * 1024;

/// Settings of an outgoing HTTP client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientConfig {
    /// Time after which idle connections are closed. It is shorter than the 5 s after which common
    /// servers close theirs, because a request that is sent while the server closes the connection
    /// gets no answer.
    pub keep_alive_s: u16,
    /// Maximum number of connections per worker thread.
    pub connections: usize,
    /// Maximum size of an answer body that is read into memory.
    pub body_limit_bytes: usize,
}

impl Default for HttpClientConfig {
    fn default() -> Self {
        Self {
            keep_alive_s: 3,
            // The pool of ntex 3.12 wakes requests that wait for a connection only while fewer than
            // this many connections are in use. It treats 0 as "no limit", but then never wakes
            // them.
            connections: usize::MAX,
            body_limit_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Builds an HTTP client that follows no redirects and adds no headers of its own.
pub async fn build_client(config: HttpClientConfig) -> Client {
    Client::builder()
        .connector::<()>(
            Connector::new()
                .limit(config.connections)
                .keep_alive(time::Seconds(config.keep_alive_s)),
        )
        .no_default_headers()
        .disable_redirects()
        .disable_timeout()
        .response_payload_limit(config.body_limit_bytes)
        .build(SharedCfg::default())
        .await
        .expect("the plain TCP connector has no failing set-up step")
}

/// Decoded answer with its status code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonResponse<T> {
    /// HTTP status code.
    pub code: u16,
    /// Decoded body.
    pub body: T,
    /// Value of the header that the client reports.
    pub header: Option<String>,
}

/// Sends JSON requests to one base address.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client,
    base: String,
    timeout: Duration,
    reported_header: Option<&'static str>,
}

impl JsonClient {
    /// Creates a client for `address`, an `ip:port` pair.
    pub fn new(client: Client, address: &str, timeout: Duration) -> Self {
        Self {
            client,
            base: format!("http://{address}"),
            timeout,
            reported_header: None,
        }
    }

    /// Reports the value of a header with each answer and each error status.
    pub fn reporting_header(mut self, name: &'static str) -> Self {
        self.reported_header = Some(name);
        self
    }

    /// Returns the underlying HTTP client.
    pub fn http(&self) -> &Client {
        &self.client
    }

    /// Returns the URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Sends a GET request and decodes the answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<JsonResponse<T>, CallError> {
        self.call(Method::GET, path, None::<&()>).await
    }

    /// Sends a POST request and decodes the answer.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<JsonResponse<T>, CallError> {
        self.call(Method::POST, path, Some(body)).await
    }

    /// Sends a request and decodes a successful answer. The client's timeout covers the whole call.
    pub async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<JsonResponse<T>, CallError> {
        let request = self
            .client
            .request(method, self.url(path))
            .timeout(Millis::ZERO);
        let budget = Millis(self.timeout.as_millis().min(u128::from(u32::MAX)) as u32);
        match time::timeout(budget, exchange(request, body, self.reported_header)).await {
            Ok(result) => result,
            Err(()) => Err(CallError::NoAnswer("timeout".into())),
        }
    }
}

async fn exchange<B: Serialize, T: DeserializeOwned>(
    request: ClientRequest,
    body: Option<&B>,
    reported_header: Option<&'static str>,
) -> Result<JsonResponse<T>, CallError> {
    let response = match body {
        Some(body) => {
            let bytes =
                serde_json::to_vec(body).map_err(|e| CallError::Malformed(e.to_string()))?;
            request
                .content_type("application/json")
                .send_body(bytes)
                .await?
        }
        None => request.send().await?,
    };
    let status = response.status();
    let bytes = response
        .body()
        .await
        .map_err(|e| CallError::NoAnswer(e.to_string()))?;
    let header = reported_header.and_then(|name| response.headers().get(name));
    let header = header.and_then(|v| v.to_str().ok()).map(str::to_owned);
    if !status.is_success() {
        return Err(status_error(status, &response, &bytes, header));
    }
    // In a list with items of several writers, invalid bytes in one must not hide the others.
    let text = String::from_utf8_lossy(&bytes);
    let body = serde_json::from_str(&text).map_err(|e| CallError::Malformed(e.to_string()))?;
    Ok(JsonResponse {
        code: status.as_u16(),
        body,
        header,
    })
}

fn status_error(
    status: StatusCode,
    response: &ClientResponse,
    bytes: &[u8],
    header: Option<String>,
) -> CallError {
    let retry_after_s = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let end = bytes.len().min(ERROR_BODY_BYTES);
    CallError::Status {
        code: status.as_u16(),
        retry_after_s,
        body: String::from_utf8_lossy(&bytes[..end]).into_owned(),
        header,
    }
}
