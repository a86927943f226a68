//! Stand-ins for the parties around the gateway, and the parts that all cases share. Only the standard library.

pub mod client;
pub mod discovery;
pub mod gateway;
pub mod random;
pub mod record;
pub mod resp;
pub mod settings;
pub mod worker;

use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Returns a loopback address with a free TCP port.
pub fn free_tcp_address() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("a bound address")
}

/// Returns a loopback address with a free UDP port.
pub fn free_udp_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("a bound address")
}

/// Whether the disruption of the case is switched on. `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
