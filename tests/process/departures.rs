//! Clients that leave while their request waits: nothing goes out for them any more, whatever they waited for.

use crate::fakes::*;
use std::io::Write;
use std::net::{Shutdown, UdpSocket};

/// A gatekeeper whose customers may have one request out at once; the next waits in the module for its place.
fn one_place() -> (Door, Discovery, Node) {
    places(1)
}

fn places(count: usize) -> (Door, Discovery, Node) {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let usual = r#""PeakUnits":1000.0"#;
    let config = Setup::new(discovery.at)
        .config()
        .replace(usual, &format!(r#"{usual},"MaxOut":{count}"#));
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
    assert_ne!(
        line.command()[2],
        left,
        "sent on though its client has left"
    );
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
    taken_in(&node);
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
    taken_in(&node);
    socket2::SockRef::from(waits.read.get_ref())
        .set_linger(Some(std::time::Duration::ZERO))
        .expect("open");
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
    taken_in(&node);
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
    assert!(
        idle.ended(),
        "from here on connections are only kept for what is in hand"
    );
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
    peer.send_to(
        format!("g,{},1,{},1.0,1.0,1.0,9.0;", parts[1], parts[3]).as_bytes(),
        own,
    )
    .expect("sent");
    let (len, _) = peer.recv_from(&mut bytes).expect("its units come back");
    assert!(
        bytes[..len].starts_with(b"t,"),
        "{}",
        String::from_utf8_lossy(&bytes[..len])
    );
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
    coming_up(at, 1);
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
    push(
        &mut watch,
        &list(2, false, &[target("s-2", two.at, "ready", 0)]),
    );
    client.leaves("an attempt that is out");
    out.read.get_ref().shutdown(Shutdown::Both).expect("open");
    // What came before it is taken in once the watch is opened again over this.
    push(&mut watch, "{nonsense");
    discovery.watch();
    let mut other = node.client();
    let _ = other.read.get_mut().write_all(&ask(8000));
    let mut line = two
        .within(&mut out, LONG)
        .or_else(|| Some(one.next()))
        .expect("a connection");
    assert_ne!(line.command()[2], ID, "sent on though its client has left");
}

/// A connection that has rested: what is begun goes out on it at once.
fn rested(worker: &Door, node: &Node) -> Line {
    let mut client = node.client();
    client.say(ask_of("00000000b4d65522", 8000));
    let mut line = worker.next();
    line.command();
    line.serve("rested");
    assert_eq!(client.answer(), "rested");
    std::thread::sleep(RESTED);
    line
}

/// All that goes out, on one of these connections or on a new one, is the next request: nobody has left whose
/// request did. It is of a customer who has all places free.
/// Gives the connections.
fn only_the_next_goes_out(
    worker: &Door,
    node: &Node,
    mut open: Vec<Line>,
    what: &str,
) -> Vec<Line> {
    let mut next = node.client();
    next.say(ask_of(NEXT, 8000));
    until("something goes out", || {
        open.extend(worker.came.try_recv().map(Line::of));
        open.iter_mut().any(Line::speaks)
    });
    for line in &mut open {
        if !line.speaks() {
            continue;
        }
        assert_eq!(
            line.command()[1],
            NEXT,
            "{what}: sent on though its client has left"
        );
        line.serve("next");
    }
    assert_eq!(next.answer(), "next");
    open
}

/// Has it answer one that came after all that was sent before: by then it has taken that in.
fn taken_in(node: &Node) {
    let mut other = node.client();
    other.say(words(&["PING"]));
    assert_eq!(other.answer(), "+PONG");
}

#[test]
fn whose_place_comes_free_as_it_leaves_is_not_sent_on() {
    for how in WAYS {
        for behind in [0, 3] {
            let (worker, _discovery, node) = one_place();
            let (mut first, mut waits) = (node.client(), node.client());
            first.say(ask(8000));
            let mut out = worker.next();
            out.command();
            let spare = rested(&worker, &node);
            waits.say(ask_as(ID, 8000));
            taken_in(&node);
            node.halt();
            out.serve("first");
            // What lies unread before it must not hide its end.
            waits.say(words(&["PING"]).repeat(behind));
            let mut left = [waits];
            node.leave(how, &mut left);
            node.resume();
            assert_eq!(first.answer(), "first");
            only_the_next_goes_out(
                &worker,
                &node,
                vec![out, spare],
                &format!("{how:?}, {behind} behind"),
            );
        }
    }
}

#[test]
fn whose_place_comes_free_as_it_leaves_during_the_shutdown_is_not_sent_on() {
    for how in WAYS {
        let (worker, _discovery, mut node) = one_place();
        let (mut first, mut waits) = (node.client(), node.client());
        first.say(ask(8000));
        let mut out = worker.next();
        out.command();
        let mut spare = rested(&worker, &node);
        waits.say(ask_as(ID, 8000));
        closes(&node);
        node.halt();
        out.serve("first");
        let mut left = [waits];
        node.leave(how, &mut left);
        node.resume();
        assert_eq!(first.answer(), "first");
        assert!(node.exit().success());
        let nothing = out.ended() && spare.ended() && worker.nobody();
        assert!(nothing, "{how:?}: sent on though its client has left");
    }
}

/// Tells it to end, and waits until connections are only kept for what is in hand.
fn closes(node: &Node) {
    let mut idle = node.client();
    idle.say(words(&["PING"]));
    assert_eq!(idle.answer(), "+PONG");
    node.signal("-TERM");
    assert!(idle.ended(), "who has nothing in hand is closed");
}

/// A request whose customer's only keeper is the peer.
fn asks_the_peer(wait: u32) -> Vec<u8> {
    let request = String::from_utf8(ask(wait)).expect("text");
    request
        .replace("units=1,spread=1,first=0", "units=1,spread=1,first=1")
        .into_bytes()
}

/// The peer's answer to each question in this note: its units are granted.
fn grants(note: &str) -> Vec<String> {
    let grant = |item: &str| {
        let parts: Vec<&str> = item.split(',').collect();
        assert_eq!(parts[0], "a", "{note}");
        format!("g,{},1,{},{},1.0,1.0,9.0;", parts[1], parts[3], parts[4])
    };
    note.split(';')
        .filter(|item| !item.is_empty())
        .map(grant)
        .collect()
}

/// The questions of so many requests, as they come. Each is put once more where no answer comes.
fn questions(peer: &UdpSocket, count: usize) -> Vec<String> {
    let mut granted = Vec::new();
    let mut bytes = [0; 512];
    while granted.len() < count {
        let (len, _) = peer.recv_from(&mut bytes).expect("the questions");
        granted.extend(grants(&String::from_utf8_lossy(&bytes[..len])));
        granted.sort();
        granted.dedup();
    }
    granted
}

#[test]
fn whose_keeper_answers_as_it_leaves_is_not_sent_on() {
    for (how, ending) in WAYS.iter().flat_map(|how| [(*how, false), (*how, true)]) {
        let (worker, mut node, own, peer) = one_of_two();
        let mut spare = rested(&worker, &node);
        let mut waits = node.client();
        waits.say(asks_the_peer(8000));
        let granted = questions(&peer, 1);
        if ending {
            closes(&node);
        }
        node.halt();
        peer.send_to(granted[0].as_bytes(), own).expect("sent");
        node.leave(how, &mut [waits]);
        node.resume();
        if ending {
            // It goes on answering its peers unless it is told once more.
            peer.send_to(b"a,aa,0,1,1.0,0.0,1.0,500;", own)
                .expect("sent");
            peer.recv_from(&mut [0; 512])
                .expect("it has taken in all before that");
            node.signal("-TERM");
            assert!(node.exit().success());
            let nothing = spare.ended() && worker.nobody();
            assert!(nothing, "{how:?}: sent on though its client has left");
        } else {
            taken_in(&node);
            only_the_next_goes_out(&worker, &node, vec![spare], &format!("{how:?}"));
        }
    }
}

#[test]
fn whose_connection_comes_up_as_it_leaves_is_not_sent_on() {
    for (how, ending) in WAYS.iter().flat_map(|how| [(*how, false), (*how, true)]) {
        let (slow, filler) = full();
        let at = slow.local_addr().expect("bound");
        let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
        let mut node = Setup::new(discovery.at).start();
        let mut waits = node.client();
        waits.say(ask_as(ID, 8000));
        coming_up(at, 1);
        if ending {
            closes(&node);
        }
        node.halt();
        let door = Door::over(slow);
        drop(door.next());
        let mut late = door.next();
        node.leave(how, &mut [waits]);
        node.resume();
        if ending {
            assert!(node.exit().success());
            assert!(
                late.ended() && door.nobody(),
                "{how:?}: sent on though its client has left"
            );
        } else {
            only_the_next_goes_out(&door, &node, vec![late], &format!("{how:?}"));
        }
        drop(filler);
    }
}

/// A gatekeeper with a connection to each of two workers that has rested, and both of them.
fn two_workers() -> (Vec<Line>, [Door; 2], Discovery, Node) {
    let doors = [Door::open(), Door::open()];
    let listed = [
        target("s-1", doors[0].at, "ready", 0),
        target("s-2", doors[1].at, "ready", 0),
    ];
    let discovery = Discovery::with(list(1, true, &listed));
    let node = Setup::new(discovery.at).start();
    let (mut lines, mut clients) = (Vec::new(), Vec::new());
    while lines.len() < 2 {
        let mut client = node.client();
        client.say(ask(8000));
        // While one of them has a request out, the next one goes to the other.
        until("it is sent on", || {
            lines.extend(
                doors
                    .iter()
                    .filter_map(|door| door.came.try_recv().ok())
                    .map(Line::of),
            );
            lines.len() > clients.len()
        });
        clients.push(client);
    }
    for (line, client) in lines.iter_mut().zip(&mut clients) {
        line.command();
        line.serve("served");
        assert_eq!(client.answer(), "served");
    }
    std::thread::sleep(RESTED);
    (lines, doors, discovery, node)
}

#[test]
fn whose_attempt_fails_as_it_leaves_gets_no_further_one() {
    let failures: [&[u8]; 3] = [b"", b"-BUSY\r\n", b"-ERR failed\r\n"];
    for (how, failure) in WAYS
        .iter()
        .flat_map(|how| failures.map(|failure| (*how, failure)))
    {
        for ending in [false, true] {
            let what = format!("{how:?}, {:?}, {ending}", String::from_utf8_lossy(failure));
            let (mut lines, doors, _discovery, mut node) = two_workers();
            let mut waits = node.client();
            waits.say(ask_as(ID, 8000));
            until("it is sent on", || lines.iter_mut().any(Line::speaks));
            let at = lines
                .iter_mut()
                .position(Line::speaks)
                .expect("one of them");
            let (mut out, mut other) = (lines.remove(at), lines.remove(0));
            assert_eq!(out.command()[2], ID);
            if ending {
                closes(&node);
            }
            node.halt();
            if failure.is_empty() {
                out.read.get_ref().shutdown(Shutdown::Both).expect("open");
            } else {
                out.say(failure);
            }
            node.leave(how, &mut [waits]);
            node.resume();
            if ending {
                assert!(node.exit().success());
            } else {
                taken_in(&node);
                node.signal("-KILL");
                node.exit();
            }
            assert!(
                other.ended(),
                "{what}: a further attempt though its client has left"
            );
            assert!(
                doors.iter().all(Door::nobody),
                "{what}: a further attempt though its client has left"
            );
        }
    }
}

#[test]
fn a_request_that_comes_with_the_end_of_its_client_is_not_sent_on() {
    for (how, count) in WAYS
        .iter()
        .flat_map(|how| [(*how, 1), (*how, 100), (*how, 300)])
    {
        for known in [true, false] {
            let (worker, _discovery, mut node) = one_worker();
            let mut first = node.client();
            first.say(ask(8000));
            let mut out = worker.next();
            out.command();
            out.serve("first");
            assert_eq!(first.answer(), "first");
            std::thread::sleep(RESTED);
            node.halt();
            let mut client = if known { first } else { node.client() };
            client.say((0..count).flat_map(|_| ask(8000)).collect::<Vec<u8>>());
            node.leave(how, &mut [client]);
            node.resume();
            taken_in(&node);
            node.signal("-KILL");
            node.exit();
            // Nothing came: neither on the connection that is there, nor on another.
            assert!(
                out.ended() && worker.nobody(),
                "{how:?}, {count}, {known}: sent on though its client has left"
            );
        }
    }
}

#[test]
fn a_ping_that_comes_with_the_end_of_its_client_is_answered() {
    let (_worker, _discovery, node) = one_worker();
    let mut client = node.client();
    node.halt();
    client.say(words(&["PING"]));
    client
        .read
        .get_ref()
        .shutdown(Shutdown::Write)
        .expect("open");
    node.resume();
    assert_eq!(client.answer(), "+PONG");
    assert!(client.ended());
}

/// Eight clients that say this, each with its first request at the worker, and the connections of those. What the
/// gatekeeper hears of first, where two things are there, may be left to chance: one of eight meets it.
fn eight_out(worker: &Door, node: &Node, words: impl Fn() -> Vec<u8>) -> (Vec<Line>, Vec<Line>) {
    let one = |_| {
        let mut client = node.client();
        client.say(words());
        let mut out = worker.next();
        out.command();
        (client, out)
    };
    (0..8).map(one).unzip()
}

#[test]
fn what_waits_behind_a_full_pipeline_as_its_client_leaves_is_not_sent_on() {
    for (how, ending) in WAYS.iter().flat_map(|how| [(*how, false), (*how, true)]) {
        let (worker, _discovery, mut node) = one_worker();
        let pings = words(&["PING"]).repeat(127);
        let (mut clients, mut lines) = eight_out(&worker, &node, || {
            [&ask(8000)[..], &pings, &ask(8000)].concat()
        });
        let spare = rested(&worker, &node);
        if ending {
            closes(&node);
        }
        node.halt();
        // With this the line of each is empty again, and the request behind it has room.
        lines.iter_mut().for_each(|out| out.serve("first"));
        node.leave(how, &mut clients);
        node.resume();
        lines.push(spare);
        if ending {
            assert!(node.exit().success());
            let nothing = lines.iter_mut().all(Line::ended) && worker.nobody();
            assert!(nothing, "{how:?}: sent on though its client has left");
        } else {
            taken_in(&node);
            only_the_next_goes_out(&worker, &node, lines, &format!("{how:?}"));
        }
    }
}

#[test]
fn a_request_that_comes_with_the_end_of_its_client_during_the_shutdown_is_not_sent_on() {
    for how in WAYS {
        let (worker, _discovery, mut node) = one_worker();
        let (mut clients, mut lines) = eight_out(&worker, &node, || ask(8000));
        let spare = rested(&worker, &node);
        closes(&node);
        node.halt();
        // While these are awaited nothing more is read.
        lines.iter_mut().for_each(|out| out.serve("first"));
        clients.iter_mut().for_each(|client| client.say(ask(8000)));
        node.leave(how, &mut clients);
        node.resume();
        assert!(node.exit().success());
        lines.push(spare);
        let nothing = lines.iter_mut().all(Line::ended) && worker.nobody();
        assert!(nothing, "{how:?}: sent on though its client has left");
    }
}

#[test]
fn of_hundreds_who_leave_at_once_in_line_for_a_place_nobody_is_sent_on() {
    const PLACES: usize = 100;
    for how in WAYS {
        let (worker, _discovery, node) = places(PLACES);
        let clients = |count: usize| -> Vec<Line> {
            let asking = (0..count).map(|_| node.client());
            asking
                .map(|mut client| {
                    client.say(ask(8000));
                    client
                })
                .collect()
        };
        let mut out = clients(PLACES);
        let mut lines: Vec<Line> = (0..PLACES).map(|_| worker.next()).collect();
        lines.iter_mut().for_each(|line| drop(line.command()));
        let mut waits = clients(2 * PLACES);
        let spare = rested(&worker, &node);
        node.halt();
        lines.iter_mut().for_each(|line| line.serve("first"));
        node.leave(how, &mut waits);
        node.resume();
        out.iter_mut()
            .for_each(|client| assert_eq!(client.answer(), "first"));
        taken_in(&node);
        lines.push(spare);
        let mut lines = only_the_next_goes_out(&worker, &node, lines, &format!("{how:?}"));
        let _more = clients(PLACES);
        until("all places are free and taken again", || {
            lines.extend(worker.came.try_iter().map(Line::of));
            lines
                .iter_mut()
                .map(Line::speaks)
                .filter(|speaks| *speaks)
                .count()
                == PLACES
        });
    }
}

#[test]
fn of_a_hundred_who_leave_at_once_with_a_question_out_nobody_is_sent_on() {
    for how in WAYS {
        // Long enough that no request goes on because its keeper is silent.
        let (worker, node, own, peer) = one_of_two_aiming_at(600_000);
        let spare = rested(&worker, &node);
        let mut waits: Vec<Line> = (0..100).map(|_| node.client()).collect();
        waits
            .iter_mut()
            .for_each(|client| client.say(asks_the_peer(60_000)));
        let granted = questions(&peer, waits.len());
        node.halt();
        for some in granted.chunks(4) {
            peer.send_to(some.concat().as_bytes(), own).expect("sent");
        }
        node.leave(how, &mut waits);
        node.resume();
        taken_in(&node);
        only_the_next_goes_out(&worker, &node, vec![spare], &format!("{how:?}"));
    }
}

#[test]
fn of_many_who_leave_at_once_as_connections_come_up_nobody_is_sent_on() {
    for how in WAYS {
        let (slow, filler) = full();
        let at = slow.local_addr().expect("bound");
        let discovery = Discovery::with(list(1, true, &[target("s-1", at, "ready", 0)]));
        let node = Setup::new(discovery.at).start();
        let mut waits: Vec<Line> = (0..20).map(|_| node.client()).collect();
        waits.iter_mut().for_each(|client| client.say(ask(8000)));
        coming_up(at, waits.len());
        node.halt();
        let door = Door::over(slow);
        drop(door.next());
        // One comes up before, the others after their clients have left, or never.
        let late = door.next();
        node.leave(how, &mut waits);
        node.resume();
        taken_in(&node);
        only_the_next_goes_out(&door, &node, vec![late], &format!("{how:?}"));
        drop(filler);
    }
}
