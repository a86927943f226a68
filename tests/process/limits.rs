//! The limit on descriptors: idle clients fill what they may, and discovery and workers have theirs left.

use crate::fakes::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The parts of the limit, in hundredths, that the README and main.rs give clients and workers.
const CLIENT_PART: usize = 33;
const WORKER_PART: usize = 45;
/// The part of the limit that has to be free at the worst, in hundredths.
const SPARE_PART: usize = 10;

/// How a client can hold a place without a request in hand.
#[derive(Clone, Copy)]
enum Idle {
    Silent,
    Half,
    Resting,
    /// Many commands at once, all answered, and then half of another one.
    Pipelined,
}

const EVERY: [Idle; 4] = [Idle::Silent, Idle::Half, Idle::Resting, Idle::Pipelined];

impl Idle {
    fn sit(self, at: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect_timeout(&at, LONG).expect("the kernel lets it in");
        let (ping, half) = (words(&["PING"]), b"*2\r\n$4\r\nPI");
        let said = match self {
            Idle::Silent => Vec::new(),
            Idle::Half => half.to_vec(),
            Idle::Resting => ping,
            Idle::Pipelined => [ping.repeat(50).as_slice(), half].concat(),
        };
        // It may be shut already.
        let _ = stream.write_all(&said);
        stream
    }
}

/// Idle clients, all of whom the kernel has let in ahead of who comes next. Each comes again once it is shut.
struct Crowd {
    over: Arc<AtomicBool>,
    task: Option<JoinHandle<()>>,
}

impl Crowd {
    fn gather(at: SocketAddr, kinds: &[Idle], count: usize) -> Crowd {
        let (over, kinds) = (Arc::new(AtomicBool::new(false)), kinds.to_vec());
        let ends = over.clone();
        let mut all: Vec<TcpStream> = kinds
            .iter()
            .cycle()
            .take(count)
            .map(|kind| kind.sit(at))
            .collect();
        let task = thread::spawn(move || {
            let mut kinds = kinds.iter().cycle();
            while !ends.load(Ordering::Relaxed) {
                for stream in &mut all {
                    if shut(stream) {
                        *stream = kinds.next().expect("there is one").sit(at);
                    }
                }
                // As many as come again at once are plenty.
                thread::sleep(Duration::from_millis(10));
            }
        });
        Crowd {
            over,
            task: Some(task),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // In a test that fails it may wait to be let in for long.
        if !thread::panicking() {
            let joined = self.task.take().map(JoinHandle::join);
            assert!(
                joined.is_none_or(|end| end.is_ok()),
                "the crowd came to grief"
            );
        }
    }
}

/// Whether the other side has ended it; answers that come before are read.
fn shut(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let mut bytes = [0; 4096];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "{what}: never");
        thread::sleep(Duration::from_millis(1));
    }
}

/// How many descriptors the process holds.
fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id()))
        .expect("it lives")
        .count()
}

fn ran_out(node: &Node) -> bool {
    node.log
        .lock()
        .expect("whole")
        .iter()
        .any(|line| line.contains("cannot accept"))
}

/// Asks, and once more on a new connection where one was shut unread. Gives the worker's end too.
fn ask_until_begun(node: &Node, resting: Option<Line>, worker: &Door) -> (Line, Line) {
    let begun = Instant::now();
    let mut resting = resting;
    loop {
        let mut client = resting.take().unwrap_or_else(|| node.client());
        // One that was shut is seen below.
        let _ = client.read.get_mut().write_all(&ask(8000));
        while !shut(&mut client.read.get_ref().try_clone().expect("a socket")) {
            if let Ok(stream) = worker.came.recv_timeout(Duration::from_millis(1)) {
                client
                    .read
                    .get_ref()
                    .set_nonblocking(false)
                    .expect("a socket");
                let mut line = Line::of(stream);
                line.command();
                return (client, line);
            }
            assert!(begun.elapsed() < LONG, "no worker is asked");
        }
        assert!(begun.elapsed() < LONG, "nobody is let in");
    }
}

/// How discovery is away.
#[derive(Clone, Copy)]
enum Away {
    Refuses,
    /// Connections come up, and nothing is said on them.
    Hangs,
}

fn watch_and_workers_at_the_limit(kinds: &[Idle], sockets: u32, away: Away) {
    let (old, new) = (Door::open(), Door::open());
    // Its port is held all the time, so that nobody else takes it.
    let place =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    place.bind(&any.into()).expect("a port");
    if let Away::Hangs = away {
        place.listen(1024).expect("listening");
    }
    let at = place
        .local_addr()
        .ok()
        .and_then(|at| at.as_socket())
        .expect("bound");
    let known = list(41, true, &[target("s-1", old.at, "ready", 0)]);
    let shell = format!("ulimit -n {sockets}; exec");
    let node = Setup {
        known,
        sockets,
        shell,
        ..Setup::new(at)
    }
    .start();
    let most = sockets as usize * CLIENT_PART / 100;
    // Far more than the clients' part: as many as would fill all there is.
    let _crowd = Crowd::gather(node.at, kinds, sockets as usize);
    until("the clients' part is full", || descriptors(&node) >= most);

    let (mut client, mut line) = ask_until_begun(&node, None, &old);
    line.serve("known");
    assert_eq!(client.answer(), "known");

    if let Away::Refuses = away {
        place.listen(1024).expect("listening");
    }
    let back = Discovery::over(TcpListener::from(place), list(42, true, &[]));
    // Calls of the time before may lie there, given up long ago: every watch is told.
    let change = list(
        43,
        false,
        &[
            r#"{"uid":"s-1","state":"gone"}"#.into(),
            target("s-2", new.at, "ready", 0),
        ],
    );
    let chunk = format!("{:x}\r\n{change}\n\r\n", change.len() + 1);
    let (told, told_of) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (stop, count) = (told.clone(), told_of.clone());
    let teller = thread::spawn(move || {
        let mut watches = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if let Ok(mut watch) = back.watches.recv_timeout(Duration::from_millis(10)) {
                let _ = watch.write_all(chunk.as_bytes());
                count.store(true, Ordering::Relaxed);
                watches.push(watch);
            }
        }
    });
    until("the watch is opened", || told_of.load(Ordering::Relaxed));
    assert!(
        line.ended(),
        "what rests to a worker that has gone is closed"
    );
    for (resting, value) in [(None, "a newcomer"), (Some(client), "who has rested")] {
        let (mut client, mut line) = ask_until_begun(&node, resting, &new);
        line.serve(value);
        assert_eq!(client.answer(), value);
        // So that each of them needs a connection of its own.
        drop(line);
    }
    until("the clients' part is full once more", || {
        descriptors(&node) >= most
    });
    assert!(!ran_out(&node), "{:?}", node.log);
    told.store(true, Ordering::Relaxed);
    teller.join().expect("it tells");
}

#[test]
fn silent_clients_at_the_limit_leave_the_watch_and_the_workers_their_descriptors() {
    watch_and_workers_at_the_limit(&[Idle::Silent], 256, Away::Refuses);
    watch_and_workers_at_the_limit(&[Idle::Silent], 256, Away::Hangs);
}

#[test]
fn clients_with_half_a_command_at_the_limit_leave_the_watch_and_the_workers_their_descriptors() {
    watch_and_workers_at_the_limit(&[Idle::Half], 256, Away::Refuses);
    watch_and_workers_at_the_limit(&[Idle::Half], 256, Away::Hangs);
}

#[test]
fn resting_clients_at_the_limit_leave_the_watch_and_the_workers_their_descriptors() {
    watch_and_workers_at_the_limit(&[Idle::Resting], 256, Away::Refuses);
    watch_and_workers_at_the_limit(&[Idle::Resting], 256, Away::Hangs);
}

#[test]
fn clients_of_every_kind_at_the_limit_leave_the_watch_and_the_workers_their_descriptors() {
    watch_and_workers_at_the_limit(&EVERY, 256, Away::Refuses);
    watch_and_workers_at_the_limit(&EVERY, 1024, Away::Hangs);
}

#[test]
fn clients_and_workers_at_their_caps_fit_the_limit_with_a_margin_and_who_has_asked_is_answered() {
    const SOCKETS: usize = 256;
    let workers: Vec<Door> = (0..60).map(|_| Door::open()).collect();
    let targets: Vec<String> = workers
        .iter()
        .enumerate()
        .map(|(k, w)| target(&format!("s-{k}"), w.at, "ready", 0))
        .collect();
    let discovery = Discovery::with(list(1, true, &targets));
    let setup = Setup {
        sockets: SOCKETS as u32,
        shell: format!("ulimit -n {SOCKETS}; exec"),
        // With a socket for notes.
        bounds: r#""ConnectTimeout":5000.0,"ConnIdle":600000.0,"Peers":true"#,
        ..Setup::new(discovery.at)
    };
    let config = setup
        .config()
        .replace(r#""peer_listen":"""#, r#""peer_listen":"127.0.0.1:0""#);
    let node = start(&config, &setup.shell);
    let mut watch = discovery.watch();
    // The last one comes on its own: with it the table is full, and who has not asked yet would make room.
    let most = SOCKETS * CLIENT_PART / 100;
    let mut clients: Vec<Line> = (1..most).map(|_| node.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| client.say([ask(9000), ask(9000)].concat()));
    let mut out = Vec::new();
    let floor = SOCKETS * WORKER_PART / 100;
    until("the workers' part is full", || {
        out.extend(workers.iter().flat_map(|w| w.came.try_iter()).map(Line::of));
        out.len() >= floor
    });
    node.signal("-STOP");
    let mut last = node.client();
    last.say(ask(9000));
    node.signal("-CONT");
    until("the clients' part is full", || {
        descriptors(&node) >= most + floor
    });

    // Newcomers find no place that could be made, a new watch and the configuration do.
    let _crowd = Crowd::gather(node.at, &EVERY, most);
    push(&mut watch, "{nonsense");
    let _watch = discovery.watch();
    node.reload(&config);
    node.says("configuration read again");
    let _watch = discovery.watch();
    let held = descriptors(&node);
    assert!(
        held >= most + floor && held + SOCKETS * SPARE_PART / 100 <= SOCKETS,
        "{held} of {SOCKETS}"
    );

    // Every request that has reached a worker gets that worker's answer, on its client's connection.
    assert_eq!(out.len(), floor);
    for line in &mut out {
        line.command();
        line.serve("served");
    }
    let mut served = 0;
    for client in &mut clients {
        for _ in 0..2 {
            match client.answer().as_str() {
                "served" => served += 1,
                refused => assert!(refused.starts_with("-BUSY"), "{refused}"),
            }
        }
    }
    assert_eq!(served, floor);
    assert!(last.answer().starts_with("-BUSY"));
    assert!(!ran_out(&node), "{:?}", node.log);
}
