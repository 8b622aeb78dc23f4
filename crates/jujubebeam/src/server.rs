//! Starts the listeners and the control tasks, and shuts them down.

use std::io;
use std::sync::Arc;

use ntex::web::{self, App};

use crate::context::Context;
use crate::process_config::ProcessConfig;
use crate::shared::Shared;
use crate::{caller, control, peers};

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
    let (workers, callers, peer) = (config.workers, config.caller_address, config.peer_address);
    log::info!(
        "vm: {} in zone {} listens on {callers} for callers and on {peer} for vms",
        config.vm,
        config.zone
    );
    control::start(shared.clone()).await;
    let ending = Context::new(shared.clone()).await;

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
    .bind(callers)?
    .run();

    let result = caller_server.await;
    control::authority::shut_down(&ending).await;
    peer_server.stop(true).await;
    result
}
