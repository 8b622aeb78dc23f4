//! Reads request bodies within a size and a time limit.

use jujubebeam_caller::{CallerError, ErrorKind};
use ntex::time::{Millis, timeout};
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;
use ntex::web::types::Payload;

use super::linger;
use super::respond::error_response;

/// Time in which a whole body must arrive.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Most that is read of a body before its request is refused.
const DRAIN_BYTES: usize = 256 * 1024;
/// Time for reading the body before its request is refused. It bounds how long the refusal is held
/// back.
const DRAIN_TIMEOUT: Millis = Millis(10);

/// Sends a refusal. If the body ends soon, the connection stays usable; otherwise it is closed when
/// the rest has arrived.
pub(crate) async fn refuse(mut payload: Payload, error: CallerError) -> HttpResponse {
    let ended = timeout(DRAIN_TIMEOUT, drain(&mut payload)).await;
    let response = error_response(error);
    match ended {
        Ok(true) => response,
        _ => linger::close_after_body(response, payload),
    }
}

/// Returns whether the body ended.
async fn drain(payload: &mut Payload) -> bool {
    let mut read_bytes = 0;
    while let Some(chunk) = payload.recv().await {
        read_bytes += chunk.map_or(DRAIN_BYTES, |c| c.len());
        if read_bytes >= DRAIN_BYTES {
            return false;
        }
    }
    true
}

/// Reads a body of at most `limit_bytes`.
pub(crate) async fn read(payload: &mut Payload, limit_bytes: usize) -> Result<Bytes, CallerError> {
    match timeout(BODY_TIMEOUT, collect(payload, limit_bytes)).await {
        Ok(result) => result,
        Err(()) => Err(CallerError::not_run(
            ErrorKind::SlowSender,
            format!("the body did not arrive within {} ms", BODY_TIMEOUT.0),
            "send the body faster",
        )
        .retry_after_s(1)),
    }
}

async fn collect(payload: &mut Payload, limit_bytes: usize) -> Result<Bytes, CallerError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|e| {
            CallerError::not_run(
                ErrorKind::BadRequest,
                format!("the body is broken: {e}"),
                "send the request again",
            )
        })?;
        if body.len() + chunk.len() > limit_bytes {
            return Err(CallerError::not_run(
                ErrorKind::BodyTooLarge,
                format!("the body is larger than {limit_bytes} bytes"),
                "send a smaller body, or ask the operator to raise `body_limit_bytes`",
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
