//! Stand-ins of the review's cases: clients, endpoints, discovery and the platform that starts the gateways.
//! Everything uses loopback addresses and the real clock. Only the standard library is used.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// Record.

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record of the run.
pub fn open_record(path: &str) {
    let file = Mutex::new(File::create(path).expect("the record can be written"));
    let start = Instant::now();
    let _ = RECORD.set(Record { file, start });
}

/// Writes one line, with the time since the start of the run, to the record.
pub fn record(line: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {line}");
    }
}

/// Writes a line to the record and to standard output.
pub fn say(line: &str) {
    println!("{line}");
    record(line);
}

/// Whether the run has its disruption; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// A random number generator (splitmix64) with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// Returns a new request id. Every request gets one that was not used before.
pub fn new_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let base = unix_ms() << 20;
    base.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed))
}

// Platform.

/// A gateway process, started with the command `run` of the deploy file.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_WORK").expect("CASE_WORK is set"))
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run"));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.expect("the deploy file has a command `run`").to_string()
}

impl Gateway {
    pub fn start(name: &str, address: SocketAddr, discovery: SocketAddr, config: &str) -> Gateway {
        let log = File::create(work_folder().join(format!("{name}-{}.log", unix_ms())));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        Gateway::start_with_log(name, address, discovery, config, log)
    }

    /// Starts a gateway whose standard error is `log`.
    pub fn start_with_log(name: &str, address: SocketAddr, discovery: SocketAddr, config: &str, log: Stdio) -> Gateway {
        let config_path = work_folder().join(format!("{name}.json"));
        std::fs::write(&config_path, config).expect("the configuration can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("GW_NAME", name)
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", &config_path)
            .env("TMPDIR", work_folder())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the gateway can be started");
        let pids = work_folder().join("pids");
        if let Ok(mut pids) = std::fs::OpenOptions::new().create(true).append(true).open(pids) {
            let _ = writeln!(pids, "{}", child.id());
        }
        record(&format!("platform: started {name} as process {} at {address}", child.id()));
        Gateway { name: name.into(), address, child }
    }

    /// Waits until the gateway answers `PING` with `+PONG`, as the front does.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Ok(mut client) = Client::connect(self.address, Duration::from_secs(2)) {
                if client.send(b"*1\r\n$4\r\nPING\r\n").is_ok() {
                    if let Answer::Line(line) = client.receive(Duration::from_secs(2)) {
                        if line == "+PONG" {
                            record(&format!("platform: {} answers PING", self.name));
                            return true;
                        }
                    }
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process runs. A process that ended is recorded.
    pub fn is_running(&mut self) -> bool {
        match self.child.try_wait() {
            Ok(None) => true,
            Ok(Some(status)) => {
                record(&format!("platform: {} ended with {status}", self.name));
                false
            }
            Err(_) => false,
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address that no other process is likely to use, with port 0: 127.X.Y.1 by the process id.
pub fn loopback() -> SocketAddr {
    let pid = std::process::id();
    format!("127.{}.{}.1:0", 1 + (pid >> 8) % 254, pid % 256).parse().expect("an address")
}

/// Returns a free TCP address on the loopback interface. Ports are not those that the system gives to clients.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(7000);
    loop {
        let mut address = loopback();
        address.set_port(NEXT.fetch_add(1, Ordering::Relaxed) as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a free UDP address on the loopback interface.
pub fn free_udp_address() -> SocketAddr {
    free_address()
}

// Configuration.

#[derive(Clone)]
pub struct Settings {
    pub gateways: usize,
    pub classes: String,
    pub plans: String,
    pub rules: String,
    pub bounds: String,
    pub domain: String,
    pub discovery_mode: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Settings {
    /// The example of the operator's page on the wire (a small deployment).
    pub fn example(gateways: usize) -> Settings {
        Settings {
            gateways,
            classes: r#"{"Deadline":6000.0,"Effect":"repeatable","Group":"all","LateWorth":0.2,"Name":"board-read","Stream":false,"Target":2500.0,"Window":5000.0,"Worth":2.0},{"Deadline":4000.0,"Effect":"once","Group":"all","LateWorth":0.0,"Name":"run-submit","Stream":false,"Target":1200.0,"Window":5000.0,"Worth":5.0}"#.into(),
            plans: r#"{"CapDepth":0.0,"CapRate":0.0,"CeilingSlack":0.0,"MaxOut":0,"Name":"starter","OverCost":0.6,"OverWorth":0.0,"PeakUnits":12.0,"UnitsPerS":1.5,"ValueFactor":0.5},{"CapDepth":0.0,"CapRate":0.0,"CeilingSlack":0.0,"MaxOut":0,"Name":"club","OverCost":1.2,"OverWorth":0.0,"PeakUnits":12.0,"UnitsPerS":1.9,"ValueFactor":0.72},{"CapDepth":0.0,"CapRate":0.0,"CeilingSlack":0.0,"MaxOut":2,"Name":"league","OverCost":1.0,"OverWorth":0.0,"PeakUnits":20.0,"UnitsPerS":5.1,"ValueFactor":1.3},{"CapDepth":74.0,"CapRate":30.0,"CeilingSlack":7.0,"MaxOut":0,"Name":"federation","OverCost":0.0,"OverWorth":0.1,"PeakUnits":31.0,"UnitsPerS":13.0,"ValueFactor":1.8}"#.into(),
            rules: r#""AnswerSlack":16.0,"ColdFrom":0.16,"DrainGrace":500.0,"FallMultiple":4.0,"MustAskIn":10000.0,"OverloadFor":1500.0,"WarmWithin":16000.0"#.into(),
            bounds: r#""Cancel":true,"ConnIdle":30000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":750000,"MaxOpen":30000,"MaxRetryAfter":2000.0,"Multiplex":32,"Peers":true,"Probing":false,"RetryAfter":true,"SecondCopies":true,"TryLimit":3"#.into(),
            domain: r#""CallPrice":0.0,"CountWait":0.0,"Largest":6,"MayCount":false,"PeerIntake":60.0,"Settles":true,"UsePeriod":0.0"#.into(),
            discovery_mode: "automatic",
            memory_mb: 192,
            sockets: 1024,
        }
    }

    /// The configuration of gateway `me`.
    pub fn config(&self, me: usize, listen: SocketAddr, discovery: SocketAddr, peers: &[SocketAddr], known: &str) -> String {
        let seed = new_id() ^ ((me as u64) << 56) ^ u64::from(std::process::id());
        let peer_list: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let peer_listen = peers.get(me).map_or(String::new(), SocketAddr::to_string);
        format!(
            r#"{{"name":"n{me}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{peer_listen}","peers":[{}],"known":{known},"settings":{{"Areas":["a"],"Balancers":{},"Blend":{{"Whole":0.65,"WorstClass":0.0,"WorstTenant":0.15,"WorstWindow":0.2}},"Bounds":{{{}}},"Classes":[{}],"ClientHabits":{{"MarksRetry":false}},"Discovery":"{}","Domain":{{{}}},"Family":"gate","Kinds":["std-4","lite-2"],"Layers":["board-nodes"],"LoadReport":{{"Columns":[],"How":"none"}},"Me":{me},"Plans":[{}],"Rules":{{{}}},"Tick":4.0,"Tier":0,"Weights":"nominal","Zone":0}}}}"#,
            self.memory_mb, self.sockets, peer_list.join(","), self.gateways, self.bounds, self.classes,
            self.discovery_mode, self.domain, self.plans, self.rules,
        )
    }
}

// Discovery.

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: &'static str,
    pub boot_ms: u64,
    changed_at_rev: u64,
}

struct DiscoveryState {
    rev: u64,
    entries: Vec<Entry>,
}

/// The agent that tells the gateways of the endpoints.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    /// Time until an answer, in milliseconds.
    pub answer_delay_ms: AtomicU64,
}

fn entries_json(entries: &[&Entry]) -> String {
    let lines: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"std-4","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
                entry.uid, entry.endpoint, entry.state, entry.boot_ms
            )
        })
        .collect();
    lines.join(",")
}

impl Discovery {
    pub fn start() -> Arc<Discovery> {
        let listener = TcpListener::bind(free_address()).expect("a free port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("a local address"),
            state: Mutex::new(DiscoveryState { rev: 41, entries: Vec::new() }),
            changed: Condvar::new(),
            answer_delay_ms: AtomicU64::new(0),
        });
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Sets the state of one endpoint and tells it to all watches.
    pub fn set(&self, uid: &str, endpoint: SocketAddr, state: &'static str, boot_ms: u64) {
        let mut current = self.state.lock().unwrap();
        current.rev += 1;
        let rev = current.rev;
        current.entries.retain(|entry| entry.uid != uid);
        let uid = uid.to_string();
        record(&format!("discovery: rev {rev}: {uid} at {endpoint} is {state}, boot_ms {boot_ms}"));
        current.entries.push(Entry { uid, endpoint, state, boot_ms, changed_at_rev: rev });
        drop(current);
        self.changed.notify_all();
    }

    /// The whole list. Entries that are gone appear only among changes.
    pub fn whole_list(&self) -> (u64, String) {
        let state = self.state.lock().unwrap();
        let listed: Vec<&Entry> = state.entries.iter().filter(|entry| entry.state != "gone").collect();
        let json = format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.rev, entries_json(&listed));
        (state.rev, json)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buffer) else { return };
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let delay = Duration::from_millis(self.answer_delay_ms.load(Ordering::Relaxed));
            thread::sleep(delay);
            if path.contains("stream=1") {
                let index = path.split("index=").nth(1).and_then(|text| text.split('&').next());
                let index = index.and_then(|text| text.parse().ok()).unwrap_or(0);
                record(&format!("discovery: watch from rev {index}"));
                self.watch(stream, index);
                return;
            }
            let (rev, body) = self.whole_list();
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                record("discovery: the caller had gone before the answer");
                return;
            }
            record(&format!("discovery: answered with the whole list, rev {rev}"));
        }
    }

    fn watch(&self, mut stream: TcpStream, index: u64) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut told = index;
        let mut is_first = true;
        loop {
            let mut state = self.state.lock().unwrap();
            if state.rev == told && !is_first {
                state = self.changed.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
            }
            let line = if state.rev == told && !is_first {
                "\n".to_string()
            } else {
                let changes: Vec<&Entry> = state.entries.iter().filter(|entry| entry.changed_at_rev > told).collect();
                told = state.rev;
                format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}\n", state.rev, entries_json(&changes))
            };
            drop(state);
            is_first = false;
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0u8; 4096];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 4);
            return Some(head);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

// RESP.

/// A request as an endpoint receives it.
#[derive(Clone)]
pub struct Request {
    pub customer: String,
    pub id: String,
    pub fields: HashMap<String, String>,
    /// When its last byte had arrived.
    pub arrived: Instant,
    pub is_once: bool,
}

impl Request {
    pub fn number(&self, field: &str) -> f64 {
        self.fields.get(field).and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }
}

/// Parses an array of bulk strings. Returns its parts and its length; `None` while it is incomplete.
pub fn parse_array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let (count, mut position) = parse_number(bytes, 0, b'*')?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let (length, start) = parse_number(bytes, position, b'$')?;
        if bytes.len() < start + length + 2 {
            return None;
        }
        parts.push(bytes[start..start + length].to_vec());
        position = start + length + 2;
    }
    Some((parts, position))
}

fn parse_number(bytes: &[u8], start: usize, kind: u8) -> Option<(usize, usize)> {
    let end = bytes.get(start..)?.windows(2).position(|window| window == b"\r\n")? + start;
    if bytes[start] != kind {
        return None;
    }
    let number = std::str::from_utf8(&bytes[start + 1..end]).ok()?.parse().ok()?;
    Some((number, end + 2))
}

pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A good answer of an endpoint: the value, the figures on use or null, and no load report.
pub fn good_answer(value: &[u8], cost: Option<f64>) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    match cost {
        Some(cost) => {
            let text = format!("cost={cost}");
            bytes.extend_from_slice(format!("${}\r\n{text}\r\n", text.len()).as_bytes());
        }
        None => bytes.extend_from_slice(b"$-1\r\n"),
    }
    bytes.extend_from_slice(b"$-1\r\n");
    bytes
}

// Endpoints.

/// Works on a request and returns the bytes that the endpoint answers with.
pub type Handler = Arc<dyn Fn(&Request) -> Vec<u8> + Send + Sync>;

/// An endpoint. Each connection has a thread, which works on one request at a time, in order.
pub struct Endpoint {
    pub address: SocketAddr,
}

impl Endpoint {
    pub fn start(handler: Handler) -> Endpoint {
        let listener = TcpListener::bind(free_address()).expect("a free port");
        let address = listener.local_addr().expect("a local address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                thread::spawn(move || serve_endpoint(stream, &handler));
            }
        });
        Endpoint { address }
    }
}

fn serve_endpoint(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    let mut chunk = vec![0u8; 65536];
    loop {
        while let Some((parts, length)) = parse_array(&buffer) {
            buffer.drain(..length);
            let name = String::from_utf8_lossy(&parts[0]).to_string();
            if !name.starts_with("Q.") || parts.len() < 4 {
                let _ = stream.write_all(if name == "CLIENT" || name == "SELECT" { b"+OK\r\n" } else { b"-ERR\r\n" });
                continue;
            }
            let text = |index: usize| String::from_utf8_lossy(&parts[index]).to_string();
            let fields = text(3).split(',').filter_map(|field| field.split_once('=').map(|(name, value)| (name.to_string(), value.to_string()))).collect();
            let request = Request { customer: text(1), id: text(2), fields, arrived: Instant::now(), is_once: name == "Q.DO" };
            if stream.write_all(&handler(&request)).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

// Clients.

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A bulk string.
    Value(Vec<u8>),
    /// A line, with its first byte.
    Line(String),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came in time.
    Nothing,
}

pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn receive(&mut self, timeout: Duration) -> Answer {
        let deadline = Instant::now() + timeout;
        let mut chunk = [0u8; 16384];
        loop {
            if let Some(answer) = self.take_answer() {
                return answer;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut chunk) {
                Ok(0) => return Answer::Closed,
                Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(_) => return Answer::Closed,
            }
        }
    }

    fn take_answer(&mut self) -> Option<Answer> {
        if self.buffer.first() == Some(&b'$') {
            let (length, start) = parse_number(&self.buffer, 0, b'$')?;
            if self.buffer.len() < start + length + 2 {
                return None;
            }
            let value = self.buffer[start..start + length].to_vec();
            self.buffer.drain(..start + length + 2);
            return Some(Answer::Value(value));
        }
        let end = self.buffer.windows(2).position(|window| window == b"\r\n")?;
        let line = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        self.buffer.drain(..end + 2);
        Some(Answer::Line(line))
    }
}

/// The connections of usual clients to one gateway. They keep their connections and open more when every one is busy.
pub struct ClientPool {
    address: SocketAddr,
    idle: Mutex<Vec<Client>>,
}

impl ClientPool {
    pub fn new(address: SocketAddr) -> Arc<ClientPool> {
        Arc::new(ClientPool { address, idle: Mutex::new(Vec::new()) })
    }

    /// Sends a request and waits for its answer. A request that crosses the end of a resting connection is sent once
    /// more, on a new connection.
    pub fn call(&self, bytes: &[u8], timeout: Duration) -> Answer {
        let resting = self.idle.lock().unwrap().pop();
        let was_resting = resting.is_some();
        let answer = match resting {
            Some(client) => self.call_on(client, bytes, timeout),
            None => self.call_on_new(bytes, timeout),
        };
        if was_resting && answer == Answer::Closed {
            return self.call_on_new(bytes, timeout);
        }
        answer
    }

    fn call_on_new(&self, bytes: &[u8], timeout: Duration) -> Answer {
        match Client::connect(self.address, Duration::from_secs(2)) {
            Ok(client) => self.call_on(client, bytes, timeout),
            Err(_) => Answer::Closed,
        }
    }

    fn call_on(&self, mut client: Client, bytes: &[u8], timeout: Duration) -> Answer {
        if client.send(bytes).is_err() {
            return Answer::Closed;
        }
        let answer = client.receive(timeout);
        if matches!(answer, Answer::Value(_) | Answer::Line(_)) {
            self.idle.lock().unwrap().push(client);
        }
        answer
    }
}

/// A request of a usual client, as bytes.
pub fn request_bytes(is_once: bool, customer: &str, id: u64, class: &str, plan: &str, d: u64, units: f64, spread: usize, first: usize) -> Vec<u8> {
    let name: &[u8] = if is_once { b"Q.DO" } else { b"Q.ASK" };
    let fields = format!("c={class},t={plan},d={d},units={units},spread={spread},first={first}");
    let id = format!("{id:016x}");
    let mut parts = vec![name, customer.as_bytes(), id.as_bytes(), fields.as_bytes()];
    if is_once {
        parts.push(b"BODY");
    }
    command(&parts)
}

/// The processor cores of an endpoint.
pub struct Cores {
    free: Mutex<usize>,
    freed: Condvar,
}

impl Cores {
    pub fn new(count: usize) -> Arc<Cores> {
        Arc::new(Cores { free: Mutex::new(count), freed: Condvar::new() })
    }

    pub fn work(&self, duration: Duration) {
        let mut free = self.free.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        thread::sleep(duration);
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

/// How the requests to one gateway ended.
#[derive(Clone, Copy, Default, Debug)]
pub struct Counts {
    pub served: u32,
    pub refused: u32,
    pub failed: u32,
    /// Served with a value that was not made for the request.
    pub foreign: u32,
    /// The gateway ended the connection without a whole answer.
    pub closed: u32,
    /// No answer until 0.55 s after the time of the request.
    pub nothing: u32,
}

/// Plays usual clients, as [`usual_traffic_by_gateway`] does, and returns the sums over all gateways.
pub fn usual_traffic(pools: &[Arc<ClientPool>], rate: f64, pressing: f64, seconds: f64) -> Counts {
    let mut sum = Counts::default();
    for count in usual_traffic_by_gateway(pools, rate, pressing, seconds) {
        sum.served += count.served;
        sum.refused += count.refused;
        sum.failed += count.failed;
        sum.foreign += count.foreign;
        sum.closed += count.closed;
        sum.nothing += count.nothing;
    }
    sum
}

/// Plays usual clients: `rate` requests a second for `seconds`, of 200 communities on the plan `starter`, spread over
/// all gateways. The part `pressing` of the requests comes from four more communities. Returns how the requests to each gateway ended.
pub fn usual_traffic_by_gateway(pools: &[Arc<ClientPool>], rate: f64, pressing: f64, seconds: f64) -> Vec<Counts> {
    let counts = Arc::new(Mutex::new(vec![Counts::default(); pools.len()]));
    let mut random = Random(new_id());
    let start = Instant::now();
    let mut at = 0.0;
    let mut threads = Vec::new();
    while at < seconds {
        at += -(1.0 - random.unit()).ln() / rate;
        thread::sleep((start + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now()));
        let number = if random.unit() < pressing { 1000 + random.next() % 4 } else { random.next() % 200 };
        let customer = format!("{number:016x}");
        let is_once = random.unit() < 0.5;
        let gateway = (random.next() % pools.len() as u64) as usize;
        let pool = pools[gateway].clone();
        let (counts, gateways) = (counts.clone(), pools.len());
        threads.push(thread::spawn(move || {
            let id = new_id();
            let (class, d) = if is_once { ("run-submit", 3000) } else { ("board-read", 5000) };
            let bytes = request_bytes(is_once, &customer, id, class, "starter", d, 1.0, gateways, 0);
            record(&format!("client: sends {id:016x} ({class}) to n{gateway}"));
            let answer = pool.call(&bytes, Duration::from_millis(d + 550));
            let is_own = answer == Answer::Value(format!("value of {id:016x}").into_bytes());
            let mut counts = counts.lock().unwrap();
            let count = &mut counts[gateway];
            let text = match answer {
                Answer::Value(value) => {
                    *if is_own { &mut count.served } else { &mut count.foreign } += 1;
                    format!("{}{}", String::from_utf8_lossy(&value), if is_own { "" } else { " (NOT MADE FOR IT)" })
                }
                Answer::Line(line) => {
                    *if line.starts_with("-BUSY") { &mut count.refused } else { &mut count.failed } += 1;
                    line
                }
                Answer::Closed => {
                    count.closed += 1;
                    "no answer: the connection ended (UNANSWERED)".into()
                }
                Answer::Nothing => {
                    count.nothing += 1;
                    "no answer until 0.55 s after its time (UNANSWERED)".into()
                }
            };
            record(&format!("client: {id:016x} ({class}) at n{gateway} gets {text}"));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let counts = counts.lock().unwrap().clone();
    counts
}
