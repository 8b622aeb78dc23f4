//! A caller of two vms.

use std::time::{Duration, Instant};

use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use ntex::time::{Millis, sleep};
use serde_json::Value;

use super::{Fleet, KEY};

pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) fleet: Fleet,
}

pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) retry_after: bool,
    pub(crate) text: String,
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    pub(crate) fn is_error(&self, status: u16, kind: &str, not_run: bool) -> bool {
        let error = &self.json()["error"];
        self.status == status && error["type"] == kind && error["not_run"] == not_run
    }
}

impl Caller {
    pub(crate) async fn start() -> Self {
        Self::start_with("").await
    }

    /// Starts vms with further lines in their settings file.
    pub(crate) async fn start_with(settings: &str) -> Self {
        let client = build_client(HttpClientConfig::default()).await;
        let fleet = Fleet::start(settings).await;
        let caller = Self { client, fleet };
        for vm in 0..2 {
            let deadline = Instant::now() + Duration::from_secs(30);
            while !caller.is_ready(vm).await {
                assert!(Instant::now() < deadline, "vm {vm} did not become ready");
                sleep(Millis(50)).await;
            }
        }
        caller
    }

    pub(crate) async fn is_ready(&self, vm: usize) -> bool {
        let url = format!("http://{}/readyz", self.fleet.vms[vm]);
        let answer = self.client.get(url).send().await;
        // A vm that has not read the whole vm list cannot reach the other one.
        answer.is_ok_and(|a| a.status().is_success())
            && self.listed(vm).await == 2
            && self.chat(vm, "ready?", false).await.status == 200
            && self.call(vm, "GET", "/shop/ready", "", "").await.status == 200
    }

    pub(crate) async fn listed(&self, vm: usize) -> usize {
        let list = self.call(vm, "GET", "/v1/addresses", "", "").await.json();
        list["addresses"].as_array().map_or(0, Vec::len)
    }

    pub(crate) async fn call(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Reply {
        let url = format!("http://{}{path}", self.fleet.vms[vm]);
        let mut request = self
            .client
            .request(method.parse().unwrap(), url)
            .timeout(Millis(20_000))
            .header("authorization", format!("Bearer {KEY}"));
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let response = request.send_body(body.to_owned()).await.unwrap();
        let status = response.status().as_u16();
        let retry_after = response.headers().contains_key("retry-after");
        let body = response.body().await.unwrap();
        Reply {
            status,
            retry_after,
            text: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    pub(crate) async fn chat(&self, vm: usize, prompt: &str, stream: bool) -> Reply {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "messages": [{"role": "user", "content": prompt}],
        });
        let path = "/v1/chat/completions";
        self.call(vm, "POST", path, "", &body.to_string()).await
    }

    pub(crate) async fn wait_for_cancelled(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while self.fleet.seen.lock().unwrap().cancelled.len() < count {
            assert!(Instant::now() < deadline, "the attempt was not cancelled");
            sleep(Millis(20)).await;
        }
    }

    pub(crate) fn executions(&self, body: &str) -> u32 {
        let seen = self.fleet.seen.lock().unwrap();
        seen.executions.get(body).copied().unwrap_or_default()
    }
}

pub(crate) fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|l| l.strip_prefix("data: "));
    data.filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}
