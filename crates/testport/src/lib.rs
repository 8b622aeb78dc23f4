//! Ports for tests that start processes.
//!
//! A port that was found free and let go may be taken by another test, or by an outgoing
//! connection, before the process that should use it binds it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::PoisonError;

/// Ports below the range that the kernel gives to outgoing connections (32768 and up), and apart
/// from the blocks of the stand-in's tests (24000 and up).
const FIRST: u16 = 20_000;
/// Port after the last one.
const END: u16 = 24_000;

/// Another loopback address. Whoever listens there on a port has reserved the port on 127.0.0.1.
const RESERVATIONS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Reservations of this process, held until it ends.
static HELD: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Reserves a port of 127.0.0.1 for this process and what it starts.
///
/// # Panics
///
/// If no port is left.
pub fn reserve_address() -> SocketAddr {
    let mut held = HELD.lock().unwrap_or_else(PoisonError::into_inner);
    let start = FIRST + (std::process::id() % 100) as u16 * 40;
    for port in (start..END).chain(FIRST..start) {
        let Ok(reservation) = TcpListener::bind((RESERVATIONS, port)) else {
            continue;
        };
        // A process of an earlier run may still be using the port itself.
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_err() {
            continue;
        }
        held.push(reservation);
        return SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    }
    panic!("no free port from {FIRST} to {END}; end processes of earlier test runs");
}
