//! Runs one HTTP application until the process is stopped.

use std::net::SocketAddr;

use ntex::web::{self, App, ServiceConfig};

/// Serves an application on one thread. `state` is shared with all handlers.
pub(crate) fn run<S>(
    address: SocketAddr,
    state: S,
    configure: fn(&mut ServiceConfig),
) -> Result<(), String>
where
    S: Clone + Send + 'static,
{
    let system = ntex::rt::System::build()
        .name("standin")
        .build(ntex::rt::DefaultRuntime);
    system
        .block_on(async move {
            web::server(async move || App::new().state(state.clone()).configure(configure))
                .workers(1)
                .bind(address)?
                .run()
                .await
        })
        .map_err(|e| format!("listener {address}: {e}"))
}
