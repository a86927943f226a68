//! The start: a gatekeeper is ready whatever discovery does, however much it is told, and as soon as its
//! addresses are free.

use crate::fakes::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};

/// Waits until it serves, and is answered. Its former life may hold its port before: by the log it is itself.
fn ready(node: &mut Node) {
    node.at = node
        .says(" serves at ")
        .rsplit(' ')
        .next()
        .and_then(|a| a.parse().ok())
        .expect("an address");
    let mut client = node.client();
    client.say(words(&["PING"]));
    assert_eq!(client.answer(), "+PONG");
}

fn serves(node: &Node) -> bool {
    node.log
        .lock()
        .expect("whole")
        .iter()
        .any(|line| line.contains(" serves at "))
}

/// The same configuration, to listen here.
fn listen_at(config: &str, at: SocketAddr) -> String {
    let here = config.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{at}""#));
    assert_ne!(here, config);
    here
}

fn with_notes_at(discovery: SocketAddr, at: SocketAddr) -> String {
    let setup = Setup {
        bounds: r#""ConnectTimeout":5000.0,"ConnIdle":600000.0,"Peers":true"#,
        ..Setup::new(discovery)
    };
    setup
        .config()
        .replace(r#""peer_listen":"""#, &format!(r#""peer_listen":"{at}""#))
}

/// An address where connections are refused for as long as what comes with it is kept.
fn nobody_listens() -> (SocketAddr, socket2::Socket) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    (
        socket
            .local_addr()
            .ok()
            .and_then(|at| at.as_socket())
            .expect("bound"),
        socket,
    )
}

/// An address of this test's own: what it leaves is not given to another that asks for any port.
fn own_door(last: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 5, last], 0))).expect("a port")
}

#[test]
fn one_is_ready_while_discovery_refuses() {
    let (nowhere, _socket) = nobody_listens();
    ready(&mut spawn(&Setup::new(nowhere).config(), "exec"));
}

#[test]
fn one_is_ready_while_discovery_hangs_and_takes_the_list_that_comes_at_last() {
    let (worker, slow) = (Door::open(), Door::open());
    let mut node = spawn(&Setup::new(slow.at).config(), "exec");
    let mut first = slow.next();
    ready(&mut node);
    // The call goes on for as long as one may, and the next ones bring nothing either, until one does.
    assert!(first.line().starts_with("GET /v1/servers "));
    let targets = list(1, true, &[target("s-1", worker.at, "ready", 0)]);
    let mut call = slow.asked();
    call.say(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{targets}",
        targets.len()
    ));
    let _watch = slow.asked();
    let mut client = node.client();
    client.say(ask(8000));
    let mut line = worker.next();
    line.command();
    line.serve("listed");
    assert_eq!(client.answer(), "listed");
}

#[test]
fn one_is_ready_while_the_list_never_ends_and_while_nobody_takes_the_call() {
    let (slow, (pending, _filler)) = (Door::open(), full());
    let mut node = spawn(&Setup::new(slow.at).config(), "exec");
    let mut call = slow.next();
    call.say("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"rev\":1,");
    ready(&mut node);
    ready(&mut spawn(
        &Setup::new(pending.local_addr().expect("bound")).config(),
        "exec",
    ));
}

#[test]
fn many_that_start_at_once_are_all_ready_while_discovery_is_away() {
    let (nowhere, _socket) = nobody_listens();
    let silent = Door::open();
    let setups = [Setup::new(nowhere), Setup::new(silent.at)];
    let mut nodes: Vec<Node> = setups
        .iter()
        .cycle()
        .take(20)
        .map(|setup| spawn(&setup.config(), "exec"))
        .collect();
    nodes.iter_mut().for_each(ready);
}

#[test]
fn one_that_knows_very_many_workers_is_ready_and_sends_to_them() {
    let (nowhere, _socket) = nobody_listens();
    let worker = Door::open();
    // The last ones are more than discovery may send in one list.
    for count in [20_000, 40_000] {
        let elsewhere = (0..count).map(|k| {
            let at = SocketAddr::from(([127, 9, (k >> 8) as u8, k as u8], 6379));
            target(&format!("s-{k}"), at, "draining", 0)
        });
        let targets: Vec<String> = elsewhere
            .chain([target("s-here", worker.at, "ready", 0)])
            .collect();
        let known = list(41, true, &targets);
        let mut node = spawn(
            &Setup {
                known,
                ..Setup::new(nowhere)
            }
            .config(),
            "exec",
        );
        ready(&mut node);
        let mut client = node.client();
        client.say(ask(8000));
        let mut line = worker.next();
        line.command();
        line.serve("known");
        assert_eq!(client.answer(), "known");
    }
}

#[test]
fn one_that_knows_very_many_ready_workers_is_ready() {
    let (nowhere, _socket) = nobody_listens();
    let targets: Vec<String> = (0..65_000_u32)
        .map(|k| {
            let at = SocketAddr::from(([127, 9, (k >> 8) as u8, k as u8], 6379));
            target(&format!("s-{k}"), at, "ready", 0)
        })
        .collect();
    let known = list(41, true, &targets);
    ready(&mut spawn(
        &Setup {
            known,
            ..Setup::new(nowhere)
        }
        .config(),
        "exec",
    ));
}

#[test]
fn one_that_is_told_nonsense_of_its_workers_is_ready() {
    let (nowhere, _socket) = nobody_listens();
    let odd = [
        "7".into(),
        r#"{"rev":-1,"all":true,"targets":[]}"#.into(),
        r#"{"rev":1,"all":true,"targets":[{"uid":"s-1","state":"ready","endpoint":"nowhere"},7]}"#
            .into(),
        list(1, true, &[]),
        list(
            1,
            true,
            &[
                target("s-1", nowhere, "ready", 0),
                target("s-1", nowhere, "gone", 0),
            ],
        ),
    ];
    let mut nodes: Vec<Node> = odd
        .into_iter()
        .map(|known| {
            spawn(
                &Setup {
                    known,
                    ..Setup::new(nowhere)
                }
                .config(),
                "exec",
            )
        })
        .collect();
    nodes.iter_mut().for_each(ready);
}

#[test]
fn one_whose_address_is_in_use_says_so_and_is_ready_once_it_is_free() {
    let (nowhere, _socket) = nobody_listens();
    let door = own_door(1);
    let at = door.local_addr().expect("bound");
    let mut node = spawn(&listen_at(&Setup::new(nowhere).config(), at), "exec");
    node.says(&format!("{at} is in use"));
    assert!(!serves(&node));
    drop(door);
    ready(&mut node);
    assert_eq!(node.at, at);
}

#[test]
fn one_whose_address_for_notes_is_in_use_lets_nobody_in_before_it_is_free() {
    let (nowhere, _socket) = nobody_listens();
    let door = own_door(2);
    let at = door.local_addr().expect("bound");
    drop(door);
    let former = UdpSocket::bind(at).expect("a port");
    let mut node = spawn(&listen_at(&with_notes_at(nowhere, at), at), "exec");
    node.says(&format!("{at} is in use"));
    // Whom it let in now it could answer only later, or never.
    assert!(TcpStream::connect(at).is_err());
    drop(former);
    ready(&mut node);
    assert_eq!(node.at, at);
}

#[test]
fn one_that_waits_for_its_address_ends_when_told_to() {
    let (nowhere, _socket) = nobody_listens();
    let door = own_door(3);
    let at = door.local_addr().expect("bound");
    let mut node = spawn(&listen_at(&Setup::new(nowhere).config(), at), "exec");
    node.says(&format!("{at} is in use"));
    node.signal("-TERM");
    node.says(" stops");
    assert!(node.exit().success());
    assert!(!serves(&node));
}

#[test]
fn one_that_can_never_have_its_address_says_so_at_once() {
    let (nowhere, _socket) = nobody_listens();
    // An address of documentation, which no machine has.
    let at = SocketAddr::from(([192, 0, 2, 1], 6379));
    let mut node = spawn(&listen_at(&Setup::new(nowhere).config(), at), "exec");
    node.says(&format!("cannot listen at {at}"));
    assert!(!node.exit().success());
}

#[test]
fn one_that_is_started_while_its_former_life_says_farewell_takes_over_from_it() {
    let (worker, door) = (Door::open(), own_door(4));
    let at = door.local_addr().expect("bound");
    drop(door);
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let config = listen_at(&with_notes_at(discovery.at, at), at);
    let mut former = start(&config, "exec");
    let mut busy = former.client();
    busy.say(ask(8000));
    let mut out = worker.next();
    out.command();
    // It is told to end, and hears of it as its next life is there already.
    former.signal("-STOP");
    former.signal("-TERM");
    let mut node = spawn(&config, "exec");
    node.says(&format!("{at} is in use"));
    former.signal("-CONT");
    former.says(" stops");
    out.serve("by the former");
    assert_eq!(busy.answer(), "by the former");
    ready(&mut node);
    assert!(former.exit().success(), "untouched by its next life");
    let mut client = node.client();
    client.say(ask(8000));
    let mut line = worker.next();
    line.command();
    line.serve("by the next");
    assert_eq!(client.answer(), "by the next");
}

#[test]
fn one_that_is_started_as_its_former_life_is_killed_is_ready_over_what_that_left() {
    let (worker, door) = (Door::open(), own_door(5));
    let at = door.local_addr().expect("bound");
    drop(door);
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let config = listen_at(&with_notes_at(discovery.at, at), at);
    let mut former = start(&config, "exec");
    for round in 0..3 {
        // One that it ends itself stays behind in TIME_WAIT, others with a request in hand and half of one.
        let (mut ended, mut busy, mut half) = (former.client(), former.client(), former.client());
        ended.say("GET / HTTP/1.1\r\n\r\n");
        assert!(ended.answer().starts_with("-ERR protocol error"));
        assert!(ended.ended());
        drop(ended);
        busy.say(ask(8000));
        let mut out = worker.next();
        out.command();
        half.read
            .get_mut()
            .write_all(b"*2\r\n$4\r\nPI")
            .expect("written");
        former.signal("-KILL");
        // Not waited for: it may not be quite gone.
        let mut node = spawn(&config, "exec");
        ready(&mut node);
        assert_eq!(node.at, at, "round {round}");
        former = node;
    }
}
