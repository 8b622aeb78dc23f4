//! Starts the listeners and the control tasks, and shuts them down.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujubebeam_core::membership::Event;
use jujubebeam_http::{HttpClientConfig, build_client};
use jujubebeam_peer::{MESSAGES_PATH, PeerClient, PeerClientConfig};
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::http::HttpService;
use ntex::service::ServiceFactory;
use ntex::time::sleep;
use ntex::web::{self, App};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use crate::adapters::{Adapters, StoreApi, Wire};
use crate::caller_connections::CallerConnections;
use crate::caller_server::CallerServer;
use crate::config::GatewayConfig;
use crate::connection::ConnectionPool;
use crate::control;
use crate::listener::{listen, serve_until_stopped, start_thread};
use crate::peers;
use crate::state::Shared;
use crate::{addresses, metrics, where_placed};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Interval between clean-ups of idle connections.
const CLEAN_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the grace period that is reserved for closing listeners and ending the process. With 0.5
/// s the process was killed on a slowed vm, where a timer fired 0.13 s late.
pub(crate) const CLOSING_RESERVE: Duration = Duration::from_millis(700);

/// Shared state and the clients of one thread. Clones share the clients.
pub(crate) struct Context<A: Adapters> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: ConnectionPool,
    /// Connections to other vms for requests that are passed on.
    pub(crate) vm_pool: ConnectionPool,
    pub(crate) peers: PeerClient,
    pub(crate) http: Client,
    pub(crate) store: Rc<A::Store>,
    pub(crate) connections: CallerConnections,
}

impl<A: Adapters> Clone for Context<A> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            pool: self.pool.clone(),
            vm_pool: self.vm_pool.clone(),
            peers: self.peers.clone(),
            http: self.http.clone(),
            store: self.store.clone(),
            connections: self.connections.clone(),
        }
    }
}

/// Guard that counts a request as running until it is dropped.
pub(crate) struct RunningGuard(Arc<Shared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl<A: Adapters> Context<A> {
    pub(crate) async fn new(shared: Arc<Shared>) -> Self {
        let http = build_client(HttpClientConfig::default()).await;
        Self {
            pool: ConnectionPool::default(),
            vm_pool: ConnectionPool::default(),
            peers: PeerClient::new(http.clone(), PeerClientConfig::default()),
            store: Rc::new(A::Store::new(
                http.clone(),
                &shared.config.store.to_string(),
            )),
            http,
            shared,
            connections: CallerConnections::default(),
        }
    }

    pub(crate) fn track_running(&self) -> RunningGuard {
        self.shared.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(self.shared.clone())
    }
}

/// Runs the gateway until a signal stops it.
///
/// # Errors
///
/// Returns the error of a listener that cannot be bound.
pub fn run<A: Adapters>(config: GatewayConfig) -> io::Result<()> {
    let shared = Arc::new(Shared::new(config));
    let system = ntex::rt::System::build()
        .name("jujubebeam")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(serve::<A>(shared))
}

async fn serve<A: Adapters>(shared: Arc<Shared>) -> io::Result<()> {
    // Signal handlers come first, because a vm can be stopped as soon as its listeners are
    // reachable.
    let signals = Signals::new()?;
    let addresses = &shared.config.listen;
    log::info!(
        event = "start",
        vm:% = shared.vm,
        name = shared.config.vm_name,
        zone = shared.config.zone,
        callers:% = addresses.callers,
        peers:% = addresses.peers,
        version = env!("CARGO_PKG_VERSION");
        ""
    );
    let context = Context::<A>::new(shared.clone()).await;
    control::start(&context);

    let control_server = start_control_server::<A>(&shared)?;
    let metrics_server = start_metrics_server(&shared)?;

    let caller_server = CallerServer::start::<A>(&shared)?;

    let until = drain_on_signal(&context, signals).await;
    caller_server.stop(until).await;
    drop((control_server, metrics_server));
    log::info!(event = "stop", vm:% = shared.vm; "");
    Ok(())
}

/// Starts the server for other vms, readiness and addresses, which runs until the sender is dropped.
fn start_control_server<A: Adapters>(shared: &Arc<Shared>) -> io::Result<oneshot::Sender<()>> {
    let addresses = &shared.config.listen;
    let listeners = vec![
        listen(addresses.peers)?,
        listen(addresses.readiness)?,
        listen(addresses.addresses)?,
    ];
    let shared = shared.clone();
    start_thread("control", async move |stopped| {
        let app = App::new()
            .state(Context::<A>::new(shared.clone()).await)
            .route(
                A::Wire::READINESS_PATH,
                web::get().to(addresses::readiness::<A>),
            )
            .route(A::Wire::ADDRESSES_PATH, web::get().to(addresses::list::<A>))
            .route(MESSAGES_PATH, web::post().to(peers::receive::<A>));
        let config: SharedCfg = SharedCfg::new("control").into();
        let service = HttpService::new(app).pipeline(config.clone()).await;
        let service = service.map_err(|()| io::Error::other("the service cannot be created"))?;
        serve_until_stopped(shared, listeners, config, service, stopped).await
    })
}

/// Starts the server for metrics, if it has an address. It runs until the sender is dropped.
fn start_metrics_server(shared: &Arc<Shared>) -> io::Result<Option<oneshot::Sender<()>>> {
    let Some(address) = shared.config.listen.metrics else {
        return Ok(None);
    };
    let listeners = vec![listen(address)?];
    let shared = shared.clone();
    let stop = start_thread("metrics", async move |stopped| {
        let app = App::new()
            .state(shared.clone())
            .route(METRICS_PATH, web::get().to(metrics::text))
            .route(
                where_placed::PLACEMENT_PATH,
                web::get().to(where_placed::answer),
            );
        let config: SharedCfg = SharedCfg::new("metrics").into();
        let service = HttpService::new(app).pipeline(config.clone()).await;
        let service = service.map_err(|()| io::Error::other("the service cannot be created"))?;
        serve_until_stopped(shared, listeners, config, service, stopped).await
    });
    stop.map(Some)
}

/// Starts a task that periodically drops idle connections to targets.
pub(crate) fn spawn_connection_cleanup<A: Adapters>(context: &Context<A>) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            sleep(CLEAN_INTERVAL).await;
            let existing: std::collections::HashSet<_> = {
                let (fleet, now) = (context.shared.fleet(), context.shared.now());
                fleet.catalog.usable(now).map(|(key, _)| key).collect()
            };
            context.pool.evict_idle(|key| existing.contains(&key));
            context.vm_pool.evict_idle(|_| false);
        }
    });
}

/// Signals that the process handles from its start.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT, and then until no request is running or the grace period is nearly
/// over. Returns the time at which it is nearly over.
async fn drain_on_signal<A: Adapters>(context: &Context<A>, mut signals: Signals) -> Instant {
    let shared = &context.shared;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            // The settings of a process contain its addresses, which cannot change while it runs.
            _ = signals.hang_up.recv() => {
                log::info!(event = "reload", vm:% = shared.vm, outcome = "unchanged"; "");
            },
        }
    }
    log::info!(event = "leaving", vm:% = shared.vm; "");
    shared.start_leaving();
    peers::feed_membership(context, Event::Leave { linger: true });
    let grace = Duration::from_millis(shared.config.shutdown_grace_ms);
    let until = Instant::now() + grace.saturating_sub(CLOSING_RESERVE);
    tokio::select! {
        () = shared.drained.notified() => {}
        () = sleep_until(until) => {}
    }
    let running = shared.running.load(Ordering::SeqCst);
    log::info!(event = "drained", vm:% = shared.vm, running; "");
    until
}
