//! Accepts the connections of callers, and ends them without cutting a request.
//!
//! The acceptor of ntex keeps or drops connections that it has accepted while its server stops, and
//! its workers drop those whose request they have not begun to read. Here each worker accepts by itself
//! and stops in order: it takes what waits in the queue, closes the listener, serves what it has, and
//! closes idle connections last.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive};
use ntex::rt::System;
use ntex::service::{Pipeline, ServiceFactory};
use ntex::time::{Seconds, sleep};
use ntex::web::{self, App};
use socket2::{Domain, Socket, Type};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, timeout};

use crate::adapters::Adapters;
use crate::forward;
use crate::server::{Context, clean_connections};
use crate::state::Shared;

/// Time after which an idle connection of a caller is closed. It exceeds the longest time for which
/// callers are told that they may idle (15 s), so a request does not meet a closing connection.
const CALLER_IDLE: Seconds = Seconds(40);

/// Time in which the header of a request must arrive, after which the caller gets 408.
const HEADER_TIMEOUT: Seconds = Seconds(4);

/// Largest header of a request.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 2048;

/// Pause after a connection could not be accepted, which is mostly for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time without a new connection after which the queue of the listener is empty.
const QUEUE_EMPTY: Duration = Duration::from_millis(3);

/// Longest time for emptying it, against callers that connect again and again.
const QUEUE_LIMIT: Duration = Duration::from_millis(50);

/// Time without a running request after which every request on an accepted connection has been read.
const QUIET_TIME: Duration = Duration::from_millis(40);

/// Longest wait for that; a stream that outlives the grace period is never quiet. With the other two
/// limits it leaves more than half of the time that is kept free for the end of the process.
const QUIET_LIMIT: Duration = Duration::from_millis(120);

/// Time between two looks at the running requests.
const QUIET_LOOK: Duration = Duration::from_millis(5);

/// Longest time for closing the connections. Idle ones close at once, and those with a running
/// answer do not close in any time that is left.
const CLOSING_LIMIT: Duration = Duration::from_millis(100);

/// The worker threads that serve callers.
#[derive(Debug)]
pub(crate) struct CallerServer {
    stops: watch::Sender<bool>,
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
        let (stops, _) = watch::channel(false);
        let mut ends = Vec::new();
        for number in 0..shared.config.workers {
            let worker = Worker {
                listener: listener.try_clone()?,
                shared: shared.clone(),
                stopped: stops.subscribe(),
            };
            let (ended, end) = oneshot::channel();
            let name = format!("callers-{number}");
            std::thread::Builder::new().name(name).spawn(move || {
                let system = System::build()
                    .name("callers")
                    .build(ntex::rt::DefaultRuntime);
                if let Err(error) = system.block_on(worker.run::<A>()) {
                    log::error!("callers: a worker ended: {error}");
                }
                // Nobody waits for a worker that ends before it is told to.
                let _ = ended.send(());
            })?;
            ends.push(end);
        }
        Ok(Self { stops, ends })
    }

    /// Stops all workers and waits until they have ended.
    pub(crate) async fn stop(self) {
        // Without receivers all workers have ended already.
        let _ = self.stops.send(true);
        for end in self.ends {
            let _ = end.await;
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

struct Worker {
    listener: TcpListener,
    shared: Arc<Shared>,
    stopped: watch::Receiver<bool>,
}

impl Worker {
    async fn run<A: Adapters>(mut self) -> io::Result<()> {
        let context = Context::<A>::new(self.shared.clone()).await;
        clean_connections(&context);
        let http = HttpServiceConfig::new()
            .set_keepalive(KeepAlive::Timeout(CALLER_IDLE))
            .set_client_timeout(HEADER_TIMEOUT)
            .set_max_buf_size(MAX_HEADER_BYTES);
        let config: SharedCfg = SharedCfg::new("callers").add(http).into();
        let app = App::new()
            .state(context)
            .service(web::resource("/{path}*").to(forward::handle::<A>));
        let service = HttpService::new(app).pipeline(config.clone()).await;
        let service = service.map_err(|()| io::Error::other("the service cannot be created"))?;
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let serve = |stream: tokio::net::TcpStream| {
            let connection = stream
                .into_std()
                .and_then(|stream| ntex::rt::from_tcp_stream(stream, config.clone()));
            match connection {
                Ok(io) => {
                    let service: Pipeline<_> = service.clone();
                    ntex::rt::spawn(async move {
                        if let Err(error) = service.call(io).await {
                            log::debug!("callers: connection ended: {error:?}");
                        }
                    });
                }
                Err(error) => log::debug!("callers: connection not taken over: {error}"),
            }
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream),
                    Err(error) => {
                        log::warn!("callers: connection not accepted: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                changed = self.stopped.changed() => {
                    if changed.is_err() || *self.stopped.borrow() {
                        break;
                    }
                }
            }
        }
        let began = Instant::now();
        while began.elapsed() < QUEUE_LIMIT {
            let Ok(Ok((stream, _))) = timeout(QUEUE_EMPTY, listener.accept()).await else {
                break;
            };
            serve(stream);
        }
        drop(listener);
        wait_until_quiet(&self.shared).await;
        if timeout(CLOSING_LIMIT, service.shutdown()).await.is_err() {
            let vm = self.shared.vm;
            log::info!(event = "closing", vm:% = vm, outcome = "callers_still_connected"; "");
        }
        Ok(())
    }
}

/// Waits until no request has run for a moment: one on a connection that was just accepted may not
/// have been read yet.
async fn wait_until_quiet(shared: &Shared) {
    let began = Instant::now();
    let mut quiet_since = began;
    while quiet_since.elapsed() < QUIET_TIME && began.elapsed() < QUIET_LIMIT {
        sleep(QUIET_LOOK).await;
        if shared.running.load(Ordering::SeqCst) > 0 {
            quiet_since = Instant::now();
        }
    }
}
