//! Tests of which datagrams the gossip socket sends and receives.

use crate::support::*;
use marlshelf::GatewayId;
use marlshelf::gateway::gossip_socket::{GossipHandler, GossipSocket, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Forwards received gossip to a channel.
struct Recorder(mpsc::UnboundedSender<(GatewayId, String)>);

impl GossipHandler for Recorder {
    fn handle_gossip(&self, from: GatewayId, text: &str) {
        let _ = self.0.send((from, text.to_owned()));
    }
}

/// Binds a socket that the runtime knows to be writable. Until then, `GossipSocket::send` drops every
/// datagram.
async fn bind_any() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind(ANY_PORT).await.expect("a port");
    socket.writable().await.expect("writable");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

#[test]
fn only_text_of_allowed_length_from_another_gateway_is_received() {
    run_local(async {
        let (own, own_address) = bind_any().await;
        let (peer, peer_address) = bind_any().await;
        let (stranger, _) = bind_any().await;
        let gossip = GossipSocket::new(own, vec![own_address, peer_address]);
        let (sender, mut received) = mpsc::unbounded_channel();
        tokio::task::spawn_local(
            gossip
                .clone()
                .listen(Rc::new(Recorder(sender)), GatewayId(0)),
        );

        let longest = "x".repeat(MAX_DATAGRAM_BYTES);
        let too_long = "x".repeat(MAX_DATAGRAM_BYTES + 1);
        gossip.send(GatewayId(0), "from the gateway itself");
        for (socket, datagram) in [
            (&stranger, b"from an unknown address".as_slice()),
            (&peer, too_long.as_bytes()),
            (&peer, b"\xff\xfe"),
            (&peer, longest.as_bytes()),
            (&peer, b"last"),
        ] {
            socket
                .send_to(datagram, own_address)
                .await
                .expect("sent over loopback");
        }

        for expected in [longest.as_str(), "last"] {
            let gossip = timeout(TEST_TIMEOUT, received.recv()).await;
            assert_eq!(
                gossip.expect("in time"),
                Some((GatewayId(1), expected.to_owned()))
            );
        }
    });
}

#[test]
fn a_datagram_over_the_limit_or_to_an_unknown_gateway_is_not_sent() {
    run_local(async {
        let (own, own_address) = bind_any().await;
        let (peer, peer_address) = bind_any().await;
        let gossip = GossipSocket::new(own, vec![own_address, peer_address]);
        gossip.send(GatewayId(1), &"x".repeat(MAX_DATAGRAM_BYTES + 1));
        gossip.send(GatewayId(2), "to an unknown gateway");
        gossip.send(GatewayId(1), "the only datagram sent");
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = timeout(TEST_TIMEOUT, peer.recv_from(&mut buffer))
            .await
            .expect("in time")
            .expect("received");
        assert_eq!(&buffer[..length], b"the only datagram sent");
        assert_eq!(from, own_address);
    });
}
