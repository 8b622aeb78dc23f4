//! JSON over HTTP for the clients of the platform's services and of targets.
//!
//! The error type separates "nothing was sent" from "no answer", because a caller may only be told
//! "not run" in the first case. See `docs/design.md`, section 5.2.

mod client;
mod error;

pub use client::{HttpClientConfig, JsonClient, JsonResponse, build_client};
pub use error::CallError;
