//! Load tool: sends requests in an open or closed loop and checks every answer.

mod addresses;
mod config;
mod report;
mod request;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use pico_args::Arguments;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use addresses::Addresses;
use config::{LoadConfig, Output};
use report::Report;
pub(crate) use report::Times;
use request::{Failure, Request};

/// Runs the tool and prints its report.
pub(crate) fn run(args: Arguments) -> Result<(), String> {
    let config = LoadConfig::parse(args)?;
    let output = config.output;
    let system = ntex::rt::System::build()
        .name("load")
        .build(ntex::rt::DefaultRuntime);
    let report = system.block_on(async move { Rc::new(Load::new(config).await).run().await });
    match output {
        Output::Table => print!("{}", report.table()),
        Output::Json => println!("{:#}", report.json()),
    }
    Ok(())
}

struct Load {
    config: LoadConfig,
    client: Client,
    addresses: Addresses,
    report: RefCell<Report>,
    random: RefCell<SmallRng>,
    started: Instant,
    sent: RefCell<u64>,
    running: RefCell<usize>,
}

impl Load {
    async fn new(config: LoadConfig) -> Self {
        let client = build_client(HttpClientConfig::default()).await;
        Self {
            addresses: Addresses::new(client.clone(), &config),
            client,
            report: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(config.seed)),
            started: Instant::now(),
            sent: RefCell::new(0),
            running: RefCell::new(0),
            config,
        }
    }

    async fn run(self: Rc<Self>) -> Report {
        if self.config.rate > 0.0 {
            self.open_loop().await;
        } else {
            self.closed_loop().await;
        }
        let mut report = self.report.take();
        report.elapsed = self.started.elapsed();
        report
    }

    fn next_request(&self) -> Option<Request> {
        let mut sent = self.sent.borrow_mut();
        if *sent >= self.config.requests || self.started.elapsed() >= self.config.time {
            return None;
        }
        *sent += 1;
        let random = &mut self.random.borrow_mut();
        Some(Request::draw(&self.config, *sent, random))
    }

    async fn closed_loop(self: &Rc<Self>) {
        let mut tasks = Vec::new();
        for _ in 0..self.config.concurrency {
            let load = Rc::clone(self);
            tasks.push(ntex::rt::spawn(async move {
                while let Some(request) = load.next_request() {
                    load.perform(request).await;
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    async fn open_loop(self: &Rc<Self>) {
        let mut due = self.started;
        let mut tasks = Vec::new();
        while let Some(request) = self.next_request() {
            due += self.interval();
            tokio::time::sleep_until(due.into()).await;
            if *self.running.borrow() >= self.config.concurrency {
                self.report.borrow_mut().not_started += 1;
                continue;
            }
            let load = Rc::clone(self);
            tasks.push(ntex::rt::spawn(async move { load.perform(request).await }));
        }
        for task in tasks {
            let _ = task.await;
        }
    }

    /// Exponentially distributed time between two arrivals.
    fn interval(&self) -> Duration {
        let uniform: f64 = self.random.borrow_mut().random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.config.rate)
    }

    async fn perform(&self, request: Request) {
        *self.running.borrow_mut() += 1;
        let started = Instant::now();
        let result = tokio::time::timeout(self.config.timeout, self.try_addresses(&request)).await;
        *self.running.borrow_mut() -= 1;
        let mut report = self.report.borrow_mut();
        match result {
            Err(_) => report.error("timeout"),
            Ok(Err(Failure::Unsent)) => report.error("refused"),
            Ok(Err(Failure::Kind(kind))) => report.error(kind),
            Ok(Ok(timing)) => {
                report.whole += 1;
                report.whole_answer.record(started.elapsed());
                if let Some(time) = timing.first {
                    report.first_token.record(time);
                }
                for time in timing.between {
                    report.between_tokens.record(time);
                }
            }
        }
    }

    /// Goes on to the next address only while nothing was sent.
    async fn try_addresses(&self, request: &Request) -> Result<request::Timing, Failure> {
        for (i, url) in self.addresses.list().await.iter().enumerate() {
            if i > 0 {
                self.report.borrow_mut().redirected += 1;
            }
            let result = request.send(&self.client, url, &self.config).await;
            if !matches!(result, Err(Failure::Unsent)) {
                return result;
            }
        }
        Err(Failure::Unsent)
    }
}
