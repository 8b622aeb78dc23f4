//! Turns errors into HTTP answers.

use jujubebeam_caller::{CallerError, ErrorBody, headers};
use ntex::http::{StatusCode, header};
use ntex::web::HttpResponse;

/// Builds the answer for an error.
pub(crate) fn error_response(error: CallerError) -> HttpResponse {
    let status =
        StatusCode::from_u16(error.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder.header(headers::REQUEST_ID, error.request_id.as_str());
    if let Some(seconds) = error.retry_after_s {
        builder.header(header::RETRY_AFTER, seconds.to_string());
    }
    builder.json(&ErrorBody { error })
}
