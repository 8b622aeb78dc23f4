//! Counters and latency histograms, served in text format. Labels only have values from small fixed
//! sets; routes, tenants and requests are found in the log.

use std::sync::Arc;
use std::time::Duration;

use jujubebeam_core::gateway::LoadReport;
use ntex::web::HttpResponse;
use ntex::web::types::State;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::caller_memory::CallerMemoryMetrics;
use crate::state::Shared;

/// Bucket bounds of the latency histogram in seconds, around latency aims of 100 to 200 ms and
/// deadlines of 1.5 to 15 s.
const LATENCY_BOUNDS_S: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0];

/// Bucket bounds of the figures of targets in percent, around the usual 100.
const WORK_BOUNDS_PERCENT: [f64; 8] = [50.0, 75.0, 100.0, 125.0, 150.0, 200.0, 300.0, 500.0];

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    ended: IntCounterVec,
    latency: HistogramVec,
    attempts_failed: IntCounterVec,
    placed: IntCounterVec,
    duties: IntCounterVec,
    notices: IntCounterVec,
    limited_sends: IntCounterVec,
    permits: IntCounterVec,
    refreshes: IntCounterVec,
    quotas: IntCounterVec,
    taken_up: IntCounterVec,
    taken_up_ended: IntCounterVec,
    passed_on: IntCounterVec,
    link_tests: IntCounterVec,
    hand_overs: IntCounterVec,
    slow_links: IntGauge,
    /// Failed list and watch calls of the replicas.
    pub(crate) store_failures: IntCounter,
    /// Version of the settings in force.
    pub(crate) settings_version: IntGauge,
    /// Number of known targets.
    pub(crate) targets: IntGauge,
    /// What connections of callers hold.
    pub(crate) caller_memory: CallerMemoryMetrics,
    work_percent: Histogram,
    /// Time in which the figures of targets change, in milliseconds.
    pub(crate) work_change_ms: IntGauge,
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Panics
    ///
    /// Does not panic: the names and labels are valid and unique constants, which a test registers.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("the name is a constant");
            registry
                .register(Box::new(counter.clone()))
                .expect("the name is unique");
            counter
        };
        let ended = counter(
            "jujubebeam_requests_ended_total",
            "Requests by kind and how they ended",
            &["kind", "outcome"],
        );
        let attempts_failed = counter(
            "jujubebeam_attempts_failed_total",
            "Attempts at targets that gave no answer, by how they ended",
            &["end"],
        );
        let placed = counter(
            "jujubebeam_engine_requests_placed_total",
            "Requests to engines by path",
            &["path"],
        );
        let duties = counter(
            "jujubebeam_duties_total",
            "Calls and orders that one vm at a time gives",
            &["duty", "accepted"],
        );
        let notices = counter(
            "jujubebeam_target_notices_total",
            "What targets said of themselves with their answers",
            &["notice"],
        );
        let limited_sends = counter(
            "jujubebeam_limited_target_requests_total",
            "Requests sent to targets that limit their requests per second, by work",
            &["work"],
        );
        let permits = counter(
            "jujubebeam_permits_total",
            "Queries for permits to send to limited targets, by outcome",
            &["outcome"],
        );
        let refreshes = counter(
            "jujubebeam_replica_refreshes_total",
            "Queries to watchers and reads of the store because of the age of a replica",
            &["replica", "step"],
        );
        let quotas = counter(
            "jujubebeam_quota_requests_total",
            "Requests of workspaces with a quota, by outcome",
            &["outcome"],
        );
        let taken_up = counter(
            "jujubebeam_taken_up_streams_total",
            "Streams that callers took up, by whether the version that began them is known",
            &["outcome"],
        );
        let taken_up_ended = counter(
            "jujubebeam_taken_up_streams_ended_total",
            "Streams that callers took up, by how the request ended",
            &["outcome"],
        );
        let passed_on = counter(
            "jujubebeam_passed_on_total",
            "Attempts to pass a request on to another vm, by outcome",
            &["outcome"],
        );
        let link_tests = counter(
            "jujubebeam_link_tests_total",
            "Tests of the links to a service, by whether a target was reached",
            &["reached"],
        );
        let hand_overs = counter(
            "jujubebeam_hand_overs_total",
            "Hand-overs of prompts that this vm owns, by what they showed about links",
            &["finding"],
        );
        let latency = HistogramOpts::new(
            "jujubebeam_request_seconds",
            "Time from arrival to the end of the answer",
        );
        let latency = HistogramVec::new(latency.buckets(LATENCY_BOUNDS_S.to_vec()), &["outcome"])
            .expect("the name is a constant");
        let store_failures =
            IntCounter::new("jujubebeam_store_failures_total", "Failed store calls")
                .expect("the name is a constant");
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is a constant");
            registry
                .register(Box::new(gauge.clone()))
                .expect("the name is unique");
            gauge
        };
        let settings_version = gauge("jujubebeam_settings_version", "Settings in force");
        let targets = gauge("jujubebeam_targets", "Targets that are known");
        let caller_memory = CallerMemoryMetrics {
            cuts: counter(
                "jujubebeam_caller_cuts_total",
                "Connections closed and bodies refused because of the memory or descriptors they take",
                &["cut"],
            ),
            held_bytes: gauge(
                "jujubebeam_caller_memory_bytes",
                "Memory that connections hold",
            ),
            connections: gauge("jujubebeam_caller_connections", "Open connections"),
        };
        let slow_links = gauge(
            "jujubebeam_slow_links",
            "Slow links between engines of services that this vm owns",
        );
        let work_change_ms = gauge(
            "jujubebeam_target_work_change_ms",
            "Learned time in which the stated work times of targets change",
        );
        let work_percent = HistogramOpts::new(
            "jujubebeam_target_work_percent",
            "Stated times of work in percent of the usual ones, by answer",
        );
        let work_percent = Histogram::with_opts(work_percent.buckets(WORK_BOUNDS_PERCENT.to_vec()))
            .expect("the name is a constant");
        for collector in [
            Box::new(latency.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(store_failures.clone()),
            Box::new(work_percent.clone()),
        ] {
            registry.register(collector).expect("the name is unique");
        }
        Self {
            registry,
            caller_memory,
            ended,
            latency,
            attempts_failed,
            placed,
            duties,
            notices,
            limited_sends,
            permits,
            refreshes,
            quotas,
            taken_up,
            taken_up_ended,
            passed_on,
            link_tests,
            hand_overs,
            slow_links,
            store_failures,
            settings_version,
            targets,
            work_percent,
            work_change_ms,
        }
    }

    /// Records that a request ended.
    pub(crate) fn ended(&self, kind: &'static str, outcome: &'static str, after: Duration) {
        self.ended.with_label_values(&[kind, outcome]).inc();
        self.latency
            .with_label_values(&[outcome])
            .observe(after.as_secs_f64());
    }

    /// Records that an attempt gave no answer.
    pub(crate) fn attempt_failed(&self, end: &'static str) {
        self.attempts_failed.with_label_values(&[end]).inc();
    }

    /// Records that a request to an engine was placed.
    pub(crate) fn placed(&self, path: &'static str) {
        self.placed.with_label_values(&[path]).inc();
    }

    /// Records that a target sent a notice about itself.
    pub(crate) fn notice(&self, notice: &'static str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Records that a request was sent to a target that limits its requests per second.
    pub(crate) fn limited_send(&self, work: &'static str) {
        self.limited_sends.with_label_values(&[work]).inc();
    }

    /// Records the outcome of a query for a permit.
    pub(crate) fn permit(&self, outcome: &'static str) {
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Records how a request of a workspace with a quota got its tokens, or why it did not.
    pub(crate) fn quota(&self, outcome: &'static str) {
        self.quotas.with_label_values(&[outcome]).inc();
    }

    /// Records the outcome of an attempt to pass a request on to another vm.
    pub(crate) fn passed_on(&self, outcome: &'static str) {
        self.passed_on.with_label_values(&[outcome]).inc();
    }

    /// Records whether a test of the links to a service reached a target.
    pub(crate) fn link_test(&self, is_reached: bool) {
        let reached = if is_reached { "yes" } else { "no" };
        self.link_tests.with_label_values(&[reached]).inc();
    }

    /// Records whether it is known which version began a stream that a caller takes up.
    pub(crate) fn taken_up(&self, outcome: &'static str) {
        self.taken_up.with_label_values(&[outcome]).inc();
    }

    /// Records how a request ended with which a caller took a stream up.
    pub(crate) fn taken_up_ended(&self, outcome: &'static str) {
        self.taken_up_ended.with_label_values(&[outcome]).inc();
    }

    /// Records how long work takes at a target, if it states that.
    pub(crate) fn reported_load(&self, report: Option<LoadReport>) {
        if let Some(percent) = report.and_then(|report| report.work_percent) {
            self.work_percent.observe(f64::from(percent));
        }
    }

    /// Records a step that was taken because of the age of a replica.
    pub(crate) fn refresh(&self, replica: &'static str, step: &'static str) {
        self.refreshes.with_label_values(&[replica, step]).inc();
    }

    /// Records what the end of a hand-over showed, and the number of slow links since.
    pub(crate) fn hand_over(&self, finding: &'static str, slow_links: usize) {
        self.hand_overs.with_label_values(&[finding]).inc();
        self.slow_links.set(slow_links as i64);
    }

    /// Records that a duty was performed or refused.
    pub(crate) fn duty(&self, duty: &'static str, is_accepted: bool) {
        let accepted = if is_accepted { "yes" } else { "no" };
        self.duties.with_label_values(&[duty, accepted]).inc();
    }
}

/// Serves the metrics in text format.
pub(crate) async fn text(shared: State<Arc<Shared>>) -> HttpResponse {
    let mut body = Vec::new();
    let families = shared.metrics.registry.gather();
    if let Err(error) = TextEncoder::new().encode(&families, &mut body) {
        log::error!("metrics: could not be encoded: {error}");
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(body)
}
