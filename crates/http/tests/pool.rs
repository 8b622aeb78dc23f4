//! Tests of requests that share the connection pool of a client.

use std::future::poll_fn;
use std::task::Poll;

use futures_util::future::join_all;
use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::time::{Millis, timeout};
use ntex::web::{self, App, HttpResponse, test};

/// Time after which a hanging run fails. No result depends on the speed of the requests.
const HANG_TIMEOUT: Millis = Millis(20_000);

async fn answer() -> HttpResponse {
    HttpResponse::Ok().body("whole")
}

/// Yields `yields` times to the other tasks of the thread without waiting for sockets.
async fn yield_to_other_tasks(yields: usize) {
    let mut remaining = yields;
    poll_fn(|cx| {
        if remaining == 0 {
            return Poll::Ready(());
        }
        remaining -= 1;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Guards against requests that never get a connection because another request to the same address
/// was opening one when they started.
#[ntex::test]
async fn requests_that_start_while_another_connects_are_answered() {
    let server = test::server(async || App::new().route("/", web::get().to(answer))).await;
    let client = build_client(HttpClientConfig::default()).await;
    let url = format!("http://{}/", server.addr());
    let requests = (0..16).map(async |yields| {
        yield_to_other_tasks(yields).await;
        let response = client.get(&url).timeout(Millis::ZERO).send().await;
        response.expect("an answer").body().await.expect("a body")
    });
    let bodies = timeout(HANG_TIMEOUT, join_all(requests)).await;
    let bodies = bodies.expect("a request got no connection");
    assert!(bodies.iter().all(|b| b == "whole"));
}
