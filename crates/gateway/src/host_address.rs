//! Check of addresses that other writers have left in the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Whether an address may be that of a single process. Connections to any other address fail, or
/// reach this machine.
pub fn is_host_address(address: &SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
