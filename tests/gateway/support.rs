//! What the tests of the host share.

use marlshelf::SettingsDocument;
use marlshelf::gateway::configuration::Configuration;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Nothing here waits this long unless it has failed.
pub const LONG: Duration = Duration::from_secs(20);
pub const ANY: &str = "127.0.0.1:0";
pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// What a gatekeeper that is alone is told.
pub fn config(here: SocketAddr) -> Configuration {
    let conf: SettingsDocument = serde_json::from_value(serde_json::json!({
        "Balancers": 1,
        "Bounds": {"ConnectTimeout": 5000.0},
        "Classes": [
            {"Name": "pay", "Target": 8000.0, "Effect": "once", "Worth": 1.0},
            {"Name": "order", "Target": 8000.0, "Effect": "by_key", "Window": 60_000.0, "Worth": 1.0},
            {"Name": "brief", "Target": 8000.0, "Effect": "by_key", "Window": 900.0, "Worth": 1.0},
        ],
        "Plans": [{"Name": "p", "UnitsPerS": 10.0, "PeakUnits": 10.0, "ValueFactor": 1.0}],
    }))
    .expect("sound settings");
    Configuration {
        name: String::new(),
        listen_address: here,
        discovery_address: here,
        seed: 1,
        max_descriptors: 64,
        max_memory_bytes: 32 << 20,
        gossip_address: None,
        peer_addresses: Vec::new(),
        known_endpoints: None,
        settings: conf.settings(),
        document: conf,
    }
}

pub fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Writes at once, so that the runtime has seen nothing of it.
pub fn unseen(client: TcpStream, bytes: &[u8]) -> TcpStream {
    let mut client = client.into_std().expect("a socket");
    client.write_all(bytes).expect("written");
    TcpStream::from_std(client).expect("a socket")
}

pub async fn rest(client: &mut TcpStream) -> String {
    let mut rest = String::new();
    timeout(LONG, client.read_to_string(&mut rest))
        .await
        .expect("it is closed")
        .expect("and not reset");
    rest
}
