//! Quotas, and what vms and requests exchange about them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::QuotaConfig;
use crate::VmId;

/// Largest number of tokens in a message. Sums of larger ones would lose precision.
pub(super) const MAX_TOKENS: f64 = 1e12;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    Requests,
    /// Prompt tokens and the largest number of output tokens.
    Tokens {
        /// Tokens of a request that does not state them.
        plain_tokens: u64,
    },
}

/// Quota of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceQuota {
    /// Tokens or requests per second.
    pub rate_per_s: f64,
    /// Tokens or requests that may be spent at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

impl WorkspaceQuota {
    /// Number by which a request counts against the quota.
    pub fn cost(&self, prompt_tokens: Option<u64>, output_tokens: Option<u64>) -> f64 {
        let QuotaUnit::Tokens { plain_tokens } = self.unit else {
            return 1.0;
        };
        match (prompt_tokens, output_tokens) {
            (None, None) => plain_tokens as f64,
            (prompt, output) => prompt.unwrap_or(0) as f64 + output.unwrap_or(0) as f64,
        }
    }

    /// Size of the token bucket for all vms together.
    pub(super) fn bucket_size(&self, config: &QuotaConfig) -> f64 {
        let least = self.rate_per_s * config.min_burst.as_secs_f64();
        self.burst.max(least).max(1.0)
    }

    /// Largest request that is granted. A larger one would exceed the quota by itself, or keep all others
    /// waiting until its tokens have been gained.
    pub(super) fn largest_request(&self, config: &QuotaConfig) -> f64 {
        self.bucket_size(config) + self.rate_per_s * config.longest_debt.as_secs_f64()
    }

    /// Level of the bucket at which a request is granted.
    pub(super) fn needed_level(&self, tokens: f64, config: &QuotaConfig) -> f64 {
        let enough = self.rate_per_s * config.debt_level.as_secs_f64();
        tokens.min(enough.max(1.0))
    }
}

/// Query to the home of a workspace for the tokens of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaQuery {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens of the request.
    pub tokens: f64,
    /// The home, if it does not answer the sender. The receiver is the next one then, and grants
    /// the shares of the vms that ask it.
    #[serde(default)]
    pub silent_home: Option<VmId>,
}

/// The home's reply to a [`QuotaQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// The request may be sent.
    Granted {
        /// Tokens that may be spent in addition.
        extra: f64,
        /// Time for which they may be spent, from the moment of the query.
        extra_for: Duration,
    },
    /// The quota is used up.
    Refused {
        /// Time until capacity is expected.
        retry_after: Duration,
    },
    /// The vm is not the home of the workspace, or cannot tell yet.
    NotHome,
}

/// Tokens of a request that no target ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnedQuota {
    /// Name of the workspace.
    pub workspace: String,
    /// The tokens.
    pub tokens: f64,
}

/// Where the tokens of a request come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum QuotaSource {
    /// The home granted them for this request.
    Home(VmId),
    /// They were part of a lease of this home.
    Lease(VmId),
    /// The share of this vm, because no home answers.
    Share,
}

/// Tokens that a request has spent.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaCharge {
    pub(super) workspace: String,
    pub(super) tokens: f64,
    pub(super) charged_at: Duration,
    /// Where they come from.
    pub source: QuotaSource,
}

/// Result of a request for tokens.
pub type QuotaResult = Result<QuotaCharge, QuotaRefusal>;

/// A refusal because a quota is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Time until capacity is expected.
    pub retry_after: Duration,
    /// Whether the share of this vm was used up, because no home answers.
    pub is_share: bool,
}

/// Tokens that a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaDemand<'a> {
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Quota of the workspace.
    pub quota: WorkspaceQuota,
    /// Tokens of the request.
    pub tokens: f64,
}

/// First step of a request for tokens.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaStep {
    /// The request was decided.
    Done(QuotaResult),
    /// This vm is to be asked.
    Ask(VmId, QuotaQuery),
}

impl QuotaDemand<'_> {
    pub(super) fn charge(&self, source: QuotaSource, now: Duration) -> QuotaCharge {
        QuotaCharge {
            workspace: self.workspace.to_owned(),
            tokens: self.tokens,
            charged_at: now,
            source,
        }
    }
}
