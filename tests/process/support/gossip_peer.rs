//! A gateway in a fleet of two, with a UDP socket in place of its peer.

use super::{
    ANY_PORT, GatewayProcess, NO_SHELL_LIMITS, StandInDiscovery, StandInEndpoint, TEST_TIMEOUT,
    any_loopback_port, retry_interrupted,
};
use std::net::{SocketAddr, UdpSocket};

/// Larger than the maximum datagram size of 256 bytes, so that tests detect longer datagrams.
const DATAGRAM_BUFFER: usize = 512;

/// Quota request number 1 of the peer, for one token.
pub const QUOTA_REQUEST: &[u8] = b"a,aa,0,1,1.0,0.0,1.0,500;";

pub struct GatewayWithPeer {
    pub gateway: GatewayProcess,
    pub endpoint: StandInEndpoint,
    pub gossip_address: SocketAddr,
    pub peer: UdpSocket,
}

impl GatewayWithPeer {
    pub fn start() -> GatewayWithPeer {
        GatewayWithPeer::with_latency_objective(8000)
    }

    /// The gateway derives its timeout for an unresponsive quota owner from the latency objective.
    pub fn with_latency_objective(objective_ms: u32) -> GatewayWithPeer {
        let endpoint = StandInEndpoint::start();
        // Dropped when this function returns. The gateway keeps its first endpoint list without a watch.
        let discovery = StandInDiscovery::with_endpoint(endpoint.address);
        let peer = UdpSocket::bind(any_loopback_port()).expect("a free port exists");
        peer.set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a read timeout can be set");
        let gossip_address = UdpSocket::bind(any_loopback_port())
            .and_then(|socket| socket.local_addr())
            .expect("a free port exists");
        let peer_address = peer.local_addr().expect("the socket is bound");
        let config = format!(
            r#"{{"listen":"{ANY_PORT}","discovery":"{}","seed":"1","peer_listen":"{gossip_address}",
            "peers":["{gossip_address}","{peer_address}"],
            "settings":{{"Balancers":2,"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"Peers":true,"TryLimit":3}},
            "Classes":[{{"Name":"read","Target":{objective_ms},"Effect":"repeatable","Worth":1.0}}],
            "Domain":{{"Largest":4,"PeerIntake":60.0}},
            "Plans":[{{"Name":"p","UnitsPerS":10.0,"PeakUnits":10.0,"ValueFactor":1.0}}]}}}}"#,
            discovery.address,
        );
        GatewayWithPeer {
            gateway: GatewayProcess::start(&config, NO_SHELL_LIMITS),
            endpoint,
            gossip_address,
            peer,
        }
    }

    /// Sends a datagram from the peer to the gateway.
    pub fn send(&self, datagram: impl AsRef<[u8]>) {
        self.peer
            .send_to(datagram.as_ref(), self.gossip_address)
            .expect("the datagram is sent");
    }

    /// Returns the next datagram that the peer receives.
    #[track_caller]
    pub fn receive(&self) -> String {
        let mut bytes = [0; DATAGRAM_BUFFER];
        let (length, _) = retry_interrupted(|| self.peer.recv_from(&mut bytes))
            .expect("the gateway sends a datagram within the timeout");
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    }

    /// Requests one token from the gateway as the quota owner, and returns its response.
    #[track_caller]
    pub fn request_quota(&self, number: u32) -> String {
        self.send(format!("a,aa,0,{number:x},1.0,0.0,1.0,500;"));
        let mut bytes = [0; DATAGRAM_BUFFER];
        let (length, sender) = retry_interrupted(|| self.peer.recv_from(&mut bytes))
            .expect("the gateway answers a quota request of its peer");
        assert!(
            sender == self.gossip_address && length <= 256,
            "expected at most 256 bytes from {}, got {length} from {sender}",
            self.gossip_address
        );
        String::from_utf8_lossy(&bytes[..length]).into_owned()
    }

    /// Waits until the peer has received quota requests for `count` client requests, and returns the grants
    /// for them. The gateway repeats a quota request that it gets no response to, so the grants are
    /// deduplicated.
    #[track_caller]
    pub fn wait_for_quota_requests(&self, count: usize) -> Vec<String> {
        let mut grants = Vec::new();
        while grants.len() < count {
            let datagram = self.receive();
            let requests = datagram.split(';').filter(|message| !message.is_empty());
            grants.extend(requests.map(|request| QuotaRequest::parse(request).grant()));
            grants.sort();
            grants.dedup();
        }
        grants
    }
}

/// The fields of a quota request that the response to it repeats.
pub struct QuotaRequest {
    tenant_key: String,
    number: String,
    tokens: String,
}

impl QuotaRequest {
    /// Parses a quota request. Panics if the message is of another kind.
    #[track_caller]
    pub fn parse(message: &str) -> QuotaRequest {
        let parts: Vec<&str> = message.split(',').collect();
        assert_eq!(parts[0], "a", "expected a quota request, got {message:?}");
        QuotaRequest {
            tenant_key: parts[1].into(),
            number: parts[3].into(),
            tokens: parts[4].into(),
        }
    }

    /// Returns the response that grants all requested tokens.
    pub fn grant(&self) -> String {
        self.grant_of(&self.tokens)
    }

    /// Returns the response that grants `tokens`.
    pub fn grant_of(&self, tokens: &str) -> String {
        format!(
            "g,{},1,{},{tokens},1.0,1.0,9.0;",
            self.tenant_key, self.number
        )
    }
}
