//! Reserves ports for tests that start processes.
//!
//! Without a reservation, a port that was found free and released may be taken by another test, or
//! by an outgoing connection, before the process under test binds it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;
use std::sync::PoisonError;

/// First port to reserve. The range lies below the ports that the kernel assigns to outgoing
/// connections (32768 and up) and does not overlap the blocks of the stand-in's tests (24000 and
/// up).
const FIRST_PORT: u16 = 20_000;
/// Port after the last one to reserve.
const END_PORT: u16 = 24_000;

/// Loopback address for reservations. A listener on a port of this address reserves the same port
/// of 127.0.0.1.
const RESERVATION_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Listeners that reserve ports for this process. They stay open until it ends.
static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Reserves a port of 127.0.0.1 for this process and the processes that it starts.
///
/// # Panics
///
/// Panics if no port is free.
pub fn reserve_address() -> SocketAddr {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    let start = FIRST_PORT + (std::process::id() % 100) as u16 * 40;
    for port in (start..END_PORT).chain(FIRST_PORT..start) {
        let Ok(reservation) = TcpListener::bind((RESERVATION_IP, port)) else {
            continue;
        };
        // A process of an earlier run may still use the port on 127.0.0.1.
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_err() {
            continue;
        }
        reserved.push(reservation);
        return SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    }
    panic!("no free port from {FIRST_PORT} to {END_PORT}; end processes of earlier test runs");
}
