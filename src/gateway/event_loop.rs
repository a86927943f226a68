//! The host of the module: events go in, its actions are carried out. Owns the requests in hand, their
//! attempts and one queue of timers for all of them. It decides nothing: `crate::Control` does.

use crate::gateway::clients::{ClientConnection, ClientRequest};
use crate::gateway::configuration::Configuration;
use crate::gateway::discovery::{EndpointUpdate, ListedEndpoint};
use crate::gateway::endpoint_pool::{
    self, ConnectionPermit, EndpointConnection, EndpointError, EndpointPool,
};
use crate::gateway::gossip_socket::GossipSocket;
use crate::gateway::resp::{self, Reply};
use crate::*;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};

/// How a connection to a worker is opened. Need not give up by itself.
pub type Connect =
    Rc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = std::io::Result<TcpStream>>>>>;

/// The one owner of all state; every task borrows it for the length of one call.
pub type GatewayHandle = Rc<RefCell<Gateway>>;

/// A client's time runs from when it sent: the answer's way back, and ours through a busy core, need some.
const MARGIN_MS: f64 = 6.0;
/// A request without an answer this long after the module's own limit is failed: no client goes without.
const OVERDUE_MS: f64 = 3.0;
/// Pooled connections are closed after this part of the time at which workers close them.
const IDLE_PART: f64 = 0.5;
/// A connection rests this long after an answer: what an answer brings too much may come a moment later, and
/// must not be taken for the next one.
const REST_MS: f64 = 5.0;
/// A connection that is not up after this part of the time that is left is given up, so that time for
/// another worker remains.
const CONNECT_PART: f64 = 0.25;
const CONNECT_LEAST_MS: f64 = 50.0;
/// Timers that are void may stand in the queue up to this many, or as many as mean something.
const DUE_LEAST: usize = 1024;

/// Milliseconds of Unix time as of the start, moved on by the monotonic clock: workers' start times can be
/// compared with it, and it never steps back.
struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_ms: unix.as_secs_f64() * 1000.0,
        }
    }

    fn now(&self) -> f64 {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.unix_ms) / 1000.0).clamp(0.0, 1e6))
    }
}

/// A request in hand: until its final answer, and after that while an attempt is still out.
struct ActiveRequest {
    ask: ClientRequest,
    /// Who is owed the answer; none once it is given or the client has left.
    client: Option<Rc<ClientConnection>>,
    /// Whether it has waited since it came.
    waited: bool,
    attempts: u32,
    attempt: Option<Attempt>,
    /// When the first attempt that may have run was begun.
    ran: Option<f64>,
}

/// The one attempt that may be out.
struct Attempt {
    number: u32,
    server: EndpointName,
    started: f64,
    not_past: f64,
    /// Its connection once there is one.
    conn: Option<Rc<EndpointConnection>>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Engine(u64),
    Attempt(u64, u32),
    Answer(u64),
    Sweep,
}

/// One gatekeeper: the module and all that it decides about.
pub struct Gateway {
    me: Weak<RefCell<Gateway>>,
    control: DecisionEngine,
    clock: Clock,
    /// The settings as they are written.
    pub document: SettingsDocument,
    /// What the module needs of them.
    pub settings: Settings,
    requests: HashMap<u64, ActiveRequest>,
    requests_received: u64,
    last_id: u64,
    held: usize,
    held_most: usize,
    /// By when all has to be answered, once it is told to end: what is left then is lost with the process.
    ends: f64,
    /// The clients' ids of the requests in hand.
    open: HashSet<u64>,
    workers: EndpointPool,
    connect: Connect,
    peers: Option<GossipSocket>,
    events: VecDeque<Event>,
    pumping: bool,
    /// What is due when, in microseconds of the clock.
    due: BinaryHeap<Reverse<(u64, Timer)>>,
    due_most: usize,
    sooner: Rc<Notify>,
    slept_for: u64,
    /// Told when discovery has given its first list.
    pub first_list: Rc<Notify>,
    scratch: Vec<u8>,
    /// How many answers could not be read since the last line on it in the log, and the last of them.
    spoilt: Option<(u32, String)>,
}

impl Gateway {
    /// A gatekeeper that has just started, with so many connections to workers at the most.
    ///
    /// # Errors
    /// When the settings hold a figure that cannot be acted on.
    pub fn new(
        config: Configuration,
        peers: Option<GossipSocket>,
        connections: usize,
    ) -> Result<GatewayHandle, SettingsError> {
        let control = DecisionEngine::new(config.settings.clone(), config.seed)?;
        let memory = config.memory_per_purpose();
        let gateway = Rc::new_cyclic(|me| {
            RefCell::new(Gateway {
                me: me.clone(),
                control,
                clock: Clock::new(),
                document: config.document,
                settings: config.settings,
                requests: HashMap::new(),
                requests_received: 0,
                last_id: 0,
                held: 0,
                held_most: memory,
                ends: f64::INFINITY,
                open: HashSet::new(),
                workers: EndpointPool::new(connections, memory),
                connect: Rc::new(|at| Box::pin(TcpStream::connect(at))),
                peers,
                events: VecDeque::new(),
                pumping: false,
                due: BinaryHeap::new(),
                due_most: DUE_LEAST,
                sooner: Rc::default(),
                slept_for: u64::MAX,
                first_list: Rc::default(),
                scratch: Vec::new(),
                spoilt: None,
            })
        });
        gateway.borrow_mut().sweep();
        Ok(gateway)
    }

    /// Unix time in milliseconds, which never steps back.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Has connections to workers opened in another way than over TCP alone.
    pub fn set_connector(&mut self, connect: Connect) {
        self.connect = connect;
    }

    /// Takes a connection to a worker of the list, on which nothing was asked yet, into the pool.
    pub fn adopt_connection(&mut self, worker: &str, stream: TcpStream) {
        let life = self.workers.get(worker).map(|w| w.life);
        if let (Some(life), Some(place)) = (life, self.workers.place()) {
            let conn = self.conn(stream, worker.into(), life, place);
            self.workers.keep(&conn, self.clock.now() - REST_MS);
        }
    }

    /// A connection that has come up, and is read from now on.
    fn conn(
        &self,
        stream: TcpStream,
        worker: EndpointName,
        life: u64,
        place: ConnectionPermit,
    ) -> Rc<EndpointConnection> {
        let conn = EndpointConnection::new(stream, worker, life, place, self.workers.reading());
        if let Some(gateway) = self.me.upgrade() {
            conn.listen(gateway);
        }
        conn
    }

    /// How many requests have been taken in since the start.
    pub fn requests_received(&self) -> u64 {
        self.requests_received
    }

    /// How many requests are in hand, with those whose client has left while an attempt is still out.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether nobody is owed an answer.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|r| r.client.is_none())
    }

    /// It is killed after this time: what is in hand, and what still comes, is answered before.
    pub fn shut_down_within(&mut self, most: Duration) {
        self.ends = self.now() + most.as_secs_f64() * 1000.0;
        let in_hand: Vec<u64> = self.requests.keys().copied().collect();
        in_hand
            .into_iter()
            .for_each(|id| self.at(self.ends, Timer::Answer(id)));
    }

    // ---- what happens outside ----

    /// News of the workers.
    pub fn endpoints_changed(&mut self, update: EndpointUpdate) {
        let (over, replaced) = self.workers.update(&update);
        let number = |names: &[String], name: &str| {
            names
                .iter()
                .position(|n| n == name)
                .unwrap_or(names.len())
                .try_into()
                .unwrap_or(u32::MAX)
        };
        let server = |t: &ListedEndpoint| Endpoint {
            name: t.uid.as_str().into(),
            zone: number(&self.document.zones, &t.zone),
            cell: t.cell,
            hardware: number(&self.document.hardware_kinds, &t.model),
            weight: t.size,
            state: t.health,
            started_at_ms: t.boot_ms,
        };
        let mut servers: Vec<Endpoint> = update.endpoints.iter().map(server).collect();
        // Whose address has a new owner is gone, whether or not that has been told.
        for line in servers
            .iter_mut()
            .filter(|line| replaced.contains(&line.name))
        {
            line.state = EndpointState::Removed;
        }
        let gone = |name: &EndpointName| Endpoint {
            name: name.clone(),
            zone: 0,
            cell: 0,
            hardware: 0,
            weight: 1.0,
            state: EndpointState::Removed,
            started_at_ms: 0.0,
        };
        let named = |name: &&EndpointName| !servers.iter().any(|line| line.name == **name);
        let unnamed: Vec<Endpoint> = replaced.iter().filter(named).map(gone).collect();
        servers.extend(unnamed);
        let listing = if update.snapshot {
            EndpointListKind::Snapshot
        } else {
            EndpointListKind::Delta
        };
        self.event(Event::EndpointsChanged {
            kind: listing,
            endpoints: servers,
        });
        // What was out at a worker that has restarted since is never answered, and its connection is
        // half open if the whole machine went.
        let lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.lives_in(&over))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.give_up(id, AttemptResult::ConnectionReset);
        }
        self.first_list.notify_one();
    }

    /// A note from another gatekeeper.
    pub fn gossip_received(&mut self, from: u32, text: &str) {
        self.event(Event::GossipReceived {
            from,
            text: text.into(),
        });
    }

    /// A number for a request, never used twice. The wire's ids are the clients': they may come again.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether a request with this id of the client's is in hand, or an attempt of it is still out: a second
    /// one would reach a worker as a copy of the first.
    pub(crate) fn is_open(&self, wire: u64) -> bool {
        self.open.contains(&wire)
    }

    /// Whether one more request of this size can be held. Past it requests are turned away unseen, as the
    /// settings' most open requests demand, the memory does, and the end that is near.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let time = self.now() < self.ends;
        time && self.requests.len() < self.document.limits.max_active_requests
            && self.held + bytes <= self.held_most
    }

    /// A request came in whole.
    pub(crate) fn request(&mut self, id: u64, ask: ClientRequest, client: Rc<ClientConnection>) {
        let give_up = (self.now() + ask.wait_ms - MARGIN_MS).min(self.ends);
        let request = Request {
            id,
            tenant: ask.tenant.clone(),
            class: ask.class,
            plan: ask.plan,
            cost: ask.cost,
            shard_start: ask.shard_start,
            shard_size: ask.shard_size,
            client_deadline_ms: give_up,
            is_retry: ask.is_retry,
        };
        self.requests_received += 1;
        self.held += ask.command_len();
        self.open.insert(ask.client_request_id);
        let client = Some(client);
        self.requests.insert(
            id,
            ActiveRequest {
                ask,
                client,
                waited: false,
                attempts: 0,
                attempt: None,
                ran: None,
            },
        );
        self.at(give_up + OVERDUE_MS, Timer::Answer(id));
        self.event(Event::RequestReceived(request));
        if let Some(r) = self.requests.get_mut(&id) {
            r.waited = true;
        }
    }

    /// A client went away with this request open. Nothing more goes out for it.
    pub(crate) fn left(&mut self, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if r.client.take().is_none() {
            return;
        }
        self.event(Event::ClientDisconnected { request: id });
        self.withdraw(id);
        self.tidy(id);
    }

    /// A worker answered on a connection. `clean`: with nothing behind it.
    pub(crate) fn answered(
        &mut self,
        conn: &Rc<EndpointConnection>,
        reply: Reply,
        bytes: &[u8],
        clean: bool,
    ) {
        let Some(id) = conn.busy.take() else { return };
        let line = match &reply {
            Reply::Served { .. } => None,
            Reply::Error(line) => Some(endpoint_pool::refusal(&bytes[line.clone()])),
        };
        // Any other line is noise, and so may be what comes after it.
        let known = !matches!(line, Some(EndpointError::Other));
        if clean && known && conn.written.get() {
            self.workers.keep(conn, self.clock.now());
        } else {
            conn.close();
        }
        match reply {
            Reply::Served {
                value,
                used,
                report,
            } => {
                if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
                    client.answer(id, &bytes[value]);
                }
                let units = used.and_then(|at| {
                    endpoint_pool::cost(&bytes[at], self.settings.largest_request_cost())
                });
                self.settle(
                    id,
                    AttemptResult::Success,
                    report.and_then(|at| endpoint_pool::report(&bytes[at])),
                    units,
                );
            }
            Reply::Error(_) => match line {
                Some(EndpointError::Busy(report)) => {
                    self.end(id, AttemptResult::Overloaded, report)
                }
                Some(EndpointError::Failed(report)) => self.end(id, AttemptResult::Error, report),
                _ => self.end(id, AttemptResult::Error, None),
            },
        }
    }

    /// A connection to a worker has ended, perhaps over bytes that are no answer.
    pub(crate) fn worker_closed(&mut self, conn: &Rc<EndpointConnection>, spoilt: Option<String>) {
        self.workers.forget(conn);
        if let Some(what) = spoilt {
            // A line for each would be a flood of its own.
            let (count, last) = self.spoilt.get_or_insert((0, String::new()));
            *count += 1;
            *last = format!("{}: {what}", conn.worker);
        }
        if let Some(id) = conn.busy.get() {
            self.give_up(id, AttemptResult::ConnectionReset);
        }
    }

    // ---- the module ----

    fn event(&mut self, event: Event) {
        self.events.push_back(event);
        // An action that ends at once brings an event of its own, which waits for its turn here.
        if std::mem::replace(&mut self.pumping, true) {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            for action in self.control.handle_event(now, event) {
                self.act(action, now);
            }
        }
        self.pumping = false;
    }

    fn act(&mut self, action: Action, now: f64) {
        match action {
            Action::Forward {
                request: id,
                endpoint: server,
                deadline_ms: not_past,
            } => self.send(id, server, not_past, now),
            Action::Reject {
                request: id,
                retry_after_ms: pause,
            } => {
                let mut line = b"-BUSY".to_vec();
                if pause >= 1.0 {
                    line.push(b' ');
                    resp::put_digits(&mut line, pause as u64);
                }
                line.extend_from_slice(b"\r\n");
                self.answer(id, &line);
            }
            Action::Fail { request: id } => self.answer(id, b"-ERR failed\r\n"),
            Action::SendGossip { to, text } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &text);
                }
            }
            Action::SetTimer {
                token,
                delay_ms: after,
            } => self.at(now + after, Timer::Engine(token)),
        }
    }

    /// Gives a final answer that no worker made.
    fn answer(&mut self, id: u64, line: &[u8]) {
        if let Some(client) = self.requests.get_mut(&id).and_then(|r| r.client.take()) {
            client.answer(id, line);
        }
        self.tidy(id);
    }

    /// Forgets a request that nobody waits for and that has nothing out.
    fn tidy(&mut self, id: u64) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.client.is_none() && r.attempt.is_none())
            && let Some(r) = self.requests.remove(&id)
        {
            self.held -= r.ask.command_len();
            self.open.remove(&r.ask.client_request_id);
        }
    }

    // ---- attempts ----

    fn send(&mut self, id: u64, server: EndpointName, not_past: f64, now: f64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let number = r.attempts;
        r.attempts += 1;
        r.attempt = Some(Attempt {
            number,
            server: server.clone(),
            started: now,
            not_past,
            conn: None,
        });
        if not_past <= now || r.client.is_none() {
            return self.end(id, AttemptResult::NeverSent, None);
        }
        if r.abandoned() {
            return self.left(id);
        }
        self.at(not_past, Timer::Attempt(id, number));
        // A connection that breaks before anything is written has cost nothing: the next one is as good.
        while let Some(conn) = self.workers.take(&server, now - REST_MS) {
            if self.begin(id, &conn) {
                return;
            }
        }
        let worker = self
            .workers
            .get(&server)
            .filter(|w| w.health == EndpointState::Ready);
        let Some((address, life)) = worker.map(|w| (w.address, w.life)) else {
            return self.end(id, AttemptResult::ConnectFailed, None);
        };
        let (Some(place), Some(gateway)) = (self.workers.place(), self.me.upgrade()) else {
            return self.end(id, AttemptResult::ConnectFailed, None);
        };
        let part = (CONNECT_PART * (not_past - now)).max(CONNECT_LEAST_MS);
        let most = self
            .document
            .limits
            .connect_timeout_ms
            .clamp(1.0, 60_000.0)
            .min(part);
        let most = Duration::from_secs_f64(most / 1000.0);
        let coming = (self.connect)(address);
        tokio::task::spawn_local(async move {
            // A machine that has vanished never answers: the settings say how long to try.
            let stream = timeout(most, coming).await.ok().and_then(Result::ok);
            gateway
                .borrow_mut()
                .connected(id, number, server, life, place, stream);
        });
    }

    fn connected(
        &mut self,
        id: u64,
        number: u32,
        server: EndpointName,
        life: u64,
        place: ConnectionPermit,
        stream: Option<TcpStream>,
    ) {
        if self.requests.get(&id).is_some_and(ActiveRequest::abandoned) {
            self.left(id);
        }
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let waits = attempt.is_some_and(|a| a.number == number && a.conn.is_none());
        let conn = stream.map(|stream| self.conn(stream, server, life, place));
        match conn {
            // The worker may have begun to drain, or have restarted, while this took its time: `begin` looks.
            Some(conn) if waits => {
                let begun = self.begin(id, &conn);
                if !begun {
                    self.end(id, AttemptResult::ConnectFailed, None);
                }
            }
            Some(conn) => self.workers.keep(&conn, self.clock.now()),
            None if waits => self.end(id, AttemptResult::ConnectFailed, None),
            None => {}
        }
    }

    /// Whether something new may go out on a connection.
    fn usable(&self, conn: &EndpointConnection) -> bool {
        self.workers
            .get(&conn.worker)
            .is_some_and(|w| w.health == EndpointState::Ready && w.life == conn.life)
    }

    /// Writes the command. False if the connection broke before a byte was taken.
    fn begin(&mut self, id: u64, conn: &Rc<EndpointConnection>) -> bool {
        let now = self.clock.now();
        let usable = self.usable(conn);
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        // Servers drop a repeat within the window only, which may have passed while the connection came up.
        let class = &self.settings.classes[r.ask.class];
        let keyed = matches!(class.idempotency, Idempotency::Keyed(_));
        let repeats = !keyed
            || r.ran
                .is_none_or(|at| now - at < class.deduplication_window_ms);
        let Some(attempt) = &mut r.attempt else {
            return false;
        };
        if !usable || !repeats {
            conn.close();
            return false;
        }
        let mut bytes = std::mem::take(&mut self.scratch);
        bytes.clear();
        r.ask
            .encode_for_endpoint((attempt.not_past - now).max(1.0) as u64, &mut bytes);
        let sent = match conn.stream.try_write(&bytes) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                conn.close();
                self.scratch = bytes;
                return false;
            }
        };
        attempt.conn = Some(conn.clone());
        conn.busy.set(Some(id));
        conn.written.set(sent == bytes.len());
        if sent < bytes.len()
            && let Some(gateway) = self.me.upgrade()
        {
            let (conn, rest) = (conn.clone(), bytes[sent..].to_vec());
            tokio::task::spawn_local(async move {
                let whole = conn.write_rest(&rest).await.is_ok();
                if conn.busy.get() == Some(id) {
                    conn.written.set(whole);
                    if !whole {
                        gateway
                            .borrow_mut()
                            .give_up(id, AttemptResult::ConnectFailed);
                    }
                }
            });
        }
        self.scratch = bytes;
        true
    }

    /// Closes the attempt's connection, so that nothing late can be taken for another answer, and ends it.
    fn give_up(&mut self, id: u64, ending: AttemptResult) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(conn) = attempt.map(|a| a.conn.clone()) else {
            return;
        };
        let Some(conn) = conn else {
            return self.end(id, AttemptResult::ConnectFailed, None);
        };
        conn.busy.set(None);
        conn.close();
        // With its last byte unwritten the worker can't have begun.
        self.end(
            id,
            if conn.written.get() {
                ending
            } else {
                AttemptResult::ConnectFailed
            },
            None,
        );
    }

    /// Ends an attempt that no worker has whole yet: the rest of its command is not written.
    fn withdraw(&mut self, id: u64) {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let Some(conn) = attempt.map(|a| a.conn.clone()) else {
            return;
        };
        if conn.as_ref().is_some_and(|conn| conn.written.get()) {
            return;
        }
        if let Some(conn) = conn {
            conn.busy.set(None);
            conn.close();
        }
        self.end(id, AttemptResult::NeverSent, None);
    }

    /// The attempt has ended and nothing is known of the true units.
    fn end(&mut self, id: u64, ending: AttemptResult, report: Option<LoadReport>) {
        self.settle(id, ending, report, None);
    }

    /// The attempt has ended; the module hears of it.
    fn settle(
        &mut self,
        id: u64,
        ending: AttemptResult,
        report: Option<LoadReport>,
        units: Option<f64>,
    ) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = r.attempt.take() else {
            return;
        };
        if !matches!(
            ending,
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NeverSent
        ) {
            r.ran.get_or_insert(attempt.started);
        }
        let outcome = AttemptOutcome {
            request: id,
            attempt: attempt.number,
            endpoint: attempt.server,
            result: ending,
            latency_ms: (now - attempt.started).max(0.0),
            request_ended: r.client.is_none(),
            metered_use: None,
            actual_cost: units,
            load_report: report,
        };
        self.event(Event::AttemptFinished(outcome));
        self.tidy(id);
    }

    // ---- time ----

    fn at(&mut self, at: f64, due: Timer) {
        if self.due.len() >= self.due_most {
            let mut due = std::mem::take(&mut self.due);
            due.retain(|Reverse((_, due))| self.awaited(due));
            self.due_most = DUE_LEAST.max(2 * due.len());
            self.due = due;
        }
        let at = (at * 1000.0).max(0.0) as u64;
        self.due.push(Reverse((at, due)));
        if at < self.slept_for {
            self.sooner.notify_one();
        }
    }

    fn sweep(&mut self) {
        let idle = self.document.limits.idle_connection_timeout_ms * IDLE_PART;
        let now = self.now();
        self.workers.sweep(now - idle);
        if let Some((count, last)) = self.spoilt.take() {
            eprintln!("marlshelf-gateway: {count} answers could not be read, the last from {last}");
        }
        self.at(now + (idle / 8.0).clamp(50.0, 2000.0), Timer::Sweep);
    }

    /// Whether something due still means anything.
    fn awaited(&self, due: &Timer) -> bool {
        match due {
            Timer::Engine(_) | Timer::Sweep => true,
            Timer::Attempt(id, number) => {
                let out = self.requests.get(id).and_then(|r| r.attempt.as_ref());
                out.is_some_and(|a| a.number == *number)
            }
            Timer::Answer(id) => self.requests.get(id).is_some_and(|r| r.client.is_some()),
        }
    }

    /// Does what is due, and gives the time of what comes next.
    fn run_due(&mut self) -> Option<Instant> {
        loop {
            let now = (self.now() * 1000.0) as u64;
            match self.due.peek() {
                None => {
                    self.slept_for = u64::MAX;
                    return None;
                }
                // Most requests are settled long before their limits: what is void by now must not wake us.
                Some(Reverse((at, due))) if *at > now && self.awaited(due) => {
                    self.slept_for = *at;
                    return Some(self.clock.instant(*at as f64 / 1000.0));
                }
                Some(_) => {}
            }
            let Some(Reverse((_, due))) = self.due.pop() else {
                continue;
            };
            if !self.awaited(&due) {
                continue;
            }
            match due {
                Timer::Engine(token) => self.event(Event::TimerFired { token }),
                Timer::Attempt(id, _) => self.give_up(id, AttemptResult::TimedOut),
                Timer::Answer(id) => {
                    if self.now() < self.ends {
                        eprintln!("marlshelf-gateway: a request was not settled in time");
                    }
                    let client = self.requests.get(&id).and_then(|r| r.client.clone());
                    self.left(id);
                    if let Some(client) = client {
                        client.answer(id, b"-ERR failed\r\n");
                    }
                }
                Timer::Sweep => self.sweep(),
            }
        }
    }

    /// The task that wakes for all timers.
    pub async fn run_timers(gateway: GatewayHandle) {
        let sooner = gateway.borrow().sooner.clone();
        loop {
            let next = gateway.borrow_mut().run_due();
            match next {
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(at.into()) => {}
                        () = sooner.notified() => {}
                    }
                }
                None => sooner.notified().await,
            }
        }
    }
}

impl ActiveRequest {
    /// Whether its client has left while it waited, though that is not read yet: what it waited for may have
    /// come just before, or the core may have been too busy to look.
    fn abandoned(&self) -> bool {
        self.waited
            && self
                .client
                .as_ref()
                .is_some_and(|client| client.is_disconnected())
    }

    /// Whether it has an attempt out at one of these workers.
    fn lives_in(&self, workers: &[EndpointName]) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|a| a.conn.is_some() && workers.contains(&a.server))
    }
}
