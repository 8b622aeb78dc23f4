//! Runs one HTTP application until the process is stopped.

use std::net::SocketAddr;

use ntex::web::{self, App, ServiceConfig};

/// Serves an application on one thread. `state` is shared with all handlers, and `background` runs
/// beside them.
pub(crate) fn run<S, F>(
    address: SocketAddr,
    state: S,
    configure: fn(&mut ServiceConfig),
    background: fn(S) -> F,
) -> Result<(), String>
where
    S: Clone + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let system = ntex::rt::System::build()
        .name("standin")
        .build(ntex::rt::DefaultRuntime);
    system
        .block_on(async move {
            ntex::rt::spawn(background(state.clone()));
            web::server(async move || App::new().state(state.clone()).configure(configure))
                .workers(1)
                // A stand-in has nothing to finish, and open watches would delay its end.
                .shutdown_timeout(ntex::time::Seconds::ZERO)
                .bind(address)?
                .run()
                .await
        })
        .map_err(|e| format!("listener {address}: {e}"))
}
