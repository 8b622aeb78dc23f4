//! Tickets for requests that may not be repeated, and their outcomes.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Answer to `POST /v1/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// Value to send as `Idempotency-Key`.
    pub idempotency_key: String,
    /// How long the ticket is valid for a first attempt.
    pub lifetime_ms: u64,
}

/// Outcome of a request that may not be repeated.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its answer is stored.
    Done,
    /// The request did not run and will never run under this key.
    NotRun,
    /// The request is still running.
    Running,
    /// The request may have run.
    Unknown,
}

/// Answer to `GET /v1/outcomes/{key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeAnswer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status of the stored answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Body of the stored answer, if it is text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// What the caller can do next.
    pub remedy: String,
}
