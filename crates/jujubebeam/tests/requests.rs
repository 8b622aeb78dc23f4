//! Requests over real sockets through two vms, with targets that crash and answer crossed.

mod support;

use std::time::{Duration, Instant};

use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use ntex::time::{Millis, sleep};
use serde_json::Value;
use support::{Fleet, KEY, WHOLE_TEXT};

struct Caller {
    client: Client,
    fleet: Fleet,
}

struct Reply {
    status: u16,
    retry_after: bool,
    text: String,
}

impl Reply {
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    fn is_error(&self, status: u16, kind: &str, not_run: bool) -> bool {
        let error = &self.json()["error"];
        self.status == status && error["type"] == kind && error["not_run"] == not_run
    }
}

impl Caller {
    async fn start() -> Self {
        let client = build_client(HttpClientConfig::default()).await;
        let fleet = Fleet::start().await;
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

    async fn is_ready(&self, vm: usize) -> bool {
        let url = format!("http://{}/readyz", self.fleet.vms[vm]);
        let answer = self.client.get(url).send().await;
        // A vm that has not read the whole vm list cannot reach the other one.
        answer.is_ok_and(|a| a.status().is_success())
            && self.listed(vm).await == 2
            && self.chat(vm, "ready?", false).await.status == 200
            && self.call(vm, "GET", "/shop/ready", "", "").await.status == 200
    }

    async fn listed(&self, vm: usize) -> usize {
        let list = self.call(vm, "GET", "/v1/addresses", "", "").await.json();
        list["addresses"].as_array().map_or(0, Vec::len)
    }

    async fn call(&self, vm: usize, method: &str, path: &str, key: &str, body: &str) -> Reply {
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

    async fn chat(&self, vm: usize, prompt: &str, stream: bool) -> Reply {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "messages": [{"role": "user", "content": prompt}],
        });
        let path = "/v1/chat/completions";
        self.call(vm, "POST", path, "", &body.to_string()).await
    }

    async fn wait_for_cancelled(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while self.fleet.seen.lock().unwrap().cancelled.len() < count {
            assert!(Instant::now() < deadline, "the attempt was not cancelled");
            sleep(Millis(20)).await;
        }
    }

    fn executions(&self, body: &str) -> u32 {
        let seen = self.fleet.seen.lock().unwrap();
        seen.executions.get(body).copied().unwrap_or_default()
    }
}

fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|l| l.strip_prefix("data: "));
    data.filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

/// Guards against cut, mixed and repeated answers when an engine dies or answers crossed, and
/// against a poisonous request that is sent again.
#[ntex::test]
async fn a_caller_sees_one_whole_answer() {
    let caller = Caller::start().await;
    for prompt in ["plain", "cut", "crossed"] {
        let streamed = caller.chat(0, prompt, true).await;
        assert_eq!(streamed_text(&streamed.text), WHOLE_TEXT, "{prompt}");
        assert!(streamed.text.ends_with("data: [DONE]\n\n"), "{prompt}");
        let whole = caller.chat(1, prompt, false).await.json();
        let content = &whole["choices"][0]["message"]["content"];
        assert_eq!(content, WHOLE_TEXT, "{prompt}");
    }
    for _ in 0..2 {
        let poison = caller.chat(0, "poison", false).await;
        let refused = poison.is_error(422, "request_crashes_targets", false);
        assert!(refused && poison.retry_after, "{}", poison.text);
    }
}

/// Guards against engines that go on generating for a caller that left.
#[ntex::test]
async fn a_disconnect_cancels_the_attempt() {
    let caller = Caller::start().await;
    let url = format!("http://{}/v1/chat/completions", caller.fleet.vms[0]);
    for (stream, cancelled) in [(true, 1), (false, 2)] {
        let request = caller
            .client
            .post(&url)
            .timeout(Millis(1000))
            .header("authorization", format!("Bearer {KEY}"));
        let body = serde_json::json!({
            "model": "m", "stream": stream, "messages": [{"role": "user", "content": "endless"}],
        });
        // The head of a streamed answer arrives; a whole answer never does, so its caller leaves.
        let response = request.send_body(body.to_string()).await;
        assert_eq!(response.is_ok(), stream);
        drop(response);
        caller.wait_for_cancelled(cancelled).await;
    }
}

/// Guards against a checkout that runs twice when its caller repeats it, here or at another vm,
/// and against losing track of one whose answer was lost.
#[ntex::test]
async fn a_checkout_runs_once() {
    let caller = Caller::start().await;
    let ticket = caller.call(0, "POST", "/v1/tickets", "", "").await.json();
    let ticket = ticket["idempotency_key"].as_str().unwrap().to_owned();
    for key in [ticket.as_str(), "order-1"] {
        let body = format!("body of {key}");
        for vm in [1, 0, 1] {
            let reply = caller.call(vm, "POST", "/shop/orders", key, &body).await;
            assert_eq!((reply.status, reply.text.as_str()), (200, "execution 1"));
            let outcome = caller
                .call(vm, "GET", &format!("/v1/outcomes/{key}"), "", "")
                .await;
            assert_eq!(outcome.json()["outcome"], "done", "{}", outcome.text);
        }
        assert_eq!(caller.executions(&body), 1);
        for vm in 0..2 {
            let reply = caller.call(vm, "POST", "/shop/orders", key, "other").await;
            assert!(reply.is_error(400, "bad_request", true), "{}", reply.text);
        }
        assert_eq!(caller.executions("other"), 0);
    }
    for vm in [0, 1, 0] {
        let lost = caller
            .call(vm, "POST", "/shop/lost", "order-2", "lost")
            .await;
        assert!(
            lost.is_error(504, "outcome_unknown", false),
            "{}",
            lost.text
        );
    }
    assert_eq!(caller.executions("lost"), 1);
    assert_eq!(caller.fleet.seen.lock().unwrap().caller_keys, 0);
}

/// Guards against bad input that is passed on or answered without a kind and a remedy.
#[ntex::test]
async fn bad_input_is_refused_with_a_kind() {
    let caller = Caller::start().await;
    let path = "/v1/chat/completions";
    let other_model = r#"{"model":"x","messages":[]}"#;
    let large = "x".repeat(1001);
    let forged = "jt1-1-1-1-1-00000000000000000000000000000000";
    for (method, path, key, body, status, kind) in [
        ("POST", path, "", "{", 400, "bad_request"),
        ("POST", path, "", other_model, 404, "unknown_model"),
        ("POST", "/shop/a", "", "x", 400, "idempotency_key_missing"),
        (
            "POST",
            "/shop/a",
            "k",
            large.as_str(),
            413,
            "body_too_large",
        ),
        ("GET", "/nowhere", "", "", 404, "unknown_route"),
    ] {
        let reply = caller.call(0, method, path, key, body).await;
        assert!(reply.is_error(status, kind, true), "{}", reply.text);
        assert!(
            reply.json()["error"]["remedy"]
                .as_str()
                .is_some_and(|r| !r.is_empty())
        );
    }
    let forged = caller.call(0, "POST", "/shop/a", forged, "x").await;
    assert!(
        forged.is_error(504, "outcome_unknown", false),
        "{}",
        forged.text
    );
    let models = caller.call(0, "GET", "/v1/models", "", "").await.json();
    assert_eq!(models["data"][0]["id"], "m");
    assert_eq!(caller.executions("x"), 0);
}
