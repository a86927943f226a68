//! The event loop of a gateway: it hands events to the decision engine and carries out the actions that the engine
//! returns. It decides nothing itself.
//!
//! All state has one owner, [`Gateway`]. Each task (a client connection, an endpoint connection, the gossip socket,
//! the timers) borrows it for the length of one synchronous call and never across an `await`, so calls neither
//! overlap nor need locks.
//!
//! | component | what it owns |
//! | --- | --- |
//! | `RequestTable` | the requests in flight, their attempts, and what they occupy |
//! | `EndpointPool` | the listed endpoints and their connections |
//! | `TimerQueue` | all timers |
//! | `DecisionEngine` | everything that decisions depend on |

mod actions;
mod active_request;
mod attempts;
mod client_requests;
mod clock;
mod endpoint_events;
mod request_table;
mod timers;

use crate::gateway::configuration::Configuration;
use crate::gateway::endpoints::EndpointPool;
use crate::gateway::gossip_socket::{GossipHandler, GossipSocket};
use crate::gateway::log;
use crate::{
    AttemptResult, DecisionEngine, Event, GatewayId, RequestId, Settings, SettingsDocument,
    SettingsError, Timestamp,
};
use clock::Clock;
use endpoint_events::MalformedResponses;
use request_table::RequestTable;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use timers::{NextTimer, Timer, TimerQueue};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Opens connections to endpoints. It needs no timeout of its own.
pub type Connector =
    Rc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = std::io::Result<TcpStream>>>>>;

/// A shared handle to the one owner of all state.
pub type GatewayHandle = Rc<RefCell<Gateway>>;

/// Idle connections are closed after this part of the time after which endpoints close them.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Idle connections are looked through this many times within their idle timeout.
const REAPS_PER_IDLE_TIMEOUT: f64 = 8.0;
const MIN_REAP_INTERVAL_MS: f64 = 50.0;
const MAX_REAP_INTERVAL_MS: f64 = 2000.0;
/// A connection rests this long after a response before it is used again: surplus bytes of the response may arrive
/// a moment later, and must not be taken for the next response.
const REUSE_REST_MS: f64 = 5.0;

/// One gateway: the decision engine, and what its actions act on.
pub struct Gateway {
    self_reference: Weak<RefCell<Gateway>>,
    engine: DecisionEngine,
    /// Events that wait for the one that is being handled.
    pending_events: VecDeque<Event>,
    is_handling_event: bool,
    clock: Clock,
    timers: TimerQueue,
    requests: RequestTable,
    endpoints: EndpointPool,
    connector: Connector,
    gossip: Option<GossipSocket>,
    /// The settings as they are written.
    pub document: SettingsDocument,
    /// The settings as the engine uses them.
    pub settings: Settings,
    /// When everything has to be answered because the process is killed soon after. Infinite before a shutdown.
    shutdown_deadline_ms: f64,
    /// Is notified of each change of the endpoint list, and so of the first one.
    pub first_list: Rc<Notify>,
    /// Holds a command while it is written, so that not every attempt needs a buffer of its own.
    write_buffer: Vec<u8>,
    malformed_responses: Option<MalformedResponses>,
}

impl Gateway {
    /// A gateway that has just started and opens at most `max_connections` connections to endpoints.
    ///
    /// # Errors
    /// When the settings hold a value that the engine cannot act on.
    pub fn new(
        config: Configuration,
        gossip: Option<GossipSocket>,
        max_connections: usize,
    ) -> Result<GatewayHandle, SettingsError> {
        let engine = DecisionEngine::new(config.settings.clone(), config.seed)?;
        let memory_bytes = config.memory_per_purpose();
        let max_requests = config.document.limits.max_active_requests;
        let gateway = Rc::new_cyclic(|self_reference: &Weak<RefCell<Gateway>>| {
            RefCell::new(Gateway {
                self_reference: self_reference.clone(),
                engine,
                pending_events: VecDeque::new(),
                is_handling_event: false,
                clock: Clock::new(),
                timers: TimerQueue::new(),
                requests: RequestTable::new(max_requests, memory_bytes),
                endpoints: EndpointPool::new(max_connections, memory_bytes, self_reference.clone()),
                connector: Rc::new(|address| Box::pin(TcpStream::connect(address))),
                gossip,
                document: config.document,
                settings: config.settings,
                shutdown_deadline_ms: f64::INFINITY,
                first_list: Rc::default(),
                write_buffer: Vec::new(),
                malformed_responses: None,
            })
        });
        gateway.borrow_mut().reap_idle_connections();
        Ok(gateway)
    }

    /// The time in milliseconds of Unix time. It never steps back.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.clock.now_ms()
    }

    /// Replaces the way in which connections to endpoints are opened, which is plain TCP by default.
    pub fn set_connector(&mut self, connector: Connector) {
        self.connector = connector;
    }

    /// Adds an open connection, on which nothing was sent yet, to the idle connections of a listed endpoint.
    /// Without a permit for it, or if the endpoint is not listed, the connection is closed.
    pub fn adopt_connection(&mut self, endpoint: &str, stream: TcpStream) {
        let Some(incarnation) = self.endpoints.get(endpoint).map(|entry| entry.incarnation) else {
            return;
        };
        let Some(permit) = self.endpoints.acquire_permit() else {
            return;
        };
        let connection =
            self.endpoints
                .open_connection(stream, endpoint.into(), incarnation, permit);
        let idle_since_ms = self.clock.now_ms() - REUSE_REST_MS;
        self.endpoints.put_idle(&connection, idle_since_ms);
    }

    /// How many requests have been received since the start.
    #[must_use]
    pub fn requests_received(&self) -> u64 {
        self.requests.received()
    }

    /// How many requests are in flight, including those whose client has disconnected while an attempt still runs.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether no client waits for an answer.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.requests.all_answered()
    }

    /// Limits the time for all answers, since the process is killed after it: requests in flight, and those that
    /// still come, are answered within `grace`.
    pub fn shut_down_within(&mut self, grace: Duration) {
        self.shutdown_deadline_ms = self.now() + grace.as_secs_f64() * 1000.0;
        for request in self.requests.ids() {
            self.schedule(self.shutdown_deadline_ms, Timer::AnswerDeadline { request });
        }
    }

    /// Hands an event to the engine and carries out its actions. An action that ends at once brings an event of its
    /// own, which waits until the present one is done.
    fn handle_event(&mut self, event: Event) {
        self.pending_events.push_back(event);
        if self.is_handling_event {
            return;
        }
        self.is_handling_event = true;
        while let Some(event) = self.pending_events.pop_front() {
            let now_ms = self.clock.now_ms();
            for action in self.engine.handle_event(Timestamp(now_ms), event) {
                self.execute(action, now_ms);
            }
        }
        self.is_handling_event = false;
    }

    fn schedule(&mut self, at_ms: f64, timer: Timer) {
        self.timers
            .schedule(at_ms, timer, |timer| is_pending(timer, &self.requests));
    }

    /// The task that waits for all timers. It runs for ever.
    pub async fn run_timers(gateway: GatewayHandle) {
        let wake_up = gateway.borrow().timers.wake_up();
        loop {
            let next = gateway.borrow_mut().fire_expired_timers();
            match next {
                Some(instant) => {
                    tokio::select! {
                        () = sleep_until(instant.into()) => {}
                        () = wake_up.notified() => {}
                    }
                }
                None => wake_up.notified().await,
            }
        }
    }

    /// Fires the timers that have expired, and returns when the next one does.
    fn fire_expired_timers(&mut self) -> Option<Instant> {
        loop {
            let now_ms = self.clock.now_ms();
            let is_pending = |timer: &Timer| is_pending(timer, &self.requests);
            match self.timers.next(now_ms, is_pending) {
                NextTimer::Expired(timer) => self.timer_expired(timer),
                NextTimer::ExpiresAt { unix_ms } => return Some(self.clock.instant_at(unix_ms)),
                NextTimer::Nothing => return None,
            }
        }
    }

    fn timer_expired(&mut self, timer: Timer) {
        match timer {
            Timer::Engine { token } => self.handle_event(Event::TimerFired { token }),
            Timer::AttemptDeadline { request, .. } => {
                self.abort_attempt(request, AttemptResult::TimedOut);
            }
            Timer::AnswerDeadline { request } => self.answer_deadline_passed(request),
            Timer::ReapIdleConnections => self.reap_idle_connections(),
        }
    }

    /// A request has no final answer though its time is up: the engine counts it as abandoned, and the client gets
    /// a failure.
    fn answer_deadline_passed(&mut self, id: RequestId) {
        if self.now() < self.shutdown_deadline_ms {
            log::event(&log::Event::RequestOverdue);
        }
        let client = self
            .requests
            .get(id)
            .and_then(|request| request.client().cloned());
        self.client_disconnected(id);
        if let Some(client) = client {
            client.answer(id, actions::FAILED_ANSWER);
        }
    }

    /// Closes old idle connections, logs malformed responses, and schedules itself.
    fn reap_idle_connections(&mut self) {
        let idle_timeout_ms =
            self.document.limits.idle_connection_timeout_ms * IDLE_TIMEOUT_FRACTION;
        let now_ms = self.now();
        self.endpoints
            .close_idle_since_before(now_ms - idle_timeout_ms);
        if let Some(malformed) = self.malformed_responses.take() {
            malformed.log();
        }
        let interval_ms = (idle_timeout_ms / REAPS_PER_IDLE_TIMEOUT)
            .clamp(MIN_REAP_INTERVAL_MS, MAX_REAP_INTERVAL_MS);
        self.schedule(now_ms + interval_ms, Timer::ReapIdleConnections);
    }
}

impl GossipHandler for RefCell<Gateway> {
    fn handle_gossip(&self, from: GatewayId, text: &str) {
        let text = text.into();
        self.borrow_mut()
            .handle_event(Event::GossipReceived { from, text });
    }
}

/// Whether a timer still means anything.
fn is_pending(timer: &Timer, requests: &RequestTable) -> bool {
    match timer {
        Timer::Engine { .. } | Timer::ReapIdleConnections => true,
        Timer::AttemptDeadline { request, attempt } => requests.has_attempt(*request, *attempt),
        Timer::AnswerDeadline { request } => requests.awaits_answer(*request),
    }
}
