//! Model of output lengths per workspace and route, learned from answers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{RouteId, WorkspaceId};

/// Number of histogram buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of histogram buckets, which cover lengths up to 2^18 tokens.
const BUCKETS: usize = 73;

/// Configuration of the length model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LengthConfig {
    /// Factor by which the weight of older answers decays with each new answer.
    pub decay: f64,
    /// Total weight below which the lengths of the route are used instead of the workspace's own.
    pub trusted_weight: f64,
    /// Length that is assumed for a route without answers.
    pub initial_tokens: u64,
}

impl Default for LengthConfig {
    fn default() -> Self {
        Self {
            decay: 0.99,
            trusted_weight: 8.0,
            initial_tokens: 256,
        }
    }
}

#[derive(Clone, Debug)]
struct Histogram {
    weights: [f64; BUCKETS],
    total: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl Histogram {
    fn add(&mut self, tokens: u64, decay: f64) {
        for weight in &mut self.weights {
            *weight *= decay;
        }
        self.total = self.total * decay + 1.0;
        self.weights[bucket_index(tokens)] += 1.0;
    }

    fn quantile(&self, q: f64) -> u64 {
        let mut remaining = self.total * q.clamp(0.0, 1.0);
        let mut last = 0;
        for (i, weight) in self.weights.iter().enumerate() {
            if *weight <= 0.0 {
                continue;
            }
            last = i;
            remaining -= weight;
            if remaining <= 0.0 {
                break;
            }
        }
        // Rounding errors can leave a remainder after the last bucket in use.
        bucket_midpoint(last)
    }

    fn mean(&self) -> f64 {
        let sum: f64 = self
            .weights
            .iter()
            .enumerate()
            .map(|(i, w)| w * bucket_midpoint(i) as f64)
            .sum();
        sum / self.total.max(f64::MIN_POSITIVE)
    }
}

/// Model of output lengths, which also measures its own error.
#[derive(Clone, Debug, Default)]
pub struct LengthModel {
    config: LengthConfig,
    workspaces: BTreeMap<(WorkspaceId, RouteId), Histogram>,
    routes: BTreeMap<RouteId, Histogram>,
    error: f64,
    answers: u64,
}

impl LengthModel {
    /// Creates an empty model.
    pub fn new(config: LengthConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Adds the length of a complete answer.
    pub fn observe(&mut self, workspace: WorkspaceId, route: RouteId, output_tokens: u64) {
        let predicted = self.quantile(workspace, route, 0.5).max(1) as f64;
        let log_error = (predicted / output_tokens.max(1) as f64).ln().abs();
        self.answers += 1;
        let weight = (1.0 - self.config.decay).max(1.0 / self.answers as f64);
        self.error += weight * (log_error - self.error);
        let decay = self.config.decay;
        self.workspaces
            .entry((workspace, route))
            .or_default()
            .add(output_tokens, decay);
        self.routes
            .entry(route)
            .or_default()
            .add(output_tokens, decay);
    }

    /// Returns the quantile `q` of the lengths, from 0 to 1.
    pub fn quantile(&self, workspace: WorkspaceId, route: RouteId, q: f64) -> u64 {
        self.histogram(workspace, route)
            .map_or(self.config.initial_tokens, |h| h.quantile(q))
    }

    /// Returns the mean length.
    pub fn mean(&self, workspace: WorkspaceId, route: RouteId) -> f64 {
        self.histogram(workspace, route)
            .map_or(self.config.initial_tokens as f64, Histogram::mean)
    }

    /// Returns the moving average of `|ln(predicted median / actual length)|`.
    pub fn error(&self) -> f64 {
        self.error
    }

    fn histogram(&self, workspace: WorkspaceId, route: RouteId) -> Option<&Histogram> {
        let own = self.workspaces.get(&(workspace, route));
        if let Some(own) = own.filter(|h| h.total >= self.config.trusted_weight) {
            return Some(own);
        }
        self.routes.get(&route)
    }
}

fn bucket_index(tokens: u64) -> usize {
    let position = (tokens.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (position.round() as usize).min(BUCKETS - 1)
}

fn bucket_midpoint(bucket: usize) -> u64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2().round() as u64
}
