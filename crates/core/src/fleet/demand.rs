//! Recent demand and what a set of roles can serve of it.

use std::collections::VecDeque;

use super::PlannerConfig;

/// Demand in engines that do only prefill and only decode.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Need {
    pub(crate) prefill: f64,
    pub(crate) decode: f64,
}

impl Need {
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

/// Samples of demand, the newest last. They stand for what demand can be in the near future, so
/// that a mix that swings back and forth is planned for as a whole.
#[derive(Debug, Default)]
pub(crate) struct History {
    samples: VecDeque<Need>,
    average_total: f64,
}

impl History {
    pub(crate) fn push(&mut self, need: Need, config: &PlannerConfig) {
        let weight = config.sample_interval.as_secs_f64() / config.capacity_window.as_secs_f64();
        self.average_total += weight.min(1.0) * (need.total() - self.average_total);
        if self.samples.len() >= config.samples {
            self.samples.pop_front();
        }
        self.samples.push_back(need);
    }

    /// Demand in engines, averaged over the capacity window.
    pub(crate) fn average_total(&self) -> f64 {
        self.average_total
    }

    /// Engines' worth of work that the roles serve, averaged over the samples by age.
    pub(crate) fn served(&self, roles: Roles, config: &PlannerConfig) -> f64 {
        let half_lives =
            config.sample_interval.as_secs_f64() / config.sample_half_life.as_secs_f64();
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (age, need) in self.samples.iter().rev().enumerate() {
            let weight = (-half_lives * age as f64).exp2();
            weights += weight;
            sum += weight * need.total() * served_share(*need, roles, config);
        }
        sum / f64::max(weights, f64::MIN_POSITIVE)
    }
}

/// Share of demand that the roles can serve. Mixed engines fill in where they are needed, at their
/// lower efficiency.
pub(crate) fn served_share(need: Need, roles: Roles, config: &PlannerConfig) -> f64 {
    let mixed = f64::from(roles.mixed) * config.mixed_efficiency;
    let prefill = f64::from(roles.prefill);
    let decode = f64::from(roles.decode);
    let limit = |capacity: f64, need: f64| {
        if need > 0.0 {
            capacity / need
        } else {
            f64::MAX
        }
    };
    let scale = limit(prefill + mixed, need.prefill)
        .min(limit(decode + mixed, need.decode))
        .min(limit(prefill + decode + mixed, need.total()));
    (scale / (1.0 + config.headroom)).min(1.0)
}
