//! The ways in which clients disconnect, in both phases of a gateway's life.

use super::{Connection, GatewayProcess, unconnected_stream, wait_until_disconnected};
use std::io::BufReader;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Disconnect {
    /// The client ends its sending direction and goes on reading.
    HalfClose,
    Close,
    Reset,
}

impl Disconnect {
    pub const ALL: [Disconnect; 3] = [Disconnect::HalfClose, Disconnect::Close, Disconnect::Reset];

    /// Disconnects these clients and waits until the kernel has delivered each disconnect to the gateway's end.
    #[track_caller]
    pub fn apply(self, gateway: &GatewayProcess, clients: &mut [Connection]) {
        let ports: Vec<u16> = clients.iter().map(local_port).collect();
        for client in clients {
            self.start(client);
        }
        wait_until_disconnected(gateway.address, &ports);
    }

    fn start(self, client: &mut Connection) {
        if self == Disconnect::Reset {
            reset_on_close(client);
        }
        match self {
            Disconnect::HalfClose => client.half_close(),
            // The stream's only owner is the client: replacing it closes the connection.
            Disconnect::Close | Disconnect::Reset => {
                client.stream = BufReader::new(unconnected_stream());
            }
        }
    }
}

fn local_port(client: &Connection) -> u16 {
    client
        .stream
        .get_ref()
        .local_addr()
        .expect("the client is connected")
        .port()
}

/// Has the kernel send RST in place of FIN once the connection is closed.
pub fn reset_on_close(client: &Connection) {
    socket2::SockRef::from(client.stream.get_ref())
        .set_linger(Some(Duration::ZERO))
        .expect("the connection is open");
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Serving,
    ShuttingDown,
}

impl Phase {
    pub const ALL: [Phase; 2] = [Phase::Serving, Phase::ShuttingDown];
}

/// A way to disconnect, in one phase of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectCase {
    pub disconnect: Disconnect,
    pub phase: Phase,
}

impl DisconnectCase {
    pub fn all() -> impl Iterator<Item = DisconnectCase> {
        Disconnect::ALL.into_iter().flat_map(|disconnect| {
            Phase::ALL
                .into_iter()
                .map(move |phase| DisconnectCase { disconnect, phase })
        })
    }

    /// Begins the shutdown if this is a case of it.
    #[track_caller]
    pub fn enter_phase(self, gateway: &GatewayProcess) {
        if self.phase == Phase::ShuttingDown {
            gateway.begin_shutdown();
        }
    }
}
