//! Clients, where the order of events has to be forced inside the process.

use crate::support::*;
use marlshelf::gateway::client_connections::{ClientConnections, REQUEST_TIMEOUT};
use marlshelf::gateway::event_loop::Gateway;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Two clients that have been answered once, and the table that they are in.
async fn two_clients() -> (Rc<ClientConnections>, TcpStream, TcpStream) {
    let door = TcpListener::bind(ANY).await.expect("a port");
    let at = door.local_addr().expect("bound");
    let gateway = Gateway::new(config(at), None, 8).expect("sound settings");
    let clients = ClientConnections::new(8, 1 << 20);
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

#[test]
fn a_command_that_has_come_as_its_time_to_speak_is_up_is_answered() {
    play(async {
        let door = TcpListener::bind(ANY).await.expect("a port");
        let at = door.local_addr().expect("bound");
        let gateway = Gateway::new(config(at), None, 8).expect("sound settings");
        let clients = ClientConnections::new(8, 1 << 20);
        let accepting = clients.clone();
        tokio::task::spawn_local(async move { accepting.accept(&door, gateway).await });
        let client = TcpStream::connect(at).await.expect("connected");
        while clients.is_empty() {
            tokio::task::yield_now().await;
        }
        let mut client = unseen(client, PING);
        clients.expire(Instant::now() + 2 * REQUEST_TIMEOUT);
        clients.close_soon();
        assert_eq!(rest(&mut client).await, "+PONG\r\n");
    });
}

#[test]
fn an_end_that_the_runtime_has_not_seen_yet_is_known() {
    play(async {
        let (clients, one, _other) = two_clients().await;
        assert_eq!(clients.disconnected_count(), 0);
        drop(one);
        // No turn for the runtime: only the socket itself can know.
        let begun = Instant::now();
        while clients.disconnected_count() == 0 {
            assert!(begun.elapsed() < LONG, "only the runtime would see it");
        }
    });
}
