//! Figures of the engine model and of the fleet.

use std::time::Duration;

use jujubebeam_core::targets::EngineRates;

/// Figures of one mid-size engine and of the fleet around it. Plausible values, not measurements of
/// a product.
#[derive(Clone, Debug)]
pub(crate) struct Figures {
    /// Prefill rate, decode step and KV cache transfer.
    pub(crate) rates: EngineRates,
    /// Prompt tokens per step of an engine that has nothing to decode.
    pub(crate) prefill_step_tokens: f64,
    /// Pieces of the prefix cache per engine.
    pub(crate) cache_pieces: usize,
    /// Largest deviation of one engine's speed from the average.
    pub(crate) speed_spread: f64,
    /// Time that an engine is away during a role change.
    pub(crate) role_change: Duration,
    /// Time between two load reports.
    pub(crate) report_interval: Duration,
    /// Age of a load report when vms get it.
    pub(crate) report_lag: Duration,
    /// Share of cache events that are lost.
    pub(crate) lost_events: f64,
    /// Time of a message between vms.
    pub(crate) gossip_delay: Duration,
    /// Number of vms.
    pub(crate) vms: usize,
    /// Number of zones.
    pub(crate) zones: u16,
    /// Number of engines at the start.
    pub(crate) engines: usize,
    /// Time from an order to a serving engine.
    pub(crate) start: Duration,
    /// Aim for the first token.
    pub(crate) first_token: Duration,
    /// Time without a first token after which a caller gives up, whatever the policy.
    pub(crate) patience: Duration,
    /// Aim for the mean time between tokens of an answer.
    pub(crate) token_interval: Duration,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            rates: EngineRates::default(),
            prefill_step_tokens: 2048.0,
            cache_pieces: 512,
            speed_spread: 0.05,
            role_change: Duration::from_secs(5),
            report_interval: Duration::from_millis(500),
            report_lag: Duration::from_millis(700),
            lost_events: 0.02,
            gossip_delay: Duration::from_millis(2),
            vms: 6,
            zones: 3,
            engines: 10,
            start: Duration::from_secs(60),
            first_token: Duration::from_millis(1200),
            patience: Duration::from_secs(10),
            token_interval: Duration::from_millis(56),
        }
    }
}
