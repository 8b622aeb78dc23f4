//! Policies to compare with: no queue, no admission, no learning.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubebeam_core::TargetId;
use jujubebeam_core::targets::{LoadReport, Role, TargetState};
use rand::Rng;
use rand::rngs::SmallRng;

use super::scenario::Policy;

/// Dispatcher of one vm.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: Policy,
    reports: BTreeMap<TargetId, LoadReport>,
    next: usize,
    rng: SmallRng,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, rng: SmallRng) -> Self {
        Self {
            policy,
            reports: BTreeMap::new(),
            next: 0,
            rng,
        }
    }

    pub(crate) fn hear_report(&mut self, target: TargetId, report: LoadReport, _now: Duration) {
        self.reports.insert(target, report);
    }

    pub(crate) fn lose(&mut self, target: TargetId) {
        self.reports.remove(&target);
    }

    /// Engine for the prompt, and engine for the answer if it is another one.
    pub(crate) fn choose(&mut self) -> Option<(TargetId, Option<TargetId>)> {
        if self.policy == Policy::RoundRobin {
            let open: Vec<_> = self.open(|_| true).map(|(id, _)| id).collect();
            self.next += 1;
            return Some((*open.get(self.next % open.len().max(1))?, None));
        }
        let prompt = self.least(|r| r.role != Role::Decode, |r| r.queued_prompt_tokens)?;
        let role = self.reports.get(&prompt)?.role;
        if role == Role::Mixed {
            let target = self.least(
                |_| true,
                |r| u64::from(r.running_requests + r.waiting_requests),
            )?;
            return Some((target, None));
        }
        let decode = self.least(
            |r| r.role == Role::Decode,
            |r| u64::from(r.running_requests),
        )?;
        Some((prompt, Some(decode)))
    }

    fn open(
        &self,
        fits: impl Fn(&LoadReport) -> bool,
    ) -> impl Iterator<Item = (TargetId, &LoadReport)> {
        self.reports
            .iter()
            .filter(move |(_, r)| r.state == TargetState::Serving && fits(r))
            .map(|(id, r)| (*id, r))
    }

    /// Engine with the least load; ties are broken at random.
    fn least(
        &mut self,
        fits: impl Fn(&LoadReport) -> bool,
        load: impl Fn(&LoadReport) -> u64,
    ) -> Option<TargetId> {
        let least = self.open(&fits).map(|(_, r)| load(r)).min()?;
        let ties: Vec<_> = self
            .open(&fits)
            .filter(|(_, r)| load(r) == least)
            .map(|(id, _)| id)
            .collect();
        Some(ties[self.rng.random_range(0..ties.len())])
    }
}
