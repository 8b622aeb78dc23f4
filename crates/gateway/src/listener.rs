//! Listeners whose connections count against the memory and descriptors for callers.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::{Io, IoRef, Layer};
use ntex::rt::System;
use ntex::service::{Pipeline, Service};
use ntex::time::sleep;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::caller_memory::CountedInput;
use crate::decision_log::{DecisionKind, decision};
use crate::state::Shared;

/// Most connections that are queued for being accepted.
const BACKLOG: i32 = 2048;

/// Pause after an accept error, which is mostly caused by a lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a listener.
///
/// # Errors
///
/// Returns the error of an address that cannot be bound.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Serves an accepted connection in a task of its own, if there are memory and descriptors for it.
/// `guard` is created for the connection and dropped at its end.
pub(crate) fn serve<S, G>(
    shared: &Arc<Shared>,
    stream: TcpStream,
    config: &SharedCfg,
    service: &Pipeline<S>,
    guard: impl FnOnce(IoRef) -> G,
) where
    S: Service<Io<Layer<CountedInput>>> + 'static,
    S::Error: fmt::Debug,
    G: 'static,
{
    let (io, connection) = match shared.caller_budget.admit(stream, config) {
        Ok(Some(admitted)) => admitted,
        Ok(None) => {
            decision!(shared, DecisionKind::CallerCut, cut = "not_accepted");
            return;
        }
        Err(error) => {
            log::debug!("callers: accepted connection could not be set up: {error}");
            return;
        }
    };
    let guard = guard(io.get_ref());
    let (service, shared) = (service.clone(), shared.clone());
    ntex::rt::spawn(async move {
        let _guard = guard;
        let io_ref = io.get_ref();
        let serving = connection.clone().serve(&io_ref, service.call(io));
        if let Err(error) = serving.await {
            log::debug!("callers: connection ended: {error:?}");
        }
        if connection.was_closed() {
            decision!(shared, DecisionKind::CallerCut, cut = "closed");
        }
    });
}

/// Starts a thread that runs a server until the returned sender is dropped.
///
/// # Errors
///
/// Returns the error of a thread that cannot be started.
pub(crate) fn start_thread<F: Future<Output = io::Result<()>> + 'static>(
    name: &'static str,
    run: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
) -> io::Result<oneshot::Sender<()>> {
    let (sender, stopped) = oneshot::channel();
    let thread = std::thread::Builder::new().name(name.into());
    thread.spawn(move || {
        let system = System::build().name(name).build(ntex::rt::DefaultRuntime);
        if let Err(error) = system.block_on(run(stopped)) {
            log::error!("{name}: server failed: {error}");
        }
    })?;
    Ok(sender)
}

/// Serves all connections of some listeners until it is stopped.
///
/// # Errors
///
/// Returns the error of a listener that cannot be used.
pub(crate) async fn serve_until_stopped<S>(
    shared: Arc<Shared>,
    listeners: Vec<TcpListener>,
    config: SharedCfg,
    service: Pipeline<S>,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()>
where
    S: Service<Io<Layer<CountedInput>>> + 'static,
    S::Error: fmt::Debug,
{
    for listener in listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (shared, config) = (shared.clone(), config.clone());
        let service = service.clone();
        ntex::rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => serve(&shared, stream, &config, &service, |_| ()),
                    Err(error) => {
                        log::warn!("listener: connection could not be accepted: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
    }
    // The sender is dropped to stop the server, so there is nothing to receive.
    let _ = stopped.await;
    Ok(())
}
