//! Spans, counters and explanations of requests over real sockets.

mod support;

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use jujubebeam_core::settings::KeyHash;
use ntex::time::{Millis, sleep};
use support::caller::Caller;
use support::{KEY, TRACES_PATH};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const TRACE_BYTES: [u8; 16] = 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c_u128.to_be_bytes();
const PARENT: &str = "b7ad6b7169203331";

fn contains(body: &[u8], wanted: &[u8]) -> bool {
    body.windows(wanted.len()).any(|w| w == wanted)
}

/// Sends a request below a span of the caller.
async fn traced(caller: &Caller, method: &str, path: &str, key: &str, body: &str) -> String {
    let url = format!("http://{}{path}", caller.fleet.vms[1]);
    let request = caller
        .client
        .request(method.parse().unwrap(), url)
        .timeout(Millis(20_000))
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", key)
        .header("traceparent", format!("00-{TRACE}-{PARENT}-01"));
    let response = request.send_body(body.to_owned()).await.unwrap();
    assert_eq!(response.status().as_u16(), 200, "{path}");
    let id = response.headers().get("x-request-id").unwrap();
    let id = id.to_str().unwrap().to_owned();
    response.body().await.unwrap();
    id
}

/// Guards against a trace that breaks off at a hop, counters that are not sent and requests whose
/// decision cannot be explained.
#[ntex::test]
async fn requests_leave_spans_counters_and_explanations() {
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd.set_nonblocking(true).unwrap();
    let collector = support::start_collector().await;
    let settings = format!(
        "trace:\n  otlp_endpoint: http://{}{TRACES_PATH}\nmetrics:\n  statsd_address: {}\n  \
         interval_ms: 50\noperator_key_sha256: {}\n",
        collector.server.addr(),
        statsd.local_addr().unwrap(),
        KeyHash::of_key(KEY).to_hex(),
    );
    let caller = Caller::start_with(&settings).await;

    let chat = r#"{"model":"m","messages":[{"role":"user","content":"cut"}]}"#;
    let id = traced(&caller, "POST", "/v1/chat/completions", "", chat).await;
    // The ticket belongs to the other vm, so the checkout is forwarded there.
    let ticket = caller.call(0, "POST", "/v1/tickets", "", "").await.json();
    let ticket = ticket["idempotency_key"].as_str().unwrap();
    traced(&caller, "POST", "/shop/orders", ticket, "order").await;
    {
        let seen = caller.fleet.seen.lock().unwrap();
        let of_trace = |t: &&String| t.contains(TRACE);
        let passed: Vec<_> = seen.traceparents.iter().filter(of_trace).collect();
        assert_eq!(passed.len(), 3, "two attempts and a checkout: {passed:?}");
        assert!(passed.iter().all(|t| !t.contains(PARENT)), "{passed:?}");
    }

    let path = format!("/operator/v1/explain/{id}");
    let explained = caller.call(1, "GET", &path, "", "").await.json();
    let decisions = explained["decisions"].as_array().unwrap();
    assert_eq!(decisions.len(), 2, "{explained}");
    let text = decisions[0].as_str().unwrap();
    assert!(text.contains("target=engines-"), "{text}");
    let unknown = caller
        .call(1, "GET", "/operator/v1/explain/1", "", "")
        .await;
    assert_eq!(unknown.status, 404);

    let deadline = Instant::now() + Duration::from_secs(60);
    let mut wanted = vec![
        "requests",
        "answers",
        "attempts",
        "resumes",
        "output_tokens",
    ];
    let mut spans = vec!["request", "attempt", "forward"];
    while !wanted.is_empty() || !spans.is_empty() {
        assert!(Instant::now() < deadline, "missing {wanted:?} {spans:?}");
        sleep(Millis(20)).await;
        let mut packet = [0; 2048];
        while let Ok(length) = statsd.recv(&mut packet) {
            let text = String::from_utf8_lossy(&packet[..length]).into_owned();
            wanted.retain(|w| !text.contains(&format!("jujubebeam.{w}:")));
        }
        for body in &collector.seen.lock().unwrap().spans {
            let of_trace = contains(body, &TRACE_BYTES);
            spans.retain(|s| !(of_trace && contains(body, s.as_bytes())));
        }
    }
}
