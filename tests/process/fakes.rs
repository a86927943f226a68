//! Small fakes of clients, workers and discovery, and the process under test.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here waits this long unless it has failed.
pub const LONG: Duration = Duration::from_secs(20);
pub const ID: &str = "9b1f03aa5c7e2d41";

/// A listener whose connections can be waited for with a limit.
pub struct Door {
    pub at: SocketAddr,
    pub came: Receiver<TcpStream>,
}

impl Door {
    pub fn open() -> Door {
        Door::over(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn over(listener: TcpListener) -> Door {
        let at = listener.local_addr().expect("bound");
        let (tell, came) = channel();
        thread::spawn(move || while listener.accept().is_ok_and(|(s, _)| tell.send(s).is_ok()) {});
        Door { at, came }
    }

    pub fn next(&self) -> Line {
        Line::of(self.came.recv_timeout(LONG).expect("a connection"))
    }

    /// The next connection on which something is said: one made while the list changed may be dropped unused.
    pub fn asked(&self) -> Line {
        loop {
            let mut line = self.next();
            if line.read.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                return line;
            }
        }
    }

    /// A connection that comes within this time, unless the open one is used before.
    pub fn within(&self, open: &mut Line, most: Duration) -> Option<Line> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if let Ok(stream) = self.came.recv_timeout(Duration::from_millis(1)) {
                return Some(Line::of(stream));
            }
            if open.speaks() {
                return None;
            }
        }
        None
    }

    pub fn nobody(&self) -> bool {
        self.came.try_recv().is_err()
    }
}

/// A listener whose line is full: further connections stay pending until it accepts. With it goes who fills it.
pub fn full() -> (TcpListener, TcpStream) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(0))
        .expect("listening");
    let slow: TcpListener = socket.into();
    let filler =
        TcpStream::connect(slow.local_addr().expect("bound")).expect("takes the only place");
    (slow, filler)
}

/// The ways in which a client can go.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Way {
    /// It ends its sending and reads on.
    Half,
    Close,
    Reset,
}

pub const WAYS: [Way; 3] = [Way::Half, Way::Close, Way::Reset];

/// Waits for what comes about elsewhere on this machine.
pub fn until(what: &str, mut is: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < LONG, "waited in vain until {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// The kernel's table of connections: this end's port, the other end's, and its word for the state.
fn connections() -> Vec<(u16, u16, String)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
    let lines = table.lines().filter_map(|line| {
        let mut parts = line.split_whitespace().skip(1);
        Some((
            port(parts.next()?)?,
            port(parts.next()?)?,
            parts.next()?.to_string(),
        ))
    });
    lines.collect()
}

/// Waits until so many connections to this address are being made that are not up yet.
pub fn coming_up(at: SocketAddr, count: usize) {
    let pending = |(_, far, state): &&(u16, u16, String)| *far == at.port() && state == "02";
    until("a connection is on its way", || {
        connections().iter().filter(pending).count() >= count
    });
}

/// A socket that was never connected.
fn unconnected() -> TcpStream {
    socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a socket")
        .into()
}

/// Longer than a connection rests between two requests.
pub const RESTED: Duration = Duration::from_millis(20);

/// One end of a RESP connection.
pub struct Line {
    pub read: BufReader<TcpStream>,
}

impl Line {
    pub fn of(stream: TcpStream) -> Line {
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        Line {
            read: BufReader::new(stream),
        }
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) {
        self.read
            .get_mut()
            .write_all(text.as_ref())
            .expect("written");
    }

    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.read.read_line(&mut line).expect("a line");
        line.trim_end().to_string()
    }

    /// An answer: a line, or a bulk string's value.
    pub fn answer(&mut self) -> String {
        let head = self.line();
        if head.starts_with('$') {
            self.line()
        } else {
            head
        }
    }

    /// A command that came in, as words.
    pub fn command(&mut self) -> Vec<String> {
        let head = self.line();
        let count: usize = head
            .strip_prefix('*')
            .and_then(|n| n.parse().ok())
            .unwrap_or_else(|| panic!("{head:?}"));
        (0..count).map(|_| self.answer()).collect()
    }

    pub fn serve(&mut self, value: &str) {
        self.say(format!(
            "*3\r\n${}\r\n{value}\r\n$-1\r\n$17\r\nutil=0.61,qps=9.5\r\n",
            value.len()
        ));
    }

    /// Whether something has come that is not read yet.
    pub fn speaks(&mut self) -> bool {
        let stream = self.read.get_mut();
        stream.set_nonblocking(true).expect("a socket");
        let came = stream.peek(&mut [0; 1]).is_ok_and(|n| n > 0);
        stream.set_nonblocking(false).expect("a socket");
        came
    }

    pub fn ended(&mut self) -> bool {
        match self.read.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }
}

pub fn words(parts: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len());
    parts
        .iter()
        .for_each(|p| out.push_str(&format!("${}\r\n{p}\r\n", p.len())));
    out.into_bytes()
}

/// A customer of whom nobody leaves.
pub const NEXT: &str = "00000000b4d65524";

/// A request with an id of its own.
pub fn ask(wait: u32) -> Vec<u8> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    ask_as(
        &format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed)),
        wait,
    )
}

pub fn ask_as(id: &str, wait: u32) -> Vec<u8> {
    let fields = format!("c=read,t=p,d={wait},units=1,spread=1,first=0");
    words(&["Q.ASK", "00000000b4d65521", id, &fields])
}

/// The same of another customer, whose places and units are its own.
pub fn ask_of(customer: &str, wait: u32) -> Vec<u8> {
    let request = String::from_utf8(ask(wait)).expect("text");
    request.replace("00000000b4d65521", customer).into_bytes()
}

pub fn order(class: &str, wait: u32) -> Vec<u8> {
    let fields = format!("c={class},t=p,d={wait},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
    words(&["Q.DO", "00000000b4d65521", ID, &fields, "BODY"])
}

pub fn target(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

pub fn list(rev: u64, all: bool, targets: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// Discovery: gives the list, and hands each watch that is opened to the test.
pub struct Discovery {
    pub at: SocketAddr,
    pub watches: Receiver<TcpStream>,
}

impl Discovery {
    pub fn with(list: String) -> Discovery {
        Discovery::over(TcpListener::bind("127.0.0.1:0").expect("a port"), list)
    }

    pub fn over(listener: TcpListener, list: String) -> Discovery {
        let at = listener.local_addr().expect("bound");
        let (tell, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, tell) = (list.clone(), tell.clone());
                thread::spawn(move || {
                    let mut line = Line::of(stream);
                    loop {
                        let head = line.line();
                        if head.is_empty() {
                            return;
                        }
                        while !line.line().is_empty() {}
                        if head.contains("stream=1") {
                            line.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            let _ = tell.send(line.read.into_inner());
                            return;
                        }
                        line.say(format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                            list.len()
                        ));
                    }
                });
            }
        });
        Discovery { at, watches }
    }

    pub fn watch(&self) -> TcpStream {
        self.watches.recv_timeout(LONG).expect("a watch")
    }
}

pub fn push(watch: &mut TcpStream, line: &str) {
    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    watch.write_all(chunk.as_bytes()).expect("written");
}

pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    pub lines: Receiver<String>,
    pub config: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// What differs from test to test.
pub struct Setup {
    pub discovery: SocketAddr,
    pub known: String,
    pub sockets: u32,
    pub memory_mb: u32,
    pub bounds: &'static str,
    pub shell: String,
}

impl Setup {
    pub fn new(discovery: SocketAddr) -> Setup {
        Setup {
            discovery,
            known: "null".into(),
            sockets: 1024,
            memory_mb: 192,
            bounds: r#""ConnectTimeout":5000.0,"ConnIdle":600000.0"#,
            shell: "exec".into(),
        }
    }

    pub fn start(&self) -> Node {
        start(&self.config(), &self.shell)
    }

    pub fn config(&self) -> String {
        let settings = format!(
            r#"{{"Balancers":1,"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"TryLimit":3,{}}},
            "Classes":[{{"Name":"read","Target":8000.0,"Deadline":9000.0,"Effect":"repeatable","Worth":1.0}},
            {{"Name":"order","Target":8000.0,"Effect":"by_key","Group":"cell","Window":5000.0,"Worth":1.0}},
            {{"Name":"pay","Target":8000.0,"Effect":"once","Worth":1.0}}],
            "Domain":{{"Largest":4,"PeerIntake":60.0}},"Rules":{{"ColdFrom":0.5,"WarmWithin":1.0}},
            "Plans":[{{"Name":"p","UnitsPerS":1000.0,"PeakUnits":1000.0,"ValueFactor":1.0}}]}}"#,
            self.bounds
        );
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"","peers":[],
            "known":{},"settings":{settings}}}"#,
            self.discovery, self.memory_mb, self.sockets, self.known
        )
    }
}

pub fn start(config: &str, shell: &str) -> Node {
    let mut node = spawn(config, shell);
    node.at = node
        .says(" serves at ")
        .rsplit(' ')
        .next()
        .and_then(|a| a.parse().ok())
        .expect("an address");
    node
}

/// A process that may not serve yet.
pub fn spawn(config: &str, shell: &str) -> Node {
    let path = write_config(config);
    let mut child = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!(
            "{shell} {}",
            env!("CARGO_BIN_EXE_marlshelf-gateway")
        ))
        .env("GW_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the gatekeeper starts");
    let log = Arc::new(Mutex::new(Vec::new()));
    let (tell, lines) = channel();
    let errors = BufReader::new(child.stderr.take().expect("piped"));
    let kept = log.clone();
    thread::spawn(move || {
        for line in errors.lines().map_while(Result::ok) {
            kept.lock().expect("whole").push(line.clone());
            let _ = tell.send(line);
        }
    });
    Node {
        child,
        at: "127.0.0.1:0".parse().expect("an address"),
        log,
        lines,
        config: path,
    }
}

pub fn write_config(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("marlshelf-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

impl Node {
    /// Waits for a line of the log that holds this.
    pub fn says(&self, what: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(LONG);
            let line = line.unwrap_or_else(|_| panic!("{what:?} is not in {:?}", self.log.lock()));
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Line {
        Line::of(TcpStream::connect(self.at).expect("connected"))
    }

    pub fn signal(&self, which: &str) {
        let sent = Command::new("kill")
            .args([which, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Stops it, until all that then comes is there for it to see at once, in the order in which it came.
    pub fn halt(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it is stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            // Its state follows its name, which stands in brackets.
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Has these clients go, and waits until the kernel has told this machine's end of each.
    pub fn leave(&self, how: Way, clients: &mut [Line]) {
        let ports = clients
            .iter()
            .map(|c| c.read.get_ref().local_addr().expect("bound").port());
        let ports: Vec<u16> = ports.collect();
        for client in clients {
            let stream = client.read.get_ref();
            if how == Way::Reset {
                socket2::SockRef::from(stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("open");
            }
            match how {
                Way::Half => stream.shutdown(Shutdown::Write).expect("open"),
                // Nothing holds it any more but this.
                Way::Close | Way::Reset => client.read = BufReader::new(unconnected()),
            }
        }
        let here = |(near, far, state): &(u16, u16, String)| {
            *near == self.at.port() && state == "01" && ports.contains(far)
        };
        until("all are seen to have left", || {
            !connections().iter().any(here)
        });
    }

    /// Gives it another configuration and has it read.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        self.signal("-HUP");
    }

    pub fn exit(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}

/// A gatekeeper with one worker, of which discovery has told.
pub fn one_worker() -> (Door, Discovery, Node) {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let node = Setup::new(discovery.at).start();
    (worker, discovery, node)
}

/// A gatekeeper of two, where it takes notes, and the other one's socket.
pub fn one_of_two() -> (Door, Node, SocketAddr, UdpSocket) {
    one_of_two_aiming_at(8000)
}

/// The same where answers are wanted within this time, in ms, on which it depends how long a keeper may be silent.
pub fn one_of_two_aiming_at(aim: u32) -> (Door, Node, SocketAddr, UdpSocket) {
    let worker = Door::open();
    let discovery = Discovery::with(list(1, true, &[target("s-1", worker.at, "ready", 0)]));
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(LONG)).expect("a socket");
    let own = UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .expect("a port");
    let config = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{}","seed":"1","peer_listen":"{own}","peers":["{own}","{}"],
        "settings":{{"Balancers":2,"Me":0,"Areas":["a"],"Kinds":["m"],"Bounds":{{"Peers":true,"TryLimit":3}},
        "Classes":[{{"Name":"read","Target":{aim},"Effect":"repeatable","Worth":1.0}}],
        "Domain":{{"Largest":4,"PeerIntake":60.0}},
        "Plans":[{{"Name":"p","UnitsPerS":10.0,"PeakUnits":10.0,"ValueFactor":1.0}}]}}}}"#,
        discovery.at,
        peer.local_addr().expect("bound"),
    );
    (worker, start(&config, "exec"), own, peer)
}
