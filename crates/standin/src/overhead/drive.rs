//! Sends short requests from several threads.

use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::Times;
use crate::up::example::KEY;

/// Threads that send. One thread cannot keep a vm's worker busy.
const THREADS: usize = 3;

/// Time after which an unanswered request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A run in an open loop.
#[derive(Clone)]
pub(crate) struct Drive {
    /// Address and path.
    pub(crate) url: String,
    /// Requests per second in all.
    pub(crate) rate: f64,
    /// Time of the run.
    pub(crate) time: Duration,
    /// Seed of the arrival times.
    pub(crate) seed: u64,
}

/// Result of a run.
#[derive(Default)]
pub(crate) struct Measured {
    /// Times of successful requests.
    pub(crate) times: Times,
    /// Requests that failed.
    pub(crate) errors: u64,
    /// Time of the run.
    pub(crate) elapsed: Duration,
}

impl Measured {
    pub(crate) fn per_s(&self) -> f64 {
        self.times.count() as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Sends the next request on each connection when the last was answered.
pub(crate) fn closed(url: &str, connections: usize, time: Duration) -> Measured {
    on_threads(|_| {
        let url = url.to_owned();
        move |sender: Rc<Sender>| async move {
            let started = Instant::now();
            let mut tasks = Vec::new();
            for _ in 0..connections.div_ceil(THREADS) {
                let (sender, url) = (Rc::clone(&sender), url.clone());
                tasks.push(ntex::rt::spawn(async move {
                    while started.elapsed() < time {
                        sender.send(&url).await;
                    }
                }));
            }
            for task in tasks {
                let _ = task.await;
            }
        }
    })
}

/// Sends requests at random times, whether or not earlier ones were answered.
pub(crate) fn open(drive: &Drive) -> Measured {
    on_threads(|thread| {
        let drive = drive.clone();
        move |sender: Rc<Sender>| async move {
            let seed = drive.seed.wrapping_mul(31).wrapping_add(thread as u64);
            let mut random = SmallRng::seed_from_u64(seed);
            let started = Instant::now();
            let mut due = started;
            let mut tasks = Vec::new();
            while due - started < drive.time {
                let uniform: f64 = random.random();
                let rate = drive.rate / THREADS as f64;
                due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
                tokio::time::sleep_until(due.into()).await;
                let (sender, url) = (Rc::clone(&sender), drive.url.clone());
                tasks.push(ntex::rt::spawn(async move { sender.send(&url).await }));
            }
            for task in tasks {
                let _ = task.await;
            }
        }
    })
}

struct Sender {
    client: Client,
    measured: RefCell<Measured>,
}

impl Sender {
    async fn send(&self, url: &str) {
        let started = Instant::now();
        let request = self.client.get(url);
        let request = request.header("authorization", format!("Bearer {KEY}"));
        let exchange = async {
            match request.send().await {
                Ok(response) if response.status().is_success() => response.body().await.is_ok(),
                _ => false,
            }
        };
        let whole = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        let whole = whole.unwrap_or(false);
        let mut measured = self.measured.borrow_mut();
        if whole {
            measured.times.record(started.elapsed());
        } else {
            measured.errors += 1;
        }
    }
}

fn on_threads<W, F>(work: impl Fn(usize) -> W) -> Measured
where
    W: FnOnce(Rc<Sender>) -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let started = Instant::now();
    let start = |i| {
        let work = work(i);
        thread::spawn(move || on_system(work))
    };
    let threads: Vec<_> = (0..THREADS).map(start).collect();
    let mut sum = Measured::default();
    for thread in threads {
        let part = thread.join().unwrap_or_default();
        sum.times.add(&part.times);
        sum.errors += part.errors;
    }
    sum.elapsed = started.elapsed();
    sum
}

fn on_system<W, F>(work: W) -> Measured
where
    W: FnOnce(Rc<Sender>) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let system = ntex::rt::System::build()
        .name("drive")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let sender = Rc::new(Sender {
            client: build_client(HttpClientConfig::default()).await,
            measured: RefCell::default(),
        });
        work(Rc::clone(&sender)).await;
        sender.measured.take()
    })
}
