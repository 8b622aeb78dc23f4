//! Requests over real sockets through two vms, with targets that crash and answer crossed.

mod support;

use ntex::time::Millis;
use support::caller::{Caller, streamed_text};
use support::{KEY, WHOLE_TEXT};

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
