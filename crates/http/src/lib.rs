//! JSON over HTTP for the clients of the platform's services and of targets.
//!
//! The error type distinguishes "nothing was sent" from "no answer", because only in the first case
//! may an error answer to a caller state that the request did not run. See `docs/design.md`, section 5.2.

mod client;
mod error;

pub use client::{HttpClientConfig, JsonClient, JsonResponse, build_client};
pub use error::CallError;
