//! Filtering of datagrams on the gossip socket.

use crate::support::*;
use std::net::UdpSocket;

#[test]
fn malformed_datagrams_and_datagrams_from_unknown_senders_are_ignored() {
    let pair = GatewayWithPeer::start();
    let unknown_sender = UdpSocket::bind(any_loopback_port()).expect("a free port exists");
    pair.send([b'a'; 300]);
    pair.send([0xff; 10]);
    pair.send("a,1,99999,zz;g,1,7,1,-1,0,0,0;t,,;;,,,");
    unknown_sender
        .send_to(QUOTA_REQUEST, pair.gossip_address)
        .expect("the datagram is sent");
    let response = pair.request_quota(1);
    assert!(
        response.starts_with("g,aa,1,1,"),
        "expected a grant for the peer's request, got {response:?}"
    );
    unknown_sender
        .set_nonblocking(true)
        .expect("the socket can be made non-blocking");
    assert!(
        unknown_sender.recv_from(&mut [0; 512]).is_err(),
        "expected no response to an unknown sender"
    );
}
