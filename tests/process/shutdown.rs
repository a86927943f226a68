//! The end of a gatekeeper: what is taken is answered, and peers are heard.

use crate::fakes::*;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

#[test]
fn sigterm_answers_all_that_is_taken_and_then_ends() {
    let (worker, _discovery, mut node) = one_worker();
    let (mut busy, mut idle) = (node.client(), node.client());
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    busy.say(ask(8000));
    let mut out = worker.next();
    out.command();
    node.signal("-TERM");
    node.says(" stops");
    // New connections go on coming for a while, and are served.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(150) {
        let mut new = node.client();
        new.say(words(&["PING"]));
        assert_eq!(new.answer(), "+PONG");
    }
    let mut late = node.client();
    late.say(ask(8000));
    let mut other = worker.next();
    other.command();
    other.serve("late");
    assert_eq!(late.answer(), "late");
    assert!(idle.ended(), "idle connections are closed");
    out.serve("busy");
    assert_eq!(busy.answer(), "busy");
    assert!(busy.ended());
    assert!(node.exit().success());
}

/// Asks a keeper for a unit of a customer's store; gives the answer.
fn question(peer: &UdpSocket, own: SocketAddr, number: u32) -> String {
    peer.send_to(
        format!("a,aa,0,{number:x},1.0,0.0,1.0,500;").as_bytes(),
        own,
    )
    .expect("sent");
    let mut bytes = [0; 512];
    let (len, from) = peer
        .recv_from(&mut bytes)
        .expect("the peer's question is answered");
    assert!(from == own && len <= 256);
    String::from_utf8_lossy(&bytes[..len]).into_owned()
}

#[test]
fn strangers_and_odd_datagrams_are_passed_over() {
    let (_worker, _node, own, peer) = one_of_two();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.send_to(&[b'a'; 300], own).expect("sent");
    peer.send_to(&[0xff; 10], own).expect("sent");
    peer.send_to(b"a,1,99999,zz;g,1,7,1,-1,0,0,0;t,,;;,,,", own)
        .expect("sent");
    stranger
        .send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own)
        .expect("sent");
    let answer = question(&peer, own, 1);
    assert!(answer.starts_with("g,aa,1,1,"), "{answer}");
    stranger.set_nonblocking(true).expect("a socket");
    assert!(
        stranger.recv_from(&mut [0; 512]).is_err(),
        "a stranger is not"
    );
}

#[test]
fn who_is_told_to_end_answers_its_peers_as_long_as_it_may_and_then_ends() {
    let (_worker, mut node, own, peer) = one_of_two();
    let mut idle = node.client();
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    node.signal("-TERM");
    assert!(idle.ended(), "it is done with its clients");
    for number in 1..10 {
        let answer = question(&peer, own, number);
        assert!(answer.starts_with(&format!("g,aa,1,{number},")), "{answer}");
    }
    assert!(node.exit().success(), "before it is killed");
}

#[test]
fn whom_the_kernel_has_let_in_is_answered_also_where_there_was_no_room() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let mut node = Setup {
        sockets: 64,
        ..Setup::new(discovery.at)
    }
    .start();
    // As many as have room, each with a request in hand, so that none of them can make any.
    let mut busy: Vec<(Line, Line)> = Vec::new();
    for k in 0..21 {
        // With the last one the table is full, and who has said nothing yet would make room.
        node.signal(if k == 20 { "-STOP" } else { "-CONT" });
        let mut client = node.client();
        client.say(ask(9000));
        node.signal("-CONT");
        let mut out = worker.next();
        out.command();
        busy.push((client, out));
    }
    let mut waits = node.client();
    waits.say(words(&["PING"]));
    node.signal("-TERM");
    node.says(" lets nobody new in");
    for (client, out) in &mut busy {
        out.serve("busy");
        assert_eq!(client.answer(), "busy");
    }
    assert_eq!(waits.answer(), "+PONG");
    assert!(waits.ended());
    assert!(node.exit().success());
}

#[test]
fn what_outlasts_the_kill_that_may_follow_is_answered_before_it() {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let config = Setup::new(discovery.at)
        .config()
        .replace(r#""Deadline":9000.0"#, r#""Deadline":60000.0"#);
    let mut node = start(&config, "exec");
    let (mut busy, mut other, mut idle) = (node.client(), node.client(), node.client());
    busy.say(ask(60_000));
    let mut hangs = worker.next();
    hangs.command();
    other.say(ask(60_000));
    let mut out = worker.next();
    out.command();
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    node.signal("-TERM");
    assert!(idle.ended());
    // Behind one that is in hand; it hangs as well.
    other.say(ask(60_000));
    out.serve("in time");
    assert_eq!(other.answer(), "in time");
    let mut again = worker.within(&mut out, LONG).unwrap_or(out);
    let command = again.command();
    let (_, wait) = command[3].split_once(",d=").expect("d");
    let wait: u32 = wait
        .split(',')
        .next()
        .and_then(|d| d.parse().ok())
        .expect("a number");
    assert!(wait < 3700, "its worker is told so: {wait}");
    assert!(busy.answer().starts_with("-"), "far ahead of its own time");
    assert!(other.answer().starts_with("-"), "far ahead of its own time");
    assert!(node.exit().success());
}

#[test]
fn sigterm_is_heard_while_the_first_list_is_awaited() {
    let serves = |node: &Node| {
        node.log
            .lock()
            .expect("whole")
            .iter()
            .any(|line| line.contains(" serves at "))
    };
    // One that was so slow to ask that it has done with waiting by now is no case of it.
    let mut node = (0..100)
        .map(|_| {
            let silent = Door::open();
            let node = spawn(&Setup::new(silent.at).config(), "exec");
            // It asks for the list: signals are heard from before that on.
            let _call = silent.next();
            node
        })
        .find(|node| !serves(node))
        .expect("one of many waits");
    node.signal("-TERM");
    node.says(" stops");
    assert!(node.exit().success());
    assert!(
        !serves(&node),
        "it waits for the list first: {:?}",
        node.log
    );
}
