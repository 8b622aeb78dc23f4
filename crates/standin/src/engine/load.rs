//! Load reports, which are older than they look.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jujubebeam_core::targets::{LoadReport, TargetState};
use ntex::web::HttpResponse;

use super::{Engine, EngineState};
use crate::control::lock;

/// Samples that are kept. At most one is taken per step, so they cover at least eight seconds.
const KEPT_SAMPLES: usize = 1024;

/// Samples of the load with their times.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    samples: VecDeque<(Instant, LoadReport)>,
}

impl Samples {
    fn push(&mut self, report: LoadReport) {
        if self.samples.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.samples.push_back((Instant::now(), report));
        if self.samples.len() > KEPT_SAMPLES {
            self.samples.pop_front();
        }
    }

    fn older_than(&self, lag: Duration) -> Option<LoadReport> {
        let old = |(at, _): &&(Instant, LoadReport)| at.elapsed() >= lag;
        let found = self.samples.iter().rev().find(old);
        let found = found.or_else(|| self.samples.front());
        found.map(|(_, report)| report.clone())
    }
}

impl Engine {
    /// Takes a sample of the load.
    pub(crate) fn sample_load(&self) {
        let report = self.load_now();
        lock(&self.samples).push(report);
    }

    fn load_now(&self) -> LoadReport {
        let leaving = lock(&self.faults).leaving;
        let orders = lock(&self.orders);
        let batch = lock(&self.batch);
        let state = match (leaving, orders.is_away()) {
            (true, _) => TargetState::Leaving,
            (_, true) => TargetState::Changing,
            _ => TargetState::Serving,
        };
        LoadReport {
            incarnation: self.incarnation,
            role: orders.role,
            state,
            models: orders.models.clone(),
            running_requests: batch.running.len() as u32,
            waiting_requests: batch.waiting.len() as u32,
            queued_prompt_tokens: batch.queued_prompt_tokens(),
            running_context_tokens: batch.context_tokens(),
            cache_used_pieces: lock(&self.cache).used() as u32,
            cache_total_pieces: self.config.cache_pieces as u32,
        }
    }
}

/// Handles a question for the load.
pub(crate) async fn read(engine: EngineState) -> HttpResponse {
    engine.sample_load();
    let faults = lock(&engine.faults).clone();
    if faults.load_outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let lag = Duration::from_millis(faults.load_lag_ms);
    HttpResponse::Ok().json(&lock(&engine.samples).older_than(lag))
}
