//! Requests over real sockets whose prompt runs on a prefill engine and whose answer on a decode
//! engine.

mod support;

use std::time::{Duration, Instant};

use jujubebeam_core::targets::Role;
use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use ntex::time::{Millis, sleep};
use serde_json::Value;
use support::{Fleet, KEY, SeenAttempt, WHOLE_TEXT};

struct Caller {
    client: Client,
    fleet: Fleet,
}

impl Caller {
    async fn start() -> Self {
        let client = build_client(HttpClientConfig::default()).await;
        let fleet = Fleet::with_roles("", [Role::Prefill, Role::Decode]).await;
        let caller = Self { client, fleet };
        let deadline = Instant::now() + Duration::from_secs(30);
        while caller.answer("ready?", false).await.0 != 200 {
            assert!(Instant::now() < deadline, "the vm did not become ready");
            sleep(Millis(50)).await;
        }
        caller
    }

    async fn answer(&self, prompt: &str, stream: bool) -> (u16, String) {
        let url = format!("http://{}/v1/chat/completions", self.fleet.vms[0]);
        let body = serde_json::json!({
            "model": "m", "stream": stream, "messages": [{"role": "user", "content": prompt}],
        });
        let request = self
            .client
            .post(url)
            .timeout(Millis(20_000))
            .header("authorization", format!("Bearer {KEY}"));
        let Ok(response) = request.send_body(body.to_string()).await else {
            return (0, String::new());
        };
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    fn attempts(&self, prompt: &str) -> Vec<SeenAttempt> {
        let seen = self.fleet.seen.lock().unwrap();
        let own = seen.attempts.iter().filter(|a| a.prompt == prompt);
        own.cloned().collect()
    }
}

fn streamed_text(events: &str) -> String {
    let data = events.lines().filter_map(|l| l.strip_prefix("data: "));
    data.filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

/// A prompt, whether the decode engine gets its cache, and the role and the tokens delivered before
/// of each attempt that it must take.
type Expected = (&'static str, bool, &'static [(Role, u64)]);

const EXPECTED: [Expected; 5] = [
    ("plain", true, &[(Role::Prefill, 0), (Role::Decode, 1)]),
    (
        "export fails",
        false,
        &[(Role::Prefill, 0), (Role::Decode, 1)],
    ),
    (
        "import fails",
        false,
        &[(Role::Prefill, 0), (Role::Decode, 1)],
    ),
    (
        "decode dies",
        true,
        &[(Role::Prefill, 0), (Role::Decode, 1), (Role::Prefill, 4)],
    ),
    (
        "import fails and decode dies",
        false,
        &[(Role::Prefill, 0), (Role::Decode, 1), (Role::Prefill, 4)],
    ),
];

/// Guards against answers that lose or repeat tokens between a prefill and a decode engine, when
/// the move works and when the export, the import or the decode engine fails.
#[ntex::test]
async fn a_split_answer_is_whole_whatever_fails() {
    let caller = Caller::start().await;
    for (prompt, has_cache, expected) in EXPECTED {
        let (status, events) = caller.answer(prompt, true).await;
        assert_eq!(status, 200, "{prompt}: {events}");
        assert_eq!(streamed_text(&events), WHOLE_TEXT, "{prompt}");
        assert!(events.ends_with("data: [DONE]\n\n"), "{prompt}");
        let attempts = caller.attempts(prompt);
        let delivered =
            |a: &SeenAttempt| (a.role, a.resume.as_ref().map_or(0, |r| r.delivered_tokens));
        let taken: Vec<_> = attempts.iter().map(delivered).collect();
        assert_eq!(taken, expected, "{prompt}");
        let request = attempts[0].id.strip_suffix("-1").unwrap();
        for (position, attempt) in attempts.iter().enumerate() {
            assert_eq!(
                attempt.id,
                format!("{request}-{}", position + 1),
                "{prompt}"
            );
        }
        let resume = attempts[1].resume.as_ref().unwrap();
        assert_eq!(resume.kv_handle.is_some(), has_cache, "{prompt}");
    }
    let (_, whole) = caller.answer("whole", false).await;
    let whole: Value = serde_json::from_str(&whole).unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], WHOLE_TEXT);
    let seen = caller.fleet.seen.lock().unwrap();
    let imports = seen.imported.iter().filter(|(handle, _)| {
        let attempt = handle.trim_start_matches("kv-");
        seen.prompt_of(attempt) != "ready?"
    });
    assert_eq!(imports.count(), 5);
}
