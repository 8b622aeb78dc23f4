//! Counters that are sent to statsd.
//!
//! Handlers only add to atomics; one task sends the sums, so that a request costs no system call
//! for metrics.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use jujubebeam_caller::CallerError;
use jujubebeam_core::invariant;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::context::Context;
use crate::process_config::MetricsConfig;

/// What is counted.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Counter {
    /// Requests that arrived.
    Requests,
    /// Answers that were sent whole.
    Answers,
    /// Refusals of requests that did not run.
    RefusedNotRun,
    /// Errors of requests that may have run.
    Failed,
    /// Attempts at targets.
    Attempts,
    /// Attempts that continued an answer of another target.
    Resumes,
    /// Tokens that were sent to callers.
    OutputTokens,
    /// Time from arrival to the first byte from the target, summed.
    FirstByteMicros,
}

/// The counters of the process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counters: [AtomicU64; Counter::COUNT],
}

impl Metrics {
    /// Adds to a counter.
    pub(crate) fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a time to a counter of microseconds.
    pub(crate) fn add_time(&self, counter: Counter, time: Duration) {
        self.add(counter, time.as_micros() as u64);
    }

    /// Counts an error that a caller receives.
    pub(crate) fn count_error(&self, error: &CallerError) {
        self.count(match error.not_run {
            true => Counter::RefusedNotRun,
            false => Counter::Failed,
        });
    }

    /// Present sum of a counter.
    pub(crate) fn sum(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }
}

/// Sends the growth of all counters since the last report.
#[derive(Debug)]
pub(crate) struct Reporter {
    client: StatsdClient,
    sent: [u64; Counter::COUNT],
}

impl Reporter {
    /// Creates a reporter, or `None` if metrics are off.
    pub(crate) fn new(config: &MetricsConfig) -> Result<Option<Self>, cadence::MetricError> {
        let Some(address) = config.statsd_address else {
            return Ok(None);
        };
        let local: SocketAddr = if address.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            ([0u16; 8], 0).into()
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)?;
        Ok(Some(Self {
            client: StatsdClient::from_sink(&config.prefix, sink),
            sent: [0; Counter::COUNT],
        }))
    }

    /// Sends one report. Lost reports are not repeated, because statsd has no acknowledgement.
    pub(crate) fn report(&mut self, metrics: &Metrics, running_requests: u64) {
        for counter in Counter::iter() {
            let sum = metrics.sum(counter);
            let grown = sum - self.sent[counter as usize];
            self.sent[counter as usize] = sum;
            if grown > 0 {
                let _ = self.client.count(counter.into(), grown);
            }
        }
        let _ = self.client.gauge("running_requests", running_requests);
        let _ = self
            .client
            .gauge("invariant_violations", invariant::total());
        let _ = self.client.flush();
    }
}

/// Sends reports until the process ends, if metrics are configured.
pub(crate) fn start(context: &Context) {
    let config = &context.shared.config.metrics;
    let mut reporter = match Reporter::new(config) {
        Ok(Some(reporter)) => reporter,
        Ok(None) => return,
        Err(e) => {
            log::error!("vm: metrics are off: {e}; check `metrics.statsd_address`");
            return;
        }
    };
    let interval = Duration::from_millis(config.interval_ms);
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(interval).await;
            let running = context.shared.running_requests() as u64;
            reporter.report(&context.shared.metrics, running);
        }
    });
}
