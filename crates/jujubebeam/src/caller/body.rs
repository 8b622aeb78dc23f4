//! Reads request bodies within a size and a time limit.

use jujubebeam_caller::{CallerError, ErrorKind};
use ntex::time::{Millis, timeout};
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;

/// Time in which a whole body must arrive.
const BODY_TIMEOUT: Millis = Millis(10_000);

/// Reads a body of at most `limit_bytes`.
pub(crate) async fn read(payload: Payload, limit_bytes: usize) -> Result<Bytes, CallerError> {
    match timeout(BODY_TIMEOUT, collect(payload, limit_bytes)).await {
        Ok(result) => result,
        Err(()) => Err(CallerError::not_run(
            ErrorKind::SlowSender,
            format!("the body did not arrive within {} ms", BODY_TIMEOUT.0),
            "send the body faster",
        )),
    }
}

async fn collect(mut payload: Payload, limit_bytes: usize) -> Result<Bytes, CallerError> {
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
