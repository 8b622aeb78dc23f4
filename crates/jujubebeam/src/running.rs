//! Counts running requests, so that a shutdown cuts none.

use std::error::Error;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::util::Bytes;
use ntex::web::HttpResponse;

/// Number of running requests.
#[derive(Debug, Default)]
pub(crate) struct RunningCounter {
    count: Arc<AtomicUsize>,
}

impl RunningCounter {
    /// Counts one more request until the guard is dropped.
    pub(crate) fn start(&self) -> RunningGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        RunningGuard {
            count: self.count.clone(),
        }
    }

    /// Number of guards.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// Counts as one running request until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps the guard until the body of the response has been sent or given up.
pub(crate) fn hold(response: HttpResponse, guard: RunningGuard) -> HttpResponse {
    response.map_body(|_, inner| {
        let body = HeldBody {
            inner,
            _guard: guard,
        };
        ResponseBody::Body(Body::from_message(body))
    })
}

struct HeldBody {
    inner: ResponseBody<Body>,
    _guard: RunningGuard,
}

impl MessageBody for HeldBody {
    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.inner.poll_next_chunk(cx)
    }
}
