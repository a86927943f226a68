//! The gatekeeper between its clients and workers, where the order of events has to be forced.

use crate::support::*;
use marlshelf::EndpointState;
use marlshelf::gateway::clients::{ClientConnections, ClientListener, RequestSchema};
use marlshelf::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use marlshelf::gateway::event_loop::{Gateway, GatewayHandle};
use marlshelf::gateway::resp;
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};

fn worker(at: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        uid: "s-1".into(),
        endpoint: at,
        zone: String::new(),
        model: String::new(),
        cell: 0,
        health: EndpointState::Ready,
        size: 1.0,
        boot_ms: 0.0,
    }
}

/// A gateway that knows one worker, with a connection to it that takes little at once, and the worker's end.
async fn narrow(listener: &TcpListener) -> (GatewayHandle, TcpStream) {
    SockRef::from(listener)
        .set_recv_buffer_size(4096)
        .expect("a socket");
    let at = listener.local_addr().expect("bound");
    let gateway = Gateway::new(config(at), None, 8).expect("sound settings");
    gateway.borrow_mut().endpoints_changed(EndpointUpdate {
        revision: 1,
        snapshot: true,
        endpoints: vec![worker(at)],
    });
    let stream = TcpStream::connect(at).await.expect("connected");
    SockRef::from(&stream)
        .set_send_buffer_size(4096)
        .expect("a socket");
    let (far, _) = listener.accept().await.expect("connected");
    gateway.borrow_mut().adopt_connection("s-1", stream);
    (gateway, far)
}

/// A client that has sent a request of this class, with so long a body.
async fn asked(
    gateway: &GatewayHandle,
    class: &str,
    body: usize,
) -> (Rc<ClientConnections>, TcpStream) {
    let door = TcpListener::bind(ANY).await.expect("a port");
    let at = door.local_addr().expect("bound");
    let clients = ClientConnections::new(8, 1 << 20);
    let schema = RequestSchema::new(&config(at).document);
    let listener = ClientListener::new(clients.clone(), gateway.clone(), schema);
    tokio::task::spawn_local(async move { listener.accept(&door).await });
    let mut client = TcpStream::connect(at).await.expect("connected");
    client
        .write_all(&command(class, "9b1f03aa5c7e2d41", body))
        .await
        .expect("written");
    (clients, client)
}

fn command(class: &str, id: &str, body: usize) -> Vec<u8> {
    let fields = format!("c={class},t=p,d=8000,k=1,units=1,spread=1,first=0");
    let mut command = b"*5\r\n".to_vec();
    for part in ["Q.DO", "00000000b4d65521", id, &fields] {
        resp::put_bulk(&mut command, part.as_bytes());
    }
    resp::put_bulk(&mut command, &vec![b'x'; body]);
    command
}

/// Has a client end its sending without a turn for the runtime, and waits until the socket knows.
fn ends_unseen(client: &TcpStream, clients: &ClientConnections) {
    SockRef::from(client)
        .shutdown(Shutdown::Write)
        .expect("open");
    let begun = Instant::now();
    while clients.disconnected_count() == 0 {
        assert!(begun.elapsed() < LONG, "only the runtime would see it");
    }
}

#[test]
fn the_rest_of_a_command_is_not_written_once_its_client_has_left() {
    play(async {
        let workers = TcpListener::bind(ANY).await.expect("a port");
        let (gateway, mut far) = narrow(&workers).await;
        let (clients, client) = asked(&gateway, "pay", 60_000).await;
        far.peek(&mut [0]).await.expect("the command has begun");
        drop(client);
        timeout(LONG, clients.connection_closed())
            .await
            .expect("its end is seen");
        let mut came = Vec::new();
        let ended = timeout(LONG, far.read_to_end(&mut came)).await;
        assert!(
            ended.is_ok(),
            "the connection stays open, {} bytes came",
            came.len()
        );
        assert!(
            resp::command(&came).is_ok_and(|whole| whole.is_none()),
            "it came whole"
        );
    });
}

/// Whether a further attempt is written on a connection that comes up so long after the first one began.
async fn repeated_after(class: &str, ms: u64) -> bool {
    let workers = TcpListener::bind(ANY).await.expect("a port");
    let (gateway, first) = narrow(&workers).await;
    let (asks, mut asked_for) = mpsc::unbounded_channel();
    let (up, goes_up) = watch::channel(false);
    gateway.borrow_mut().set_connector(Rc::new(move |at| {
        let (asks, mut goes_up) = (asks.clone(), goes_up.clone());
        Box::pin(async move {
            let _ = asks.send(());
            let _ = goes_up.wait_for(|up| *up).await;
            TcpStream::connect(at).await
        })
    }));
    let (_clients, _client) = asked(&gateway, class, 4).await;
    first.peek(&mut [0]).await.expect("the first attempt");
    let begun = Instant::now();
    // It may have run: a further attempt goes to the other worker of its cell, as soon as there is a connection.
    let other = ListedEndpoint {
        uid: "s-2".into(),
        ..worker(workers.local_addr().expect("bound"))
    };
    gateway.borrow_mut().endpoints_changed(EndpointUpdate {
        revision: 2,
        snapshot: false,
        endpoints: vec![other],
    });
    drop(first);
    timeout(LONG, asked_for.recv())
        .await
        .expect("a further attempt")
        .expect("open");
    sleep_until(begun + Duration::from_millis(ms)).await;
    up.send_replace(true);
    let (mut end, _) = workers.accept().await.expect("connected");
    let mut byte = [0];
    timeout(LONG, end.read(&mut byte))
        .await
        .expect("it is closed or used")
        .is_ok_and(|n| n > 0)
}

#[test]
fn a_keyed_request_is_not_repeated_once_its_window_passed_as_a_connection_came_up() {
    play(async {
        assert!(repeated_after("order", 100).await);
        assert!(!repeated_after("brief", 1000).await);
    });
}

#[test]
fn a_connection_that_comes_up_too_late_costs_its_attempt_only() {
    play(async {
        let (slow, quick) = (
            TcpListener::bind(ANY).await.expect("a port"),
            TcpListener::bind(ANY).await.expect("a port"),
        );
        let (late, other) = (
            slow.local_addr().expect("bound"),
            quick.local_addr().expect("bound"),
        );
        let gateway = Gateway::new(config(late), None, 8).expect("sound settings");
        let (up, goes_up) = watch::channel(false);
        gateway.borrow_mut().set_connector(Rc::new(move |at| {
            let mut goes_up = goes_up.clone();
            Box::pin(async move {
                if at == late {
                    let _ = goes_up.wait_for(|up| *up).await;
                }
                TcpStream::connect(at).await
            })
        }));
        let both = [
            worker(late),
            ListedEndpoint {
                uid: "s-2".into(),
                ..worker(other)
            },
        ];
        gateway.borrow_mut().endpoints_changed(EndpointUpdate {
            revision: 1,
            snapshot: true,
            endpoints: both.to_vec(),
        });
        let drains = ListedEndpoint {
            health: EndpointState::Draining,
            ..both[1].clone()
        };
        gateway.borrow_mut().endpoints_changed(EndpointUpdate {
            revision: 2,
            snapshot: false,
            endpoints: vec![drains],
        });
        tokio::task::spawn_local(Gateway::run_timers(gateway.clone()));
        let (_clients, mut client) = asked(&gateway, "pay", 4).await;
        while gateway.borrow().active_requests() == 0 {
            tokio::task::yield_now().await;
        }
        // Now there is another one, which is tried once the first has not come up in time.
        gateway.borrow_mut().endpoints_changed(EndpointUpdate {
            revision: 3,
            snapshot: false,
            endpoints: vec![both[1].clone()],
        });
        let (mut line, _) = timeout(LONG, quick.accept())
            .await
            .expect("a further attempt")
            .expect("connected");
        line.peek(&mut [0]).await.expect("the command");
        line.write_all(b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n")
            .await
            .expect("written");
        let mut answer = [0; 8];
        client.read_exact(&mut answer).await.expect("answered");
        assert_eq!(&answer, b"$2\r\nhi\r\n");
        // By the next one it would come up at once: that is sent on it, and nothing else.
        up.send_replace(true);
        let gone = ListedEndpoint {
            health: EndpointState::Removed,
            ..both[1].clone()
        };
        gateway.borrow_mut().endpoints_changed(EndpointUpdate {
            revision: 4,
            snapshot: false,
            endpoints: vec![gone],
        });
        let (_more, _next) = asked(&gateway, "pay", 5).await;
        let (mut line, _) = timeout(LONG, slow.accept())
            .await
            .expect("it is tried again")
            .expect("connected");
        let mut came = Vec::new();
        while resp::command(&came).expect("sound").is_none() {
            timeout(LONG, line.read_buf(&mut came))
                .await
                .expect("the next request")
                .expect("open");
        }
        assert!(
            came.ends_with(b"$5\r\nxxxxx\r\n"),
            "{}",
            String::from_utf8_lossy(&came)
        );
    });
}

#[test]
fn what_waits_behind_a_full_pipeline_is_not_begun_once_its_client_has_left_unseen() {
    play(async {
        let workers = TcpListener::bind(ANY).await.expect("a port");
        let (gateway, far) = narrow(&workers).await;
        let (clients, mut client) = asked(&gateway, "pay", 4).await;
        far.peek(&mut [0]).await.expect("the first one");
        client
            .write_all(&[PING.repeat(127), command("pay", "00000000000000ff", 4)].concat())
            .await
            .expect("written");
        // As many turns as they need to fill the line, with no room for the one behind, and more.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        assert_eq!(gateway.borrow().requests_received(), 1);
        ends_unseen(&client, &clients);
        // A new life of its worker fails the first one, which makes room.
        let restarted = ListedEndpoint {
            boot_ms: 1.0,
            ..worker(workers.local_addr().expect("bound"))
        };
        gateway.borrow_mut().endpoints_changed(EndpointUpdate {
            revision: 2,
            snapshot: false,
            endpoints: vec![restarted],
        });
        timeout(LONG, clients.connection_closed())
            .await
            .expect("its end is seen");
        assert_eq!(
            gateway.borrow().requests_received(),
            1,
            "one more has begun"
        );
    });
}

#[test]
fn of_many_commands_the_rest_is_not_begun_once_the_client_has_left_unseen() {
    play(async {
        let workers = TcpListener::bind(ANY).await.expect("a port");
        let (gateway, far) = narrow(&workers).await;
        let (clients, mut client) = asked(&gateway, "pay", 4).await;
        far.peek(&mut [0]).await.expect("the first one");
        let many: Vec<u8> = (0..100)
            .flat_map(|k| command("pay", &format!("{k:016x}"), 4))
            .collect();
        client.write_all(&many).await.expect("written");
        while gateway.borrow().requests_received() == 1 {
            tokio::task::yield_now().await;
        }
        let taken = gateway.borrow().requests_received();
        ends_unseen(&client, &clients);
        timeout(LONG, clients.connection_closed())
            .await
            .expect("its end is seen");
        assert!(taken < 100, "all begun in one go");
        assert_eq!(
            gateway.borrow().requests_received(),
            taken,
            "more have begun"
        );
    });
}
