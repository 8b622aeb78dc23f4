//! Connections of callers and of other vms, which share memory and descriptors.
//!
//! The decision is [`CallerMemory`]. This module reports to it what connections hold, and closes the
//! connections that it cuts. See `docs/design/caller-memory.md`.

use std::any::{Any, TypeId};
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use jujubebeam_core::gateway::{
    CallerMemory, CallerMemoryConfig, ConnectionKey, CutConnections, SMALL_BODY_BYTES,
};
use ntex::SharedCfg;
use ntex::io::{FilterBuf, FilterLayer, Io, IoRef, Layer};
use ntex::util::BytesMut;
use ntex::web::HttpRequest;
use ntex::web::types::Payload;
use prometheus::{IntCounterVec, IntGauge};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes of a body after which its progress is reported, so that chunks of a few bytes cost little.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Descriptors that the process is taken to have if the system does not tell.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It broke off.
    Broken,
    /// There is no memory for it.
    NoMemory,
}

/// Metrics of what connections hold.
#[derive(Clone, Debug)]
pub(crate) struct CallerMemoryMetrics {
    /// Connections that were not accepted or closed, and bodies that were refused.
    pub(crate) cuts: IntCounterVec,
    pub(crate) held_bytes: IntGauge,
    pub(crate) connections: IntGauge,
}

/// Memory and descriptors for all connections that are accepted.
#[derive(Debug)]
pub(crate) struct CallerBudget {
    state: Mutex<BudgetState>,
    metrics: CallerMemoryMetrics,
    started: Instant,
}

#[derive(Debug)]
struct BudgetState {
    memory: CallerMemory,
    signals: HashMap<ConnectionKey, Arc<Notify>>,
}

impl CallerBudget {
    /// Budget of a vm with this memory. `max_descriptors` replaces the limit of the process, which a vm
    /// that shares its system with others does not always have.
    pub(crate) fn new(
        memory_bytes: usize,
        max_descriptors: Option<usize>,
        metrics: CallerMemoryMetrics,
    ) -> Arc<Self> {
        let descriptors = max_descriptors.unwrap_or_else(descriptor_limit);
        let config = CallerMemoryConfig::of_vm(memory_bytes, descriptors);
        Arc::new(Self {
            state: Mutex::new(BudgetState {
                memory: CallerMemory::new(config),
                signals: HashMap::new(),
            }),
            metrics,
            started: Instant::now(),
        })
    }

    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Changes what connections hold, and tells those that are cut.
    fn update<T>(&self, update: impl FnOnce(&mut BudgetState) -> (T, CutConnections)) -> T {
        let mut state = self.state();
        let (output, cut) = update(&mut state);
        for key in &cut {
            if let Some(signal) = state.signals.get(key) {
                signal.notify_one();
            }
        }
        self.metrics
            .held_bytes
            .set(state.memory.held_bytes() as i64);
        self.metrics
            .connections
            .set(state.memory.connections() as i64);
        output
    }

    /// Counts an accepted connection. Returns `None` if there is none to spare for it; it is closed then.
    pub(crate) fn admit(
        self: &Arc<Self>,
        stream: TcpStream,
        config: &SharedCfg,
    ) -> io::Result<Option<(Io<Layer<CountedInput>>, HeldConnection)>> {
        let now = self.now();
        let cut = Arc::new(Notify::new());
        let opened = self.update(|state| {
            let (opened, others) = state.memory.open(now);
            if let Some(key) = opened {
                state.signals.insert(key, cut.clone());
            }
            (opened, others)
        });
        let Some(key) = opened else {
            self.metrics.cuts.with_label_values(&["not_accepted"]).inc();
            return Ok(None);
        };
        let connection = HeldConnection(Rc::new(Inner {
            budget: self.clone(),
            key,
            cut,
            body_cut: Notify::new(),
            receives_body: Cell::new(false),
            input_bytes: Cell::new(0),
            was_closed: Cell::new(false),
            requests: Cell::new(0),
        }));
        let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
        let input = CountedInput {
            connection: connection.clone(),
        };
        Ok(Some((io.add_filter(input), connection)))
    }
}

/// Number of descriptors that the process may open.
fn descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(DEFAULT_DESCRIPTORS)
}

/// A connection that counts until the last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct HeldConnection(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    budget: Arc<CallerBudget>,
    key: ConnectionKey,
    cut: Arc<Notify>,
    /// Notified instead of closing the connection while a body is received, so that its request is
    /// refused with a status.
    body_cut: Notify,
    receives_body: Cell<bool>,
    /// Size of the read buffer that was reported last.
    input_bytes: Cell<usize>,
    was_closed: Cell<bool>,
    /// Number of requests so far.
    requests: Cell<u64>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.budget.update(|state| {
            state.signals.remove(&self.key);
            state.memory.close(self.key);
            ((), CutConnections::new())
        });
    }
}

impl HeldConnection {
    /// The counted connection of a request.
    fn of(io: &IoRef) -> Option<Self> {
        io.query::<Self>().as_ref().cloned()
    }

    /// Runs the service of a connection. If the connection is cut, its request is refused or it is
    /// closed, and the service ends because of that.
    pub(crate) async fn serve<T>(self, io: &IoRef, service: impl Future<Output = T>) -> T {
        let mut service = pin!(service);
        loop {
            tokio::select! {
                biased;
                output = &mut service => return output,
                () = self.0.cut.notified() => self.apply_cut(io),
            }
        }
    }

    fn apply_cut(&self, io: &IoRef) {
        if self.0.receives_body.get() {
            self.0.body_cut.notify_one();
            return;
        }
        self.record_closed();
        io.terminate();
    }

    fn record_closed(&self) {
        if !self.0.was_closed.replace(true) {
            let cuts = &self.0.budget.metrics.cuts;
            cuts.with_label_values(&["closed"]).inc();
        }
    }

    /// Whether it was closed for the memory or the descriptor that it held.
    pub(crate) fn was_closed(&self) -> bool {
        self.0.was_closed.get()
    }

    /// Reports the size of the read buffer. Returns whether there is memory for it.
    fn set_input(&self, bytes: usize) -> bool {
        let before = self.0.input_bytes.replace(bytes);
        if before == bytes {
            return true;
        }
        let budget = &self.0.budget;
        let now = budget.now();
        budget.update(|state| state.memory.set_input(self.0.key, bytes, now))
    }
}

/// Layer of a connection that counts the buffer of what was read and not asked for.
#[derive(Debug)]
pub(crate) struct CountedInput {
    connection: HeldConnection,
}

impl FilterLayer for CountedInput {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        if id == TypeId::of::<HeldConnection>() {
            return Some(Box::new(self.connection.clone()));
        }
        None
    }

    fn process_read_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        let bytes = buffers.with_read_buffers(|source, destination| {
            if let Some(source) = source.as_mut() {
                if destination.is_empty() {
                    std::mem::swap(source, destination);
                } else {
                    destination.extend_from_slice(source);
                    source.clear();
                }
            }
            destination.capacity()
        });
        if self.connection.set_input(bytes) {
            return Ok(());
        }
        // The task of the connection runs only after hundreds of others may have read their heads.
        buffers.with_read_buffers(|_, destination| *destination = BytesMut::new());
        self.connection.record_closed();
        Err(io::Error::other("no memory for what the caller sends"))
    }

    fn process_write_buf(&self, buffers: &FilterBuf<'_>) -> io::Result<()> {
        buffers.with_write_buffers(|source, destination| source.move_to(destination));
        Ok(())
    }

    fn shutdown(&self, _: &FilterBuf<'_>) -> io::Result<Poll<()>> {
        Ok(Poll::Ready(()))
    }
}

/// Memory of a request, which counts until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    connection: Option<HeldConnection>,
    /// Position among the requests of the connection. The next one may begin before a task that
    /// evaluates this one's answer has ended.
    number: u64,
}

impl HeldRequest {
    fn start(request: &HttpRequest) -> Result<Self, BodyError> {
        let connection = request.io().and_then(HeldConnection::of);
        if let Some(held) = &connection {
            let budget = &held.0.budget;
            let now = budget.now();
            let is_open = budget.update(|state| {
                let is_open = state.memory.start_body(held.0.key, now);
                (is_open, CutConnections::new())
            });
            if !is_open {
                return Err(BodyError::NoMemory);
            }
            held.0.receives_body.set(true);
            held.0.requests.set(held.0.requests.get() + 1);
        }
        let number = connection.as_ref().map_or(0, |held| held.0.requests.get());
        Ok(Self { connection, number })
    }

    /// Completes when the request is to be refused.
    async fn cut(&self) {
        match &self.connection {
            Some(held) => held.0.body_cut.notified().await,
            None => std::future::pending().await,
        }
    }

    fn set(&self, bytes: usize, received_bytes: usize) -> Result<(), BodyError> {
        let Some(held) = &self.connection else {
            return Ok(());
        };
        let budget = &held.0.budget;
        let now = budget.now();
        let has_room = budget.update(|state| {
            state
                .memory
                .set_body(held.0.key, bytes, received_bytes, now)
        });
        has_room.then_some(()).ok_or(BodyError::NoMemory)
    }

    fn complete(&self, bytes: usize) -> Result<(), BodyError> {
        let Some(held) = &self.connection else {
            return Ok(());
        };
        held.0.receives_body.set(false);
        let is_kept = held.0.budget.update(|state| {
            let is_kept = state.memory.complete(held.0.key, bytes);
            (is_kept, CutConnections::new())
        });
        is_kept.then_some(()).ok_or(BodyError::NoMemory)
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let Some(held) = &self.connection else {
            return;
        };
        if held.0.requests.get() != self.number {
            return;
        }
        held.0.receives_body.set(false);
        // The buffer is released with the request, and reported again when the next one is read.
        held.0.input_bytes.set(0);
        let now = held.0.budget.now();
        held.0.budget.update(|state| {
            state.memory.end(held.0.key, now);
            ((), CutConnections::new())
        });
    }
}

/// Receives the body of a request, of at most `limit` bytes. The request may run once this has returned
/// without an error, so a refusal after an error can state that it has not.
///
/// # Errors
///
/// Returns why the body was not received.
pub(crate) async fn receive_body(
    request: &HttpRequest,
    payload: Payload,
    limit: usize,
) -> Result<(Bytes, HeldRequest), BodyError> {
    let announced = announced_bytes(request);
    if announced.is_some_and(|announced| announced > limit as u64) {
        return Err(BodyError::TooLong);
    }
    let most = announced.map_or(limit, |announced| announced as usize);
    let held = HeldRequest::start(request)?;
    let received = receive(payload, &held, most, limit).await;
    if let (Err(BodyError::NoMemory), Some(connection)) = (&received, &held.connection) {
        let cuts = &connection.0.budget.metrics.cuts;
        cuts.with_label_values(&["refused"]).inc();
    }
    Ok((received?, held))
}

async fn receive(
    mut payload: Payload,
    held: &HeldRequest,
    most: usize,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let mut body = Vec::new();
    let mut reported_bytes = 0;
    loop {
        let chunk = tokio::select! {
            biased;
            () = held.cut() => return Err(BodyError::NoMemory),
            chunk = payload.recv() => chunk,
        };
        let Some(chunk) = chunk else {
            break;
        };
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        let length = body.len() + chunk.len();
        if length > limit {
            return Err(BodyError::TooLong);
        }
        if length > body.capacity() {
            let capacity = next_capacity(length, body.capacity(), most);
            held.set(capacity, length)?;
            body.reserve_exact(capacity - body.len());
            reported_bytes = length;
        } else if length - reported_bytes >= PROGRESS_BYTES {
            held.set(body.capacity(), length)?;
            reported_bytes = length;
        }
        body.extend_from_slice(&chunk);
    }
    body.shrink_to_fit();
    held.complete(body.len())?;
    Ok(Bytes::from(body))
}

/// Size of the buffer for a body of which `length` bytes have arrived. An ordinary body gets its
/// announced size at once, a large one twice the size that was used up, so that a caller that announces
/// much and sends little holds little.
fn next_capacity(length: usize, capacity: usize, most: usize) -> usize {
    let most = most.max(length);
    if capacity == 0 && most <= SMALL_BODY_BYTES {
        return most;
    }
    length.max(2 * capacity).max(PROGRESS_BYTES).min(most)
}

/// Length of the body that the head states.
fn announced_bytes(request: &HttpRequest) -> Option<u64> {
    let value = request.headers().get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}
