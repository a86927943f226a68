//! Clients that leave while their request waits: nothing goes out for them any more, whatever they waited for.

use crate::fakes::*;
use std::io::Write;
use std::net::Shutdown;

/// A gatekeeper whose customers may have one request out at once; the next waits in the module for its place.
fn one_place() -> (Door, Discovery, Node) {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let usual = r#""PeakUnits":1000.0"#;
    let config = Setup::new(discovery.at).config().replace(usual, &format!(r#"{usual},"MaxOut":1"#));
    let node = start(&config, "exec");
    (worker, discovery, node)
}

impl Line {
    /// Leaves, and waits until the gatekeeper has left in turn.
    fn leaves(&mut self, what: &str) {
        self.read.get_ref().shutdown(Shutdown::Write).expect("open");
        assert!(self.ended(), "{what}: its end is not seen");
    }
}

/// The place that `out` holds comes free: the next request that goes out is not the one of who has left.
fn nothing_goes_out(worker: &Door, node: &Node, mut first: Line, mut out: Line, left: &str) {
    out.serve("first");
    assert_eq!(first.answer(), "first");
    let mut next = node.client();
    next.say(ask_as("00000000000000ff", 8000));
    let mut line = worker.within(&mut out, LONG).unwrap_or(out);
    assert_ne!(line.command()[2], left, "sent on though its client has left");
    line.serve("next");
    assert_eq!(next.answer(), "next");
}

#[test]
fn who_leaves_with_a_full_pipeline_is_seen_to_leave() {
    let (worker, _discovery, node) = one_place();
    let (mut first, mut waits) = (node.client(), node.client());
    first.say(ask(8000));
    let mut out = worker.next();
    out.command();
    waits.say([ask_as(ID, 8000), words(&["PING"]).repeat(2000)].concat());
    waits.leaves("a full pipeline");
    nothing_goes_out(&worker, &node, first, out, ID);
}

#[test]
fn who_resets_a_full_pipeline_is_seen_to_leave() {
    let (worker, _discovery, node) = one_place();
    let (mut first, mut waits, mut other) = (node.client(), node.client(), node.client());
    first.say(ask(8000));
    let mut out = worker.next();
    out.command();
    waits.say([ask_as(ID, 8000), words(&["PING"]).repeat(2000)].concat());
    socket2::SockRef::from(waits.read.get_ref()).set_linger(Some(std::time::Duration::ZERO)).expect("open");
    drop(waits);
    // What came before it is taken in once this is answered.
    other.say(words(&["PING"]));
    assert_eq!(other.answer(), "+PONG");
    nothing_goes_out(&worker, &node, first, out, ID);
}

#[test]
fn who_leaves_after_speaking_nonsense_is_seen_to_leave() {
    let (worker, _discovery, node) = one_place();
    let (mut first, mut waits) = (node.client(), node.client());
    first.say(ask(8000));
    let mut out = worker.next();
    out.command();
    waits.say([&ask_as(ID, 8000)[..], b"nonsense\r\n", &[b'x'; 5000]].concat());
    waits.leaves("nonsense");
    nothing_goes_out(&worker, &node, first, out, ID);
}

#[test]
fn who_leaves_during_the_shutdown_is_seen_to_leave() {
    let (worker, _discovery, mut node) = one_place();
    let (mut first, mut waits, mut idle) = (node.client(), node.client(), node.client());
    first.say(ask(8000));
    let mut out = worker.next();
    out.command();
    waits.say(ask_as(ID, 8000));
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    node.signal("-TERM");
    assert!(idle.ended(), "from here on connections are only kept for what is in hand");
    waits.leaves("shutdown");
    out.serve("first");
    assert_eq!(first.answer(), "first");
    assert!(node.exit().success());
    assert!(out.ended() && worker.nobody(), "nothing more is sent on");
}

#[test]
fn who_leaves_while_a_keeper_is_asked_costs_nothing() {
    let (worker, mut node, own, peer) = one_of_two();
    let mut client = node.client();
    // The customer's set is the peer alone, which so is its keeper.
    let fields = "c=read,t=p,d=8000,units=1,spread=1,first=1";
    client.say(words(&["Q.ASK", "00000000b4d65521", ID, fields]));
    let mut bytes = [0; 512];
    let (len, _) = peer.recv_from(&mut bytes).expect("the question");
    let question = String::from_utf8_lossy(&bytes[..len]).into_owned();
    let parts: Vec<&str> = question.split(',').collect();
    assert_eq!(parts[0], "a", "{question}");
    client.leaves("a question that is out");
    peer.send_to(format!("g,{},1,{},1.0,1.0,1.0,9.0;", parts[1], parts[3]).as_bytes(), own).expect("sent");
    let (len, _) = peer.recv_from(&mut bytes).expect("its units come back");
    assert!(bytes[..len].starts_with(b"t,"), "{}", String::from_utf8_lossy(&bytes[..len]));
    node.signal("-TERM");
    node.signal("-TERM");
    assert!(node.exit().success());
    assert!(worker.nobody());
}

#[test]
fn who_leaves_while_a_connection_comes_up_is_not_sent_on() {
    let (slow, filler) = full();
    let at = slow.local_addr().expect("bound");
    let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let (mut client, mut other) = (node.client(), node.client());
    client.say(ask_as(ID, 8000));
    client.leaves("a connection that comes up");
    let door = Door::over(slow);
    drop(door.next());
    let mut late = door.next();
    other.say(ask(8000));
    let mut line = door.within(&mut late, LONG).unwrap_or(late);
    let command = line.command();
    assert_ne!(command[2], ID, "sent on though its client has left");
    line.serve("other");
    assert_eq!(other.answer(), "other");
    drop(filler);
}

#[test]
fn who_leaves_gets_no_further_attempt() {
    let (one, two) = (Door::open(), Door::open());
    let discovery = Discovery::with(list(1, true, &[target("s-1", one.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    let mut watch = discovery.watch();
    let mut client = node.client();
    client.say(ask_as(ID, 8000));
    let mut out = one.next();
    out.command();
    push(&mut watch, &list(2, false, &[target("s-2", two.at, "ready", 0)]));
    client.leaves("an attempt that is out");
    out.read.get_ref().shutdown(Shutdown::Both).expect("open");
    // What came before it is taken in once the watch is opened again over this.
    push(&mut watch, "{nonsense");
    discovery.watch();
    let mut other = node.client();
    let _ = other.read.get_mut().write_all(&ask(8000));
    let mut line = two.within(&mut out, LONG).or_else(|| Some(one.next())).expect("a connection");
    assert_ne!(line.command()[2], ID, "sent on though its client has left");
}
