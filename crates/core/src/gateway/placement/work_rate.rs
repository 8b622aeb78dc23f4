//! Expected time of work at targets that state how long work takes there at the moment.
//!
//! Two effects are told apart, because they last for different times. The stated figure explains
//! changes within seconds, which are exact when an answer arrives and of little use soon after. What
//! the figures do not explain is the speed of the server itself, which lasts as long as its run. The
//! expected factor is the product of both, so it does not matter whether the figure of a slow server
//! already contains its own speed. The alternatives are discussed in
//! `docs/design/uneven-targets.md`.

use std::time::Duration;

use super::load::LoadReport;
use super::prefill_cost::SLOWNESS_BOUNDS;
use super::{Placement, Placer};
use crate::gateway::catalog::TargetKey;

/// Time over which the usual figure of a target is averaged, in seconds. Figures change several
/// times per second, so the mean of ten seconds differs little from that of a longer time, and a
/// target that has not been heard of for that long is tried again.
const USUAL_AVERAGING_S: f64 = 10.0;

/// Weight of the mean of all targets in the usual figure of one, in seconds, and of the figure 100 in
/// that mean. It outweighs a few spans of slow work, and is all that remains of a target that has not
/// been heard of for long.
const USUAL_PRIOR_S: f64 = 2.0;

/// Longest time for which a figure counts in the usual figure of its target, in seconds. A later
/// figure says nothing about the time before it.
const MAX_COUNTED_S: f64 = 1.0;

/// Factor on the work of a target by its last figures and its own answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkRate {
    /// Last figure, relative to the usual time, and when it was stated.
    last: Option<(f64, Duration)>,
    /// Sum of the figures, each weighted by the time for which it was the last one, in seconds.
    sum_s: f64,
    /// Sum of these weights, in seconds.
    time_s: f64,
    own: OwnSpeed,
}

impl WorkRate {
    /// Records a figure, relative to the usual time. Reports may arrive in another order than the
    /// answers that they belong to; an earlier figure is not used.
    pub(super) fn record(&mut self, figure: f64, all: &mut FigureStatistics, now: Duration) {
        let Some((last, at)) = self.last else {
            self.last = Some((figure, now));
            return;
        };
        let Some(age) = now.checked_sub(at) else {
            return;
        };
        let usual = self.usual(all, age);
        all.record_change(last - usual, figure - usual, age);
        let kept = kept_weight(age);
        let counted_s = age.as_secs_f64().min(MAX_COUNTED_S);
        self.sum_s = self.sum_s * kept + last * counted_s;
        self.time_s = self.time_s * kept + counted_s;
        all.record_mean(last, counted_s);
        self.last = Some((figure, now));
    }

    /// Factor on the usual time of work, or `None` if the target states no figures.
    pub(super) fn factor(&self, all: &FigureStatistics, now: Duration) -> Option<f64> {
        let (_, at) = self.last?;
        let own = self.own.factor(now.saturating_sub(at));
        let factor = own * self.figure(all, now);
        Some(factor.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1))
    }

    /// Expected figure, which is 1 for a target that states none.
    pub(super) fn figure(&self, all: &FigureStatistics, now: Duration) -> f64 {
        let Some((last, at)) = self.last else {
            return 1.0;
        };
        let age = now.saturating_sub(at);
        let usual = self.usual(all, age);
        usual + (last - usual) * all.remaining(age)
    }

    /// Usual figure of the target, or 0 if it states none.
    pub(super) fn usual_at(&self, all: &FigureStatistics, now: Duration) -> f64 {
        let age = |at| now.saturating_sub(at);
        self.last.map_or(0.0, |(_, at)| self.usual(all, age(at)))
    }

    /// Learns the target's own speed from work that took `took_ms` net of the figure and should have
    /// taken `expected_ms`.
    pub(super) fn learn_own_speed(&mut self, expected_ms: f64, took_ms: f64) {
        if expected_ms > 0.0 {
            let took_ms = took_ms.min(MAX_TIME_RATIO * expected_ms);
            self.own.update(expected_ms, took_ms);
        }
    }

    /// Mean of the figures, for a target whose last one has the given age.
    fn usual(&self, all: &FigureStatistics, age: Duration) -> f64 {
        let kept = kept_weight(age);
        let prior_s = USUAL_PRIOR_S * all.mean();
        (self.sum_s * kept + prior_s) / (self.time_s * kept + USUAL_PRIOR_S)
    }
}

/// Weight that earlier figures keep in the usual figure.
fn kept_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / USUAL_AVERAGING_S).exp()
}

/// Time over which figures are assumed to change until this has been learned, in seconds. It is the
/// lifetime of the other numbers of a load report.
const PRIOR_CHANGE_S: f64 = 0.4;

/// Weight of this assumption: the time for which a target that takes twice as long as usual is
/// observed, in seconds.
const PRIOR_OBSERVED_S: f64 = 0.5;

/// Bounds of the learned time, in seconds. A shorter one could not be told from the time of an
/// answer; a longer one is that of the usual figure.
const CHANGE_BOUNDS_S: (f64, f64) = (0.05, USUAL_AVERAGING_S);

/// Longest time between two figures from which changes are learned, in seconds. With rare figures,
/// all that is seen is that they have changed at some time in between.
const MAX_OBSERVED_S: f64 = 0.3;

/// Factor on the weight of older observations when a new one arrives. Two thousand figures, which the
/// owner of a service hears within seconds under load, contain a few dozen changes.
const OBSERVED_DECAY: f64 = 0.9995;

/// Mean of the figures of all targets, and how fast they move back to the usual ones, learned from
/// pairs of consecutive figures of the same target.
///
/// The rate is that at which a deviation from the usual figure shrinks on average. Large deviations
/// have the largest weight, because they matter for decisions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FigureStatistics {
    /// Sum of squared deviations that were lost from one figure to the next.
    lost: f64,
    /// Sum of squared deviations times the seconds until the next figure.
    observed_s: f64,
    /// Sum of the figures, each weighted by the time for which it was the last one, in seconds.
    sum_s: f64,
    /// Sum of these weights, in seconds.
    time_s: f64,
}

impl FigureStatistics {
    fn record_mean(&mut self, figure: f64, counted_s: f64) {
        self.sum_s = self.sum_s * OBSERVED_DECAY + figure * counted_s;
        self.time_s = self.time_s * OBSERVED_DECAY + counted_s;
    }

    /// Mean of the figures of all targets, which is 1 if none states any.
    pub(super) fn mean(&self) -> f64 {
        (self.sum_s + USUAL_PRIOR_S) / (self.time_s + USUAL_PRIOR_S)
    }

    /// Records the deviations of two consecutive figures of one target.
    fn record_change(&mut self, before: f64, after: f64, age: Duration) {
        let age_s = age.as_secs_f64();
        if age_s > MAX_OBSERVED_S {
            return;
        }
        self.lost = self.lost * OBSERVED_DECAY + before * (before - after);
        self.observed_s = self.observed_s * OBSERVED_DECAY + before * before * age_s;
    }

    /// Time after which a deviation has shrunk to 1/e, in seconds.
    pub(super) fn change_s(&self) -> f64 {
        let lost = self.lost + PRIOR_OBSERVED_S / PRIOR_CHANGE_S;
        let change_s = (self.observed_s + PRIOR_OBSERVED_S) / lost.max(f64::MIN_POSITIVE);
        change_s.clamp(CHANGE_BOUNDS_S.0, CHANGE_BOUNDS_S.1)
    }

    /// Share of a deviation that is expected to remain after a time.
    fn remaining(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.change_s()).exp()
    }
}

/// Factor on the weight of older answers when a new one arrives. The speed of a server lasts as long
/// as its run; twenty answers average out prompts that were wrongly expected to be cached, and still
/// follow a slowdown that the figures do not show within a second under load.
const OWN_SPEED_DECAY: f64 = 0.95;

/// Weight of the usual speed, in answers. Work takes from milliseconds to seconds, so a weight in
/// milliseconds would be too much for one service or too little for another.
const OWN_SPEED_PRIOR_ANSWERS: f64 = 2.0;

/// Time without a figure over which the own speed is forgotten, in seconds. A target that seems slow
/// gets no work while others are idle, so it could otherwise never show that this was wrong.
const OWN_SPEED_SILENCE_S: f64 = 30.0;

/// Longest time of one answer that counts, as a multiple of the expected time. One stalled request
/// would otherwise outweigh all others.
const MAX_TIME_RATIO: f64 = 5.0;

/// A target's own speed, as a factor on the usual time of its work. Each answer is weighted by its
/// work, because short work is a poor measure of speed.
#[derive(Clone, Copy, Debug, Default)]
struct OwnSpeed {
    took_ms: f64,
    expected_ms: f64,
    answers: f64,
}

impl OwnSpeed {
    fn update(&mut self, expected_ms: f64, took_ms: f64) {
        for (sum, new) in [
            (&mut self.took_ms, took_ms.max(0.0)),
            (&mut self.expected_ms, expected_ms),
            (&mut self.answers, 1.0),
        ] {
            *sum = *sum * OWN_SPEED_DECAY + new;
        }
    }

    /// Factor for a target whose last figure has the given age.
    fn factor(&self, age: Duration) -> f64 {
        if self.expected_ms <= 0.0 {
            return 1.0;
        }
        let prior_ms = self.expected_ms / self.answers * OWN_SPEED_PRIOR_ANSWERS;
        let factor = (self.took_ms + prior_ms) / (self.expected_ms + prior_ms);
        1.0 + (factor - 1.0) * (-age.as_secs_f64() / OWN_SPEED_SILENCE_S).exp()
    }
}

/// Largest number of answers over which the time of a plain service is averaged.
const SERVICE_TIME_ANSWERS: u32 = 50;

/// Number of answers from which on the longest times are cut.
const MIN_AVERAGED_ANSWERS: u32 = 5;

/// Mean time of the requests of a plain service, net of the figures of its targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    pub(super) mean_ms: f64,
    answers: u32,
}

impl ServiceTime {
    /// Records a request that did not wait at its target.
    pub(super) fn record(&mut self, took_ms: f64) {
        let longest_ms = match self.answers < MIN_AVERAGED_ANSWERS {
            true => f64::MAX,
            false => MAX_TIME_RATIO * self.mean_ms,
        };
        self.answers = (self.answers + 1).min(SERVICE_TIME_ANSWERS);
        self.mean_ms += (took_ms.min(longest_ms) - self.mean_ms) / f64::from(self.answers);
    }
}

impl Placer {
    /// Time after which a deviation of a stated figure from the usual one has shrunk to 1/e, as
    /// learned from the figures of all targets.
    pub fn figure_change_time(&self) -> Duration {
        Duration::from_secs_f64(self.figure_statistics.change_s())
    }

    /// Usual time of a request to a plain service, or 0 if its targets state no figures.
    pub(super) fn service_ms(&self, service: &str) -> f64 {
        let time = self.service_times.get(service);
        time.map_or(0.0, |time| time.mean_ms)
    }

    /// Records the figure of a load report.
    pub(super) fn record_figure(
        &mut self,
        key: TargetKey,
        report: Option<LoadReport>,
        now: Duration,
    ) {
        let figure = report.and_then(LoadReport::work_figure);
        if let (Some(figure), Some(state)) = (figure, self.states.get_mut(&key)) {
            state
                .work_rate
                .record(figure, &mut self.figure_statistics, now);
        }
    }

    /// Records the time of an answer of a plain service that states figures. Answers of requests
    /// that waited would make the work look longer.
    pub(super) fn record_service_time(
        &mut self,
        placed: &Placement,
        report: Option<LoadReport>,
        took_ms: f64,
    ) {
        let unqueued = report.filter(|report| report.waiting == 0);
        let Some(figure) = unqueued.and_then(LoadReport::work_figure) else {
            return;
        };
        if placed.target.stage.is_some() {
            return;
        }
        let service = placed.target.service.clone();
        let time = self.service_times.entry(service).or_default();
        let usual_ms = took_ms / figure;
        time.record(usual_ms);
        let expected_ms = time.mean_ms;
        if let Some(state) = self.states.get_mut(&placed.key) {
            state.work_rate.learn_own_speed(expected_ms, usual_ms);
        }
    }
}
