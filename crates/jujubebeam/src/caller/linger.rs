//! Reads the rest of a refused request's body while its answer is already at the caller.
//!
//! A connection that is closed with unread bytes is reset. A caller that is still sending then
//! gets a write error, and may never see the answer.

use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::http::ConnectionType;
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::time::{Millis, Sleep, sleep};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;

/// Most that is read of a refused body. A caller that sends more is reset.
const LINGER_BYTES: usize = 64 * 1024 * 1024;
/// Time in which the rest of a refused body must arrive. It also bounds how long a shutdown waits
/// for such a caller.
const LINGER: Millis = Millis(5_000);

/// Sends the whole answer at once, then reads the rest of the body and closes the connection.
pub(super) fn close_after_body(mut response: HttpResponse, payload: Payload) -> HttpResponse {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.map_body(|_, inner| {
        let body = LingeringBody {
            inner,
            answered: false,
            payload,
            read_bytes: 0,
            end: sleep(LINGER),
        };
        ResponseBody::Body(Body::from_message(body))
    })
}

struct LingeringBody {
    inner: ResponseBody<Body>,
    answered: bool,
    payload: Payload,
    read_bytes: usize,
    end: Sleep,
}

impl LingeringBody {
    /// Ready once the body has ended or no more of it is read.
    fn poll_drained(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.end.poll_elapsed(cx).is_ready() {
            return Poll::Ready(());
        }
        while let Poll::Ready(part) = self.payload.poll_recv(cx) {
            let Some(Ok(bytes)) = part else {
                return Poll::Ready(());
            };
            self.read_bytes += bytes.len();
            if self.read_bytes > LINGER_BYTES {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }
}

impl MessageBody for LingeringBody {
    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if !self.answered {
            match self.inner.poll_next_chunk(cx) {
                Poll::Ready(None) => self.answered = true,
                other => return other,
            }
        }
        self.poll_drained(cx).map(|()| None)
    }
}
