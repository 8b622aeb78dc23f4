//! Planned moves of streams, and outages of the store, over real sockets.

mod support;

use std::time::{Duration, Instant};

use ntex::time::{Millis, sleep};
use support::WHOLE_TEXT;
use support::caller::{Caller, streamed_text};

/// Guards against a stream that is cut, repeated or computed again when its engine is drained.
#[ntex::test]
async fn a_stream_moves_with_its_cache() {
    let caller = Caller::start().await;
    let moved = caller.chat(0, "move", true).await;
    assert_eq!(streamed_text(&moved.text), WHOLE_TEXT, "{}", moved.text);
    assert!(moved.text.ends_with("data: [DONE]\n\n"));
    let seen = caller.fleet.seen.lock().unwrap();
    assert_eq!(seen.exported.len(), 1);
    let handle = format!("kv-{}", seen.exported[0]);
    let source = seen.draining.clone().unwrap();
    assert_eq!(seen.imported, [(handle.clone(), source)]);
    assert_eq!(seen.resumed, [handle]);
}

/// Guards against a checkout that runs without a mark, and against an outage of the store that
/// stops checkouts with tickets.
#[ntex::test]
async fn an_outage_of_the_store_stops_only_checkouts_with_own_keys() {
    let caller = Caller::start().await;
    caller.fleet.seen.lock().unwrap().store_down = true;
    let deadline = Instant::now() + Duration::from_secs(60);
    for serial in 0.. {
        assert!(
            Instant::now() < deadline,
            "checkouts are not refused by the ledger"
        );
        let body = format!("own {serial}");
        let own = caller.call(0, "POST", "/shop/orders", &body, &body).await;
        let error = &own.json()["error"];
        assert_eq!(
            (own.status, &error["not_run"]),
            (503, &true.into()),
            "{}",
            own.text
        );
        assert!(own.retry_after && error["remedy"] != "", "{}", own.text);
        assert_eq!(caller.executions(&body), 0);
        // Until the vms know of the outage from each other, their settings count as stale.
        if error["type"] != "settings_stale" && serial > 0 {
            break;
        }
        sleep(Millis(100)).await;
    }
    let mut serial = 0;
    loop {
        assert!(Instant::now() < deadline, "no ticket during the outage");
        serial += 1;
        let ticket = caller.call(0, "POST", "/v1/tickets", "", "").await;
        let key = ticket.json()["idempotency_key"].as_str().map(str::to_owned);
        let Some(key) = key else {
            assert!(
                ticket.is_error(503, "settings_stale", true),
                "{}",
                ticket.text
            );
            sleep(Millis(100)).await;
            continue;
        };
        let body = format!("ticketed {serial}");
        let reply = caller.call(0, "POST", "/shop/orders", &key, &body).await;
        if reply.is_error(503, "settings_stale", true) {
            continue;
        }
        assert_eq!((reply.status, reply.text.as_str()), (200, "execution 1"));
        break;
    }
}
