//! Server for callers, which shuts down without interrupting a request.
//!
//! While an ntex server stops, its acceptor keeps or drops connections that it has already
//! accepted, and its workers drop connections whose request they have not started to read. Here
//! each worker accepts connections itself and stops in order: it accepts what is left in the queue,
//! closes the listener, serves the accepted connections, and closes idle connections last.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive};
use ntex::io::IoConfig;
use ntex::rt::System;
use ntex::service::ServiceFactory;
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};

use crate::adapters::Adapters;
use crate::forward;
use crate::listener::{self, ACCEPT_PAUSE, listen};
use crate::server::{Context, spawn_connection_cleanup};
use crate::state::Shared;

/// Time after which an idle connection of a caller is closed. It exceeds the longest idle time that
/// is announced to callers (15 s), so that no request is sent on a connection that is being closed.
const CALLER_IDLE_TIMEOUT: Seconds = Seconds(40);

/// Time for which a connection that closes after an answer waits for a caller that does not read its
/// end. It is as long as for one that sends nothing.
const CALLER_FLUSH_TIMEOUT: Seconds = CALLER_IDLE_TIMEOUT;

/// Time within which the head of a request must arrive. After that the caller gets status 408.
const HEADER_TIMEOUT: Seconds = Seconds(4);

/// Largest head of a request.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Time without a new connection after which the accept queue counts as empty.
const ACCEPT_QUEUE_IDLE: Duration = Duration::from_millis(3);

/// Longest time for emptying the accept queue, in case callers keep connecting.
const ACCEPT_QUEUE_LIMIT: Duration = Duration::from_millis(50);

/// Time without a running request after which every request on an accepted connection counts as
/// read.
const IDLE_CONFIRM_TIME: Duration = Duration::from_millis(40);

/// Longest wait for that state once the grace period is nearly over, as it is never reached while a
/// stream outlives the grace period. Together with the other two limits it leaves more than half of
/// the time that is reserved for ending the process.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(120);

/// Interval between checks for running requests.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time for closing connections once the grace period is nearly over. Idle ones close at
/// once, and those with a running answer would not close in the time that is left.
const CLOSING_LIMIT: Duration = Duration::from_millis(100);

/// The worker threads that serve callers.
#[derive(Debug)]
pub(crate) struct CallerServer {
    stops: watch::Sender<Option<Instant>>,
    ends: Vec<oneshot::Receiver<()>>,
}

impl CallerServer {
    /// Opens the listener and starts the workers.
    ///
    /// # Errors
    ///
    /// Returns the error of a listener that cannot be opened or a thread that cannot be started.
    pub(crate) fn start<A: Adapters>(shared: &Arc<Shared>) -> io::Result<Self> {
        let listener = listen(shared.config.listen.callers)?;
        let (stops, _) = watch::channel(None);
        let mut ends = Vec::new();
        for number in 0..shared.config.workers {
            let worker = Worker {
                listener: listener.try_clone()?,
                shared: shared.clone(),
                stopped: stops.subscribe(),
            };
            let (end_sender, end) = oneshot::channel();
            let name = format!("callers-{number}");
            std::thread::Builder::new().name(name).spawn(move || {
                let system = System::build()
                    .name("callers")
                    .build(ntex::rt::DefaultRuntime);
                if let Err(error) = system.block_on(worker.run::<A>()) {
                    log::error!("callers: worker failed: {error}");
                }
                // There is no receiver if the worker ends before it is stopped.
                let _ = end_sender.send(());
            })?;
            ends.push(end);
        }
        Ok(Self { stops, ends })
    }

    /// Stops all workers and waits until they have ended. Requests that arrive while the connections
    /// are being closed are finished if they end before `until`.
    pub(crate) async fn stop(self, until: Instant) {
        // Sending fails if all workers have ended already.
        let _ = self.stops.send(Some(until));
        for end in self.ends {
            let _ = end.await;
        }
    }
}

struct Worker {
    listener: TcpListener,
    shared: Arc<Shared>,
    stopped: watch::Receiver<Option<Instant>>,
}

impl Worker {
    async fn run<A: Adapters>(mut self) -> io::Result<()> {
        let context = Context::<A>::new(self.shared.clone()).await;
        spawn_connection_cleanup(&context);
        let connections = context.connections.clone();
        let http = HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
            .set_client_timeout(HEADER_TIMEOUT)
            .set_max_buf_size(MAX_HEADER_BYTES);
        let io = IoConfig::new().set_disconnect_timeout(CALLER_FLUSH_TIMEOUT);
        let config: SharedCfg = SharedCfg::new("callers").add(http).add(io).into();
        let app = App::new()
            .state(context)
            .service(web::resource("/{path}*").to(forward::handle::<A>));
        let service = HttpService::new(app).pipeline(config.clone()).await;
        let service = service.map_err(|()| io::Error::other("the service cannot be created"))?;
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let serve = |stream: tokio::net::TcpStream| {
            listener::serve(&self.shared, stream, &config, &service, |io| {
                connections.open(&self.shared, io)
            });
        };
        let until = loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream),
                    Err(error) => {
                        log::warn!("callers: connection could not be accepted: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                changed = self.stopped.changed() => {
                    let until = *self.stopped.borrow();
                    if changed.is_err() || until.is_some() {
                        break until.unwrap_or_else(Instant::now);
                    }
                }
            }
        };
        let started = Instant::now();
        while started.elapsed() < ACCEPT_QUEUE_LIMIT {
            let Ok(Ok((stream, _))) = timeout(ACCEPT_QUEUE_IDLE, listener.accept()).await else {
                break;
            };
            serve(stream);
        }
        drop(listener);
        wait_until_idle(&self.shared, until).await;
        let until = until.max(Instant::now() + CLOSING_LIMIT);
        let closing = async {
            service.shutdown().await;
            // The shutdown of ntex may end before answers are written to the sockets.
            while !connections.is_empty() {
                sleep(IDLE_CHECK_INTERVAL).await;
            }
        };
        if timeout_at(until, closing).await.is_err() {
            let vm = self.shared.vm;
            log::info!(event = "closing", vm:% = vm, outcome = "callers_still_connected"; "");
        }
        Ok(())
    }
}

/// Waits until no request has run for [`IDLE_CONFIRM_TIME`], because a request on a connection that
/// was just accepted may not have been read yet.
async fn wait_until_idle(shared: &Shared, until: Instant) {
    let mut idle_since = Instant::now();
    let until = until.max(idle_since + MAX_IDLE_WAIT);
    while idle_since.elapsed() < IDLE_CONFIRM_TIME && Instant::now() < until {
        sleep(IDLE_CHECK_INTERVAL).await;
        if shared.running.load(Ordering::SeqCst) > 0 {
            idle_since = Instant::now();
        }
    }
}
