//! Gossip between the gateways of a fleet: one UDP socket, datagrams of at most 256 bytes.

use crate::GatewayId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The longest datagram that is sent or accepted. The users' rules allow no longer one.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a failed receive. Most errors report an earlier datagram that could not be delivered; one that lasts
/// must not make the task spin.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Receives the gossip of the other gateways.
pub trait GossipHandler {
    /// Handles one datagram. `from` is the gateway whose address it came from.
    fn handle_gossip(&self, from: GatewayId, text: &str);
}

/// The socket that connects this gateway with the others. Clones share the socket.
#[derive(Clone)]
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Uses this socket to talk to the gateways at these addresses, which are listed in the order of their ids.
    pub fn new(socket: UdpSocket, addresses: Vec<SocketAddr>) -> GossipSocket {
        GossipSocket {
            socket: Rc::new(socket),
            addresses,
        }
    }

    /// Sends a datagram if the socket takes it now. Gossip may be lost, so nothing waits for it.
    pub fn send(&self, to: GatewayId, text: &str) {
        if let Some(address) = self.addresses.get(to.0 as usize)
            && text.len() <= MAX_DATAGRAM_BYTES
        {
            let _ = self.socket.try_send_to(text.as_bytes(), *address);
        }
    }

    /// Receives gossip for ever and hands it to `handler`. Datagrams from unknown addresses or from this gateway
    /// itself, too long ones, and those that are not UTF-8 are dropped.
    pub async fn listen<H: GossipHandler>(self, handler: Rc<H>, own_id: GatewayId) {
        // One byte more than allowed shows that a datagram is too long.
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, address)) = self.socket.recv_from(&mut buffer).await else {
                sleep(RECEIVE_ERROR_PAUSE).await;
                continue;
            };
            let Some(from) = self.gateway_at(address).filter(|id| *id != own_id) else {
                continue;
            };
            if length > MAX_DATAGRAM_BYTES {
                continue;
            }
            if let Ok(text) = std::str::from_utf8(&buffer[..length]) {
                handler.handle_gossip(from, text);
            }
        }
    }

    fn gateway_at(&self, address: SocketAddr) -> Option<GatewayId> {
        let position = self.addresses.iter().position(|known| *known == address)?;
        u32::try_from(position).ok().map(GatewayId)
    }
}
