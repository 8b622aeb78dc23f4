//! Connections to targets.
//!
//! The HTTP client of ntex pools connections without a limit per address, and does not report
//! whether a failed request had left the process. Both are needed here to decide what may be
//! retried, so the gateway manages single connections of hyper. See `docs/platform.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use jujubebeam_core::gateway::{CarriedAttempts, TargetKey};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Timeout for establishing a connection. Zones are at most a few milliseconds apart, but a lost
/// opening packet is only sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without acknowledgement after which the kernel closes a connection. A target behind a
/// network partition sends no reset.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);

/// Idle time before the kernel sends the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which an idle connection is kept if the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Margin by which the idle time is shorter than the one that a target announces, because the
/// target may be closing the connection already.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Longest idle time of a connection that is used for a request that may run only once. If the
/// connection is being closed, the outcome of the request is unknown.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(250);

/// Most bytes of a head, or of a forwarded body, that are buffered for one connection.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Number of interim responses (1xx) to one request after which its connection is closed. A target
/// needs one or two at most.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Most idle connections that are kept per target.
const MAX_IDLE: usize = 16;

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Attempts of the requests that were sent on it.
    carried: CarriedAttempts,
    /// Whether it may be used for another request.
    is_reusable: bool,
    idle_since: Instant,
    idle_limit: Duration,
    _open: OpenGuard,
}

/// Number of open connections to one target.
#[derive(Debug, Default)]
struct OpenCount(std::cell::Cell<usize>);

/// Counts a connection as open until it is dropped, also if opening it is cancelled.
#[derive(Debug)]
struct OpenGuard(Rc<OpenCount>);

impl OpenGuard {
    fn new(open: &Rc<OpenCount>) -> Self {
        open.0.set(open.0.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}

/// Properties of a request that determine which connections it may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PooledRequest<'a> {
    /// Id of the caller's attempt, which each connection carries once.
    pub(crate) attempt_id: &'a str,
    /// Whether the request may run only once.
    pub(crate) runs_once: bool,
}

/// Why an attempt gave no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request has been sent.
    NotSent(String),
    /// The request may have reached the target.
    NoAnswer(String),
}

#[derive(Debug, Default)]
struct TargetPool {
    idle: Vec<TargetConnection>,
    open: Rc<OpenCount>,
}

/// Connections of one worker thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPool(Rc<RefCell<HashMap<TargetKey, TargetPool>>>);

impl ConnectionPool {
    /// Takes an idle connection that has not carried the attempt, or opens one, unless `limit` are
    /// open.
    pub(crate) async fn connect(
        &self,
        target: TargetKey,
        address: &str,
        request: PooledRequest<'_>,
        limit: usize,
    ) -> Result<TargetConnection, SendError> {
        if let Some(mut connection) = self.take_idle(target, request) {
            connection.carried.record(request.attempt_id);
            return Ok(connection);
        }
        let open = {
            let mut pools = self.0.borrow_mut();
            let pool = pools.entry(target).or_default();
            if pool.open.0.get() >= limit {
                // Close an idle connection that this request cannot use, to stay within the limit.
                pool.idle.pop();
            }
            if pool.open.0.get() >= limit {
                return Err(SendError::NotSent(format!("{limit} connections are open")));
            }
            OpenGuard::new(&pool.open)
        };
        let opened = timeout(CONNECT_TIMEOUT, open_connection(address)).await;
        let sender = match opened {
            Ok(Ok(sender)) => sender,
            failed => {
                let reason = match failed {
                    Ok(Err(reason)) => reason,
                    _ => "the connection was not established in time".to_owned(),
                };
                return Err(SendError::NotSent(reason));
            }
        };
        let mut carried = CarriedAttempts::default();
        carried.record(request.attempt_id);
        Ok(TargetConnection {
            sender,
            carried,
            is_reusable: true,
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE_TIMEOUT,
            _open: open,
        })
    }

    fn take_idle(&self, target: TargetKey, request: PooledRequest<'_>) -> Option<TargetConnection> {
        let mut pools = self.0.borrow_mut();
        let pool = pools.get_mut(&target)?;
        pool.idle.retain(|connection| {
            let idle = connection.idle_since.elapsed();
            !connection.sender.is_closed() && idle < connection.idle_limit
        });
        // The most recently used connection is the least likely to be closing.
        let index = pool
            .idle
            .iter()
            .rposition(|connection| connection.carried.may_carry(request.attempt_id))?;
        let connection = &pool.idle[index];
        let is_fresh = connection.idle_since.elapsed() < ONCE_MAX_IDLE;
        let is_usable = connection.sender.is_ready() && (is_fresh || !request.runs_once);
        is_usable.then(|| pool.idle.remove(index))
    }

    /// Returns a connection to the pool. Its last answer must be complete and belong to its
    /// request.
    pub(crate) fn release(&self, target: TargetKey, mut connection: TargetConnection) {
        let mut pools = self.0.borrow_mut();
        let pool = pools.entry(target).or_default();
        let may_carry_more = connection.is_reusable && !connection.carried.is_full();
        let is_usable = may_carry_more && !connection.sender.is_closed();
        if pool.idle.len() < MAX_IDLE && is_usable {
            connection.idle_since = Instant::now();
            pool.idle.push(connection);
        }
    }

    /// Closes the idle connections to a target on which a connection failed, because they may be
    /// broken too.
    pub(crate) fn close_idle(&self, target: TargetKey) {
        if let Some(pool) = self.0.borrow_mut().get_mut(&target) {
            pool.idle.clear();
        }
    }

    /// Drops connections that have been idle for too long, and the pools of removed targets.
    pub(crate) fn evict_idle(&self, exists: impl Fn(TargetKey) -> bool) {
        self.0.borrow_mut().retain(|target, pool| {
            pool.idle.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.idle_since.elapsed() < connection.idle_limit
            });
            exists(*target) || pool.open.0.get() > 0
        });
    }
}

impl TargetConnection {
    /// Sends a request and returns the head of its answer. The connection is closed when it is
    /// dropped, also after an error.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let interim = InterimCounter::default();
        let counted = interim.clone();
        hyper::ext::on_informational(&mut request, move |_| counted.count());
        let sent = tokio::select! {
            // An answer that has arrived takes precedence over the limit of interim responses.
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = interim.limit_exceeded() => {
                return Err(SendError::NoAnswer("interim answers without an end".into()));
            }
        };
        match sent {
            Ok(response) => {
                self.idle_limit = idle_limit(&response);
                Ok(response)
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(match unsent {
                    true => SendError::NotSent(reason),
                    false => SendError::NoAnswer(reason),
                })
            }
        }
    }

    /// Whether the request that was sent last is the first on this connection.
    pub(crate) fn is_first_exchange(&self) -> bool {
        self.carried.is_first()
    }

    /// Sets whether the connection may be used for another request. After an answer without an id
    /// it must not be: a duplicate of that answer could not be distinguished from the next one.
    pub(crate) fn reusable_if(mut self, is_reusable: bool) -> Self {
        self.is_reusable &= is_reusable;
        self
    }
}

/// Sends a request on a connection of its own, and returns the head of the answer.
///
/// # Errors
///
/// Returns why there was no answer.
pub(crate) async fn send_once(
    address: &str,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, String> {
    let opened = timeout(CONNECT_TIMEOUT, open_connection(address)).await;
    let mut sender = opened.map_err(|_| "the connection was not established in time")??;
    let sent = sender.send_request(request).await;
    sent.map_err(|error| error.to_string())
}

/// Counts the interim responses to one request.
#[derive(Clone, Debug, Default)]
struct InterimCounter(Arc<InterimCount>);

#[derive(Debug, Default)]
struct InterimCount {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimCounter {
    fn count(&self) {
        if self.0.count.fetch_add(1, Ordering::Relaxed) + 1 == MAX_INTERIM_RESPONSES {
            self.0.exceeded.notify_one();
        }
    }

    /// Waits until [`MAX_INTERIM_RESPONSES`] have arrived.
    async fn limit_exceeded(&self) {
        self.0.exceeded.notified().await;
    }
}

async fn open_connection(address: &str) -> Result<SendRequest<Full<Bytes>>, String> {
    let address: SocketAddr = address.parse().map_err(|_| "bad address".to_owned())?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    set_options(&stream);
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    ntex::rt::spawn(async move {
        // The request that uses the connection gets the error itself.
        if let Err(error) = connection.await {
            log::debug!("target: connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}

/// Sets options that bound how long a dead connection stays undetected. Without them the connection
/// can still be used, so errors are only logged.
fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&probes),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("target: socket option could not be set: {error}");
    }
}

/// Idle time that the target announces, or zero if it closes the connection.
fn idle_limit(response: &Response<Incoming>) -> Duration {
    let text = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    if text(header::CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let announced = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let (_, rest) = value.split_once("timeout=")?;
        let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
        digits.parse().ok().map(Duration::from_secs)
    });
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
        time.saturating_sub(IDLE_MARGIN)
    })
}
