//! Load of one target as estimated by a vm, from its own requests, the target's load reports and
//! the times of its answers.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::prefill_cost::Slowness;
use super::queue::PromptQueue;
use super::work_rate::WorkRate;
use crate::gateway::catalog::Stage;

/// Age at which a load report is no longer used. Queues of a few milliseconds have been processed
/// many times by then.
const REPORT_LIFETIME: Duration = Duration::from_millis(400);

/// Figure of a target whose work takes as long as usual.
const USUAL_PERCENT: f64 = 100.0;

/// Load that a target reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual time. Most targets do not state
    /// it, and earlier vms can neither send nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_percent: Option<u32>,
}

impl LoadReport {
    /// Figures of [`LoadReport::work_percent`] that are used. Beyond them, the figure is wrong, or the
    /// target answers so rarely that its missing answers are the better signal.
    pub const PLAUSIBLE_WORK_PERCENT: RangeInclusive<u32> = 10..=1000;

    /// Time of work relative to the usual time, if the target states a plausible figure. Reports
    /// also arrive from other vms, which may have other bounds.
    pub(super) fn work_figure(self) -> Option<f64> {
        let percent = self.work_percent?;
        let is_plausible = Self::PLAUSIBLE_WORK_PERCENT.contains(&percent);
        is_plausible.then_some(f64::from(percent) / USUAL_PERCENT)
    }
}

/// Number of this vm's requests at a target for which they predict the target's load as well as the
/// mean of all targets does. The number of a vm's requests at one target varies randomly by its
/// square root, while the loads of targets differ by about half of their mean (1.3 times the mean
/// at the busiest target in simulations), so both errors are equal at four requests.
const REPRESENTATIVE_REQUESTS: f64 = 4.0;

/// Load of a target as estimated by one vm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExpectedLoad {
    /// Number of requests of all vms.
    pub(super) in_flight: f64,
    /// Prompt tokens of other vms that are not computed yet.
    pub(super) tokens_of_others: f64,
}

/// Mean load of this vm at the targets of a group, from which the load of other vms is estimated.
///
/// In a fleet of dozens of vms, each vm has less than one request at a target, and mostly none.
/// Used as a sample of a single target's load, this would predict no wait at any target, while the
/// sum over all targets is a good estimate of their total load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupLoad {
    mean: LoadAverage,
    /// Load of other vms as a multiple of this vm's load.
    others: f64,
}

impl GroupLoad {
    /// Averages the states of a group's targets. Targets without a state have no load.
    pub(super) fn new<'a>(
        states: impl Iterator<Item = Option<&'a TargetState>>,
        others: f64,
        now: Duration,
    ) -> Self {
        let mut mean = LoadAverage::default();
        let mut count = 0.0;
        for state in states {
            let average = state.map_or(LoadAverage::default(), |state| state.average(now));
            mean.in_flight += average.in_flight;
            mean.pending_tokens += average.pending_tokens;
            count += 1.0;
        }
        mean.in_flight /= f64::max(count, 1.0);
        mean.pending_tokens /= f64::max(count, 1.0);
        Self { mean, others }
    }

    /// Estimated load of a target of the group.
    pub(super) fn expected(&self, state: Option<&TargetState>, now: Duration) -> ExpectedLoad {
        let own = state.map_or(LoadAverage::default(), |state| state.average(now));
        let part = self.mean.in_flight / (self.mean.in_flight + REPRESENTATIVE_REQUESTS);
        let blend = |own: f64, mean: f64| self.others * (part * own + (1.0 - part) * mean);
        let in_flight = state.map_or(0, |state| state.in_flight);
        ExpectedLoad {
            in_flight: f64::from(in_flight) + blend(own.in_flight, self.mean.in_flight),
            tokens_of_others: blend(own.pending_tokens, self.mean.pending_tokens),
        }
    }
}

/// Load of one target as seen by a vm.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    /// Number of this vm's requests at the target.
    pub(super) in_flight: u32,
    /// This vm's prompts that the target has not computed yet.
    pub(super) queue: PromptQueue,
    /// Speed of an engine relative to the others of its service, if it states no figures.
    pub(super) slowness: Slowness,
    /// Recent averages of requests and prompt tokens. Other vms get similar requests; see
    /// [`GroupLoad`].
    average: LoadAverage,
    averaging_time: Duration,
    pub(super) report: Option<(LoadReport, Duration)>,
    /// Time that the last answer took beyond its own work, in milliseconds, and when it arrived.
    pub(super) delay: Option<(f64, Duration)>,
    /// When the first request after the target's last answer was sent.
    pub(super) unanswered_since: Option<Duration>,
    /// Weighted share of recent attempts that failed.
    pub(super) failure_rate: f64,
    pub(super) ejections: u32,
    pub(super) avoided_until: Duration,
    /// Time until which the target accepts no work from this vm.
    pub(super) backoff_until: Duration,
    /// Whether the target limits its requests per second.
    pub(super) is_limited: bool,
    /// Time until which no permit for the target is expected to be available.
    pub(super) held_until: Duration,
    /// Refusals since the last answer.
    pub(super) refusals: u32,
    /// Stage that the engine was ordered to take, and until when the change is assumed to be
    /// pending.
    pub(super) changing: Option<(Stage, Duration)>,
    /// Speed by the figures that the target states.
    pub(super) work_rate: WorkRate,
}

/// Exponentially weighted averages over time.
#[derive(Clone, Copy, Debug, Default)]
struct LoadAverage {
    in_flight: f64,
    pending_tokens: f64,
    at: Duration,
}

/// Averaging time for the load of engines. In `gateway_burst`, 50 ms serves more callers in time
/// than 150 or 300 ms: a prompt waits about that long, so older load has already been processed.
const ENGINE_AVERAGING_TIME: Duration = Duration::from_millis(50);

/// Averaging time for the load of plain services. A vm of a large fleet sends such a service a few
/// requests of some milliseconds per second. With 50 ms, one of them counted as dozens and callers
/// were refused although the targets were idle.
const SERVICE_AVERAGING_TIME: Duration = Duration::from_secs(1);

impl LoadAverage {
    fn advance(&mut self, over: Duration, in_flight: u32, pending_tokens: u64, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let part = 1.0 - (-passed / over.as_secs_f64()).exp();
        self.in_flight += (f64::from(in_flight) - self.in_flight) * part;
        self.pending_tokens += (pending_tokens as f64 - self.pending_tokens) * part;
        self.at = now;
    }
}

impl TargetState {
    /// State of a target to which this vm has sent no requests.
    pub(super) fn new(stage: Option<Stage>) -> Self {
        Self {
            averaging_time: match stage {
                Some(_) => ENGINE_AVERAGING_TIME,
                None => SERVICE_AVERAGING_TIME,
            },
            ..Self::default()
        }
    }

    /// Updates the averages up to `now`. Must be called before the counts change.
    pub(super) fn advance(&mut self, now: Duration) {
        let tokens = self.queue.tokens();
        self.average
            .advance(self.averaging_time, self.in_flight, tokens, now);
    }

    /// Average load of this vm at the target.
    fn average(&self, now: Duration) -> LoadAverage {
        let mut average = self.average;
        let tokens = self.queue.tokens();
        average.advance(self.averaging_time, self.in_flight, tokens, now);
        average
    }

    pub(super) fn report(&self, now: Duration) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now < at + REPORT_LIFETIME).then_some(report)
    }

    /// The last report, however old, and its age.
    pub(super) fn last_report(&self, now: Duration) -> Option<(LoadReport, Duration)> {
        let (report, at) = self.report?;
        Some((report, now.saturating_sub(at)))
    }

    /// Wait of the last answer, which decays with its age. Otherwise a vm that refuses all requests
    /// because of it would never find out that the queue has emptied.
    pub(super) fn delay_ms(&self, now: Duration) -> f64 {
        let Some((delay_ms, at)) = self.delay else {
            return 0.0;
        };
        let age = now.saturating_sub(at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        delay_ms * (1.0 - age).max(0.0)
    }

    pub(super) fn is_unresponsive(&self, after: Duration, now: Duration) -> bool {
        self.unanswered_since.is_some_and(|at| now > at + after)
    }
}
