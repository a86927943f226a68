//! Tests of events that cross, where the order has to be forced inside the process.

use crate::backoff::Backoff;
use crate::clients::Clients;
use crate::config::Config;
use crate::discovery;
use crate::gateway::Gateway;
use frostvale::Conf;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Nothing here waits this long unless it has failed.
pub const LONG: Duration = Duration::from_secs(20);
pub const ANY: &str = "127.0.0.1:0";
pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// What a gatekeeper that is alone is told.
pub fn config(here: SocketAddr) -> Config {
    let conf: Conf = serde_json::from_value(serde_json::json!({
        "Balancers": 1,
        "Classes": [
            {"Name": "pay", "Target": 8000.0, "Effect": "once", "Worth": 1.0},
            {"Name": "order", "Target": 8000.0, "Effect": "by_key", "Window": 900.0, "Worth": 1.0},
        ],
        "Plans": [{"Name": "p", "UnitsPerS": 10.0, "PeakUnits": 10.0, "ValueFactor": 1.0}],
    }))
    .expect("sound settings");
    Config {
        name: String::new(),
        listen: here,
        discovery: here,
        seed: 1,
        sockets: 64,
        memory: 32 << 20,
        peer_listen: None,
        peers: Vec::new(),
        known: None,
        settings: conf.settings(),
        conf,
    }
}

pub fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Two clients that have been answered once, and the table that they are in.
async fn two_clients() -> (Rc<Clients>, TcpStream, TcpStream) {
    let door = TcpListener::bind(ANY).await.expect("a port");
    let at = door.local_addr().expect("bound");
    let gateway = Gateway::new(config(at), None, 8).expect("sound settings");
    let clients = Clients::new(8, 1 << 20);
    let accepting = clients.clone();
    spawn_local(async move { accepting.accept(&door, gateway).await });
    (clients, answered(at).await, answered(at).await)
}

async fn answered(at: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(at).await.expect("connected");
    client.write_all(PING).await.expect("written");
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.expect("answered");
    client
}

/// Writes at once, so that the runtime has seen nothing of it.
pub fn unseen(client: TcpStream, bytes: &[u8]) -> TcpStream {
    let mut client = client.into_std().expect("a socket");
    client.write_all(bytes).expect("written");
    TcpStream::from_std(client).expect("a socket")
}

pub async fn rest(client: &mut TcpStream) -> String {
    let mut rest = String::new();
    timeout(LONG, client.read_to_string(&mut rest)).await.expect("it is closed").expect("and not reset");
    rest
}

#[test]
fn a_request_that_has_come_as_its_connection_is_closed_is_answered() {
    play(async {
        let (clients, client, _) = two_clients().await;
        let mut client = unseen(client, PING);
        clients.close_soon();
        assert_eq!(rest(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn a_command_of_which_a_part_has_come_by_the_end_is_answered() {
    play(async {
        let (clients, client, mut idle) = two_clients().await;
        let mut client = unseen(client, &PING[..9]);
        clients.close_soon();
        assert_eq!(rest(&mut idle).await, "", "who has said nothing is closed");
        client.write_all(&PING[9..]).await.expect("still open");
        assert_eq!(rest(&mut client).await, "+PONG\r\n");
    });
}

/// A gatekeeper follows this discovery, whose first watch has been given its first line.
async fn followed() -> (TcpListener, TcpStream, watch::Sender<SocketAddr>) {
    const LIST: &str = r#"{"rev":1,"all":true,"targets":[]}"#;
    tokio::time::pause();
    let listener = TcpListener::bind(ANY).await.expect("a port");
    let at = listener.local_addr().expect("bound");
    let config = config(at);
    let backoff = Backoff::new(&config.conf, 7);
    let gateway = Gateway::new(config, None, 8).expect("sound settings");
    let (moved, at) = watch::channel(at);
    spawn_local(discovery::follow(gateway, at, None, backoff));
    let (mut stream, _) = listener.accept().await.expect("a call");
    stream.set_nodelay(true).expect("a socket");
    let mut asked = [0; 1024];
    assert!(stream.read(&mut asked).await.is_ok_and(|n| n > 0));
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    stream.write_all(whole.as_bytes()).await.expect("written");
    assert!(stream.read(&mut asked).await.is_ok_and(|n| n > 0));
    let chunk = format!("{:x}\r\n{LIST}\n\r\n", LIST.len() + 1);
    let line = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    stream.write_all(line.as_bytes()).await.expect("written");
    (listener, stream, moved)
}

#[test]
fn a_silent_watch_leaves_time_for_two_calls_that_hang_as_well() {
    play(async {
        let (listener, _stream, _moved) = followed().await;
        let heard = Instant::now();
        let mut calls = Vec::new();
        for _ in 0..3 {
            calls.push(listener.accept().await.expect("a call"));
        }
        // What it misses counts as told after 6 s, and a drain must be kept half a second later.
        let passed = heard.elapsed();
        assert!(passed < Duration::from_millis(6500), "{passed:?} after its last word");
    });
}

#[test]
fn pieces_of_a_line_that_never_ends_do_not_keep_a_watch_alive() {
    play(async {
        let (listener, mut stream, _moved) = followed().await;
        let endless = async move {
            while stream.write_all(b"1\r\n \r\n").await.is_ok() {
                sleep(Duration::from_millis(500)).await;
            }
            std::future::pending().await
        };
        let again = async {
            timeout(LONG, listener.accept()).await.expect("it is opened anew").expect("a call");
        };
        tokio::select! {
            () = again => {}
            () = endless => {}
        }
    });
}
