//! Names of request and answer headers beyond standard HTTP.

/// Key of the caller, as an alternative to `Authorization: Bearer`.
pub const API_KEY: &str = "x-api-key";
/// Marks a request that may run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifies the request in answers and logs.
pub const REQUEST_ID: &str = "x-request-id";
/// Identifies one attempt at a target. The target returns it in its answer.
pub const ATTEMPT: &str = "x-jujubebeam-attempt";
/// Time within which the caller wants the first token, in milliseconds.
pub const DEADLINE_MS: &str = "x-jujubebeam-deadline-ms";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
