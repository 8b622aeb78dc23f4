//! Starts the listeners and the control tasks, and shuts them down.

use std::io;
use std::sync::Arc;

use jujubebeam_core::invariant::{self, Invariant};
use ntex::time::Seconds;
use ntex::web::{self, App};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::context::Context;
use crate::control::membership;
use crate::process_config::ProcessConfig;
use crate::shared::Shared;
use crate::{caller, control, peers};

/// Time that the caller listener gives to requests that arrive after the drain, from callers that
/// use an address beyond its lifetime.
const STOP_TIMEOUT: Seconds = Seconds(30);

/// Runs the daemon until it is told to stop.
pub(crate) fn run(config: ProcessConfig) -> io::Result<()> {
    let shared = Arc::new(Shared::new(config));
    let system = ntex::rt::System::build()
        .name("jujubebeam")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(serve(shared))
}

async fn serve(shared: Arc<Shared>) -> io::Result<()> {
    let config = &shared.config;
    let (workers, callers) = (config.workers, config.caller_address);
    let peer = config.peer_listen_address.unwrap_or(config.peer_address);
    log::info!(
        "vm: {} in zone {} listens on {callers} for callers and on {peer} for vms",
        config.vm,
        config.zone
    );
    control::start(shared.clone()).await;
    let context = Context::new(shared.clone()).await;

    let state = shared.clone();
    let peer_server = web::server(async move || {
        App::new()
            .state(Context::new(state.clone()).await)
            .configure(peers::configure)
    })
    .workers(1)
    .disable_signals()
    .bind(peer)?
    .run();

    let caller_server = web::server(async move || {
        App::new()
            .state(Context::new(shared.clone()).await)
            .configure(caller::configure)
    })
    .workers(workers)
    .shutdown_timeout(STOP_TIMEOUT)
    .disable_signals()
    .bind(callers)?
    .run();

    drain_on_signal(&context).await?;
    caller_server.stop(true).await;
    let running = context.shared.running_requests();
    invariant::check(Invariant::GracefulShutdownCutsNothing, running == 0, || {
        format!("{running} requests still ran when the listener had stopped")
    });
    control::authority::shut_down(&context).await;
    peer_server.stop(true).await;
    Ok(())
}

/// Waits for a signal to end and then until nothing runs on this vm any more. SIGTERM serves on
/// until the address answers that name this vm have expired; SIGINT waits for running requests
/// only.
async fn drain_on_signal(context: &Context) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let linger = tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => false,
    };
    log::info!("vm: leaving");
    membership::leave(context, linger);
    let drained = &context.shared.membership.drained;
    tokio::select! {
        () = drained.notified() => {}
        () = hurry(context, &mut interrupt) => {}
    }
    log::info!("vm: drained");
    Ok(())
}

/// Ends the linger on SIGINT. Never returns, as running requests are waited for all the same.
async fn hurry(context: &Context, interrupt: &mut Signal) {
    while interrupt.recv().await.is_some() {
        membership::leave(context, false);
    }
    std::future::pending::<()>().await;
}
