//! Sends short requests from several threads.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jujubebeam_http::{HttpClientConfig, build_client};
use ntex::client::Client;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Semaphore;

use crate::load::Times;
use crate::up::example::KEY;

/// Threads that send. One thread cannot keep a vm's worker busy.
const THREADS: usize = 3;
/// Connections of each thread and path in the open loop. A request waits for a free one, and its
/// time counts from its arrival. Without a bound, a pause of the machine opens thousands.
const OPEN_CONNECTIONS: usize = 32;
/// Shortest pause for which a thread sleeps. Timers have a resolution of 1 ms, which would bunch
/// the arrivals, so that shorter pauses are spent in the event loop.
const SHORTEST_SLEEP: Duration = Duration::from_millis(2);
/// Time after which an unanswered request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that is sent over and over.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Address and path.
    pub(crate) url: String,
    /// Body; `GET` is used without one.
    pub(crate) body: Option<String>,
}

/// A run in an open loop. Each arrival goes to one of the paths at random.
#[derive(Clone, Debug)]
pub(crate) struct Drive {
    /// The same request by different paths.
    pub(crate) paths: Vec<Call>,
    /// Requests per second of each path.
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
    /// What the first of them got.
    pub(crate) first_error: Option<String>,
    /// Time of the run.
    pub(crate) elapsed: Duration,
}

impl Measured {
    pub(crate) fn per_s(&self) -> f64 {
        self.times.count() as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Sends the next request on each connection when the last was answered.
pub(crate) fn closed(call: &Call, connections: usize, time: Duration) -> Measured {
    let results = on_threads(1, |_| {
        let call = call.clone();
        move |senders: Vec<Rc<Sender>>| async move {
            let started = Instant::now();
            let mut tasks = Vec::new();
            for _ in 0..connections.div_ceil(THREADS) {
                let (sender, call) = (Rc::clone(&senders[0]), call.clone());
                tasks.push(ntex::rt::spawn(async move {
                    while started.elapsed() < time {
                        sender.send(&call, Instant::now()).await;
                    }
                }));
            }
            for task in tasks {
                let _ = task.await;
            }
        }
    });
    results.into_iter().next().unwrap_or_default()
}

/// Sends requests at random times, whether or not earlier ones were answered. Returns one result
/// for each path.
pub(crate) fn open(drive: &Drive) -> Vec<Measured> {
    on_threads(drive.paths.len(), |thread| {
        let drive = drive.clone();
        move |senders| arrivals(drive, thread, senders)
    })
}

async fn arrivals(drive: Drive, thread: usize, senders: Vec<Rc<Sender>>) {
    let seed = drive.seed.wrapping_mul(31).wrapping_add(thread as u64);
    let mut random = SmallRng::seed_from_u64(seed);
    let rate = drive.rate * drive.paths.len() as f64 / THREADS as f64;
    let started = Instant::now();
    let mut due = started;
    let mut tasks = Vec::new();
    while due - started < drive.time {
        let uniform: f64 = random.random();
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        wait_until(due).await;
        let path = random.random_range(0..drive.paths.len());
        let (sender, call) = (Rc::clone(&senders[path]), drive.paths[path].clone());
        tasks.push(ntex::rt::spawn(async move {
            let Ok(_permit) = sender.connections.clone().acquire_owned().await else {
                return;
            };
            sender.send(&call, due).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn wait_until(due: Instant) {
    while let Some(left) = due.checked_duration_since(Instant::now()) {
        if left > SHORTEST_SLEEP {
            tokio::time::sleep(left - SHORTEST_SLEEP).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

struct Sender {
    client: Client,
    connections: Arc<Semaphore>,
    measured: RefCell<Measured>,
}

impl Sender {
    async fn send(&self, call: &Call, arrived: Instant) {
        let whole = tokio::time::timeout(REQUEST_TIMEOUT, self.exchange(call)).await;
        let mut measured = self.measured.borrow_mut();
        match whole.unwrap_or_else(|_| Err("timeout".into())) {
            Ok(()) => measured.times.record(arrived.elapsed()),
            Err(error) => {
                measured.errors += 1;
                measured.first_error.get_or_insert(error);
            }
        }
    }

    async fn exchange(&self, call: &Call) -> Result<(), String> {
        let request = match call.body {
            Some(_) => self.client.post(&call.url),
            None => self.client.get(&call.url),
        };
        let request = request.header("authorization", format!("Bearer {KEY}"));
        let answer = match &call.body {
            Some(body) => request.send_body(body.clone()).await,
            None => request.send().await,
        };
        let answer = answer.map_err(|e| e.to_string())?;
        let body = answer.body().await.map_err(|e| e.to_string())?;
        if answer.status().is_success() && !body.is_empty() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body);
        Err(format!("{}: {text}", answer.status()))
    }
}

fn on_threads<W, F>(paths: usize, work: impl Fn(usize) -> W) -> Vec<Measured>
where
    W: FnOnce(Vec<Rc<Sender>>) -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let started = Instant::now();
    let start = |i| {
        let work = work(i);
        thread::spawn(move || on_system(paths, work))
    };
    let threads: Vec<_> = (0..THREADS).map(start).collect();
    let mut sums: Vec<Measured> = (0..paths).map(|_| Measured::default()).collect();
    for thread in threads {
        let parts = thread.join().unwrap_or_default();
        for (sum, part) in sums.iter_mut().zip(parts) {
            sum.times.add(&part.times);
            sum.errors += part.errors;
            sum.first_error = sum.first_error.take().or(part.first_error);
            sum.elapsed = started.elapsed();
        }
    }
    sums
}

fn on_system<W, F>(paths: usize, work: W) -> Vec<Measured>
where
    W: FnOnce(Vec<Rc<Sender>>) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let system = ntex::rt::System::build()
        .name("drive")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let mut senders = Vec::new();
        for _ in 0..paths {
            senders.push(Rc::new(Sender {
                client: build_client(HttpClientConfig::default()).await,
                connections: Arc::new(Semaphore::new(OPEN_CONNECTIONS)),
                measured: RefCell::default(),
            }));
        }
        work(senders.clone()).await;
        senders.iter().map(|s| s.measured.take()).collect()
    })
}
