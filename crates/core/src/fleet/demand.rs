//! Recent demand, and the share of it that a set of roles can serve.

use std::collections::VecDeque;

use super::PlannerConfig;

/// Demand as a number of prefill engines and of decode engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EngineDemand {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl EngineDemand {
    pub(crate) fn total(&self) -> f64 {
        self.prefill + self.decode
    }
}

/// Number of engines per role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Roles {
    pub(crate) prefill: u32,
    pub(crate) decode: u32,
    pub(crate) mixed: u32,
}

/// Samples of demand, newest last. They estimate the range of demand in the near future, so that
/// roles suit both extremes of an oscillating mix.
#[derive(Debug, Default)]
pub(crate) struct History {
    samples: VecDeque<EngineDemand>,
    average_total: f64,
}

impl History {
    pub(crate) fn push(&mut self, demand: EngineDemand, config: &PlannerConfig) {
        let weight = config.sample_interval.as_secs_f64() / config.capacity_window.as_secs_f64();
        self.average_total += weight.min(1.0) * (demand.total() - self.average_total);
        if self.samples.len() >= config.samples {
            self.samples.pop_front();
        }
        self.samples.push_back(demand);
    }

    /// Demand as a number of engines, averaged over the capacity window.
    pub(crate) fn average_total(&self) -> f64 {
        self.average_total
    }

    /// Served demand as a number of engines, averaged over the samples with weights by age.
    pub(crate) fn served(&self, roles: Roles, config: &PlannerConfig) -> f64 {
        let half_lives =
            config.sample_interval.as_secs_f64() / config.sample_half_life.as_secs_f64();
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (age, demand) in self.samples.iter().rev().enumerate() {
            let weight = (-half_lives * age as f64).exp2();
            weights += weight;
            sum += weight * demand.total() * served_share(*demand, roles, config);
        }
        sum / f64::max(weights, f64::MIN_POSITIVE)
    }
}

/// Share of demand that the roles can serve. Mixed engines add capacity to either role, at their
/// lower efficiency.
pub(crate) fn served_share(demand: EngineDemand, roles: Roles, config: &PlannerConfig) -> f64 {
    let mixed = f64::from(roles.mixed) * config.mixed_efficiency;
    let prefill = f64::from(roles.prefill);
    let decode = f64::from(roles.decode);
    let limit = |capacity: f64, needed: f64| {
        if needed > 0.0 {
            capacity / needed
        } else {
            f64::MAX
        }
    };
    let scale = limit(prefill + mixed, demand.prefill)
        .min(limit(decode + mixed, demand.decode))
        .min(limit(prefill + decode + mixed, demand.total()));
    (scale / (1.0 + config.headroom)).min(1.0)
}
