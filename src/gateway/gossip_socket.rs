//! The UDP socket that exchanges gossip with the other gateways of the fleet, in datagrams of at most 256
//! bytes.

use crate::GatewayId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The maximum datagram length, sent or received, as specified in the requirements on the gateway.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after a failed receive. Most errors report that an earlier datagram could not be delivered. The
/// pause keeps the task from spinning on a persistent error.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(1);

/// Processes the gossip that [`GossipSocket::listen`] receives.
pub trait GossipHandler {
    /// Processes the text of one datagram. `from` is the gateway with the source address of the datagram.
    fn handle_gossip(&self, from: GatewayId, text: &str);
}

/// A socket for gossip with the other gateways. Clones share the underlying UDP socket.
#[derive(Clone)]
pub struct GossipSocket {
    socket: Rc<UdpSocket>,
    addresses: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Wraps a bound socket. `addresses` holds the gossip address of each gateway, indexed by gateway id.
    pub fn new(socket: UdpSocket, addresses: Vec<SocketAddr>) -> GossipSocket {
        GossipSocket {
            socket: Rc::new(socket),
            addresses,
        }
    }

    /// Sends a datagram without waiting. The datagram is dropped if the socket's send buffer is full, the
    /// gateway is unknown or the text is too long; the gossip protocol tolerates losses.
    pub fn send(&self, to: GatewayId, text: &str) {
        if let Some(address) = self.addresses.get(to.0 as usize)
            && text.len() <= MAX_DATAGRAM_BYTES
        {
            let _ = self.socket.try_send_to(text.as_bytes(), *address);
        }
    }

    /// Receives datagrams in an endless loop and passes their text to `handler`. Drops datagrams that come
    /// from an unknown address or from this gateway itself, are too long, or are not valid UTF-8.
    pub async fn listen<H: GossipHandler>(self, handler: Rc<H>, own_id: GatewayId) {
        // The extra byte distinguishes a datagram of the maximum length from one that is too long.
        let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, address)) = self.socket.recv_from(&mut buffer).await else {
                sleep(RECEIVE_ERROR_DELAY).await;
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
