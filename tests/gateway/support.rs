//! Helpers that the tests of the gateway's parts share.

use marlshelf::SettingsDocument;
use marlshelf::gateway::configuration::Configuration;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Nothing in these tests waits this long unless it has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const ANY_PORT: &str = "127.0.0.1:0";
pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// The configuration of a gateway that is alone in its fleet.
pub fn test_configuration(address: SocketAddr) -> Configuration {
    let document: SettingsDocument = serde_json::from_value(serde_json::json!({
        "Balancers": 1,
        "Bounds": {"ConnectTimeout": 5000.0},
        "Classes": [
            {"Name": "pay", "Target": 8000.0, "Effect": "once", "Worth": 1.0},
            {"Name": "order", "Target": 8000.0, "Effect": "by_key", "Window": 60_000.0, "Worth": 1.0},
            {"Name": "brief", "Target": 8000.0, "Effect": "by_key", "Window": 900.0, "Worth": 1.0},
        ],
        "Plans": [{"Name": "p", "UnitsPerS": 10.0, "PeakUnits": 10.0, "ValueFactor": 1.0}],
    }))
    .expect("valid settings");
    Configuration {
        name: String::new(),
        listen_address: address,
        discovery_address: address,
        seed: 1,
        max_descriptors: 64,
        max_memory_bytes: 32 << 20,
        gossip_address: None,
        peer_addresses: Vec::new(),
        cached_endpoints: None,
        settings: document.settings(),
        document,
    }
}

/// Runs a test on one thread, in a task set that allows `spawn_local`.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Writes without a turn for the runtime, which so has seen nothing of it when this returns.
pub fn write_unseen_by_runtime(client: TcpStream, bytes: &[u8]) -> TcpStream {
    let mut client = client.into_std().expect("a socket");
    client.write_all(bytes).expect("written");
    TcpStream::from_std(client).expect("a socket")
}

/// Reads until the other side closes the connection. A reset fails the test.
pub async fn read_to_end(client: &mut TcpStream) -> String {
    let mut text = String::new();
    timeout(TEST_TIMEOUT, client.read_to_string(&mut text))
        .await
        .expect("closed in time")
        .expect("closed without a reset");
    text
}
