//! The event loop of a gateway: it hands events to the decision engine and carries out the actions that the engine
//! returns. It decides nothing itself.
//!
//! All state has one owner, [`EventLoop`]. Each task (a client connection, an endpoint connection, the gossip socket,
//! the timers) borrows it for the length of one synchronous call and never across an `await`, so calls neither
//! overlap nor need locks.
//!
//! | component | what it owns |
//! | --- | --- |
//! | `EngineQueue` | the decision engine, with everything that decisions depend on |
//! | `EngineClock` | the conversion between the gateway's times and the engine's |
//! | `TimerQueue` | all timers |
//! | `Forwarder` | what is on its way, and what concerns both of its parts: |
//! | - `ProxiedRequests` | the requests in flight, their attempts, and what they occupy |
//! | - `EndpointPool` | the listed endpoints and the connections to them |
//! | `EndpointTranslator` | the numbers of zones and hardware models |
//! | `GossipSocket` | the socket to the other gateways |
//! | `ServicePhase` | by when everything has to be answered |
//!
//! Two dispatchers map what happens to what is done: `engine_actions` for the actions of the engine, and
//! `socket_events` for the events of the sockets. Timers are dispatched in `timer_task`.

mod endpoint_translator;
mod engine_actions;
mod engine_queue;
mod forwarder;
mod gateway_answers;
mod malformed_responses;
mod proxied_request;
mod proxied_requests;
mod response_outcome;
mod running_attempt;
mod service_phase;
mod socket_events;
mod timer_task;
mod timers;

pub use crate::gateway::endpoints::Connector;
pub use timer_task::run_timers;

use crate::gateway::clients::{ClientConnection, ClientRequest};
use crate::gateway::configuration::Configuration;
use crate::gateway::discovery::EndpointUpdate;
use crate::gateway::endpoints::Dial;
use crate::gateway::engine_time::{EngineClock, to_duration};
use crate::gateway::gossip_socket::GossipSocket;
use crate::gateway::log::{self, LogEvent};
use crate::{
    AttemptOutcome, AttemptResult, DecisionEngine, EndpointName, Event, Milliseconds, RequestId,
    SettingsError,
};
use endpoint_translator::EndpointTranslator;
use engine_actions::execute;
use engine_queue::EngineQueue;
use forwarder::{Forwarded, Forwarder, ForwarderLimits};
use proxied_request::ProxiedRequest;
use service_phase::ServicePhase;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use timers::{Timer, TimerQueue};
use tokio::net::TcpStream;

/// The engine's deadline lies this long before the client's: the client's time runs from when it sent the request,
/// and the delivery of the answer, also by a busy core, takes some of it.
const CLIENT_DEADLINE_MARGIN: Duration = Duration::from_millis(6);
/// A request without a final answer this long after the engine's deadline fails, so that every client gets one.
const ANSWER_GRACE: Duration = Duration::from_millis(3);

/// A shared handle to the one owner of all state.
pub type EventLoopHandle = Rc<RefCell<EventLoop>>;

/// The decision engine, and the components that its actions act on.
pub struct EventLoop {
    engine: EngineQueue,
    clock: EngineClock,
    timers: TimerQueue,
    forwarder: Forwarder,
    endpoint_translator: EndpointTranslator,
    /// Absent if gossip is disabled.
    gossip: Option<GossipSocket>,
    phase: ServicePhase,
}

impl EventLoop {
    /// An event loop that has just started and opens at most `max_connections` connections to endpoints.
    ///
    /// # Errors
    /// When the settings hold a value that the engine cannot act on.
    pub fn new(
        configuration: Configuration,
        gossip: Option<GossipSocket>,
        max_connections: usize,
    ) -> Result<EventLoopHandle, SettingsError> {
        let memory_budget_bytes = configuration.memory_budget_bytes();
        let Configuration {
            settings,
            document,
            seed,
            ..
        } = configuration;
        let limits = ForwarderLimits {
            max_requests: document.limits.max_active_requests,
            max_connections,
            memory_budget_bytes,
            connect_timeout: to_duration(Milliseconds(document.limits.connect_timeout_ms)),
            endpoint_idle_timeout: to_duration(Milliseconds(
                document.limits.idle_connection_timeout_ms,
            )),
        };
        let engine = EngineQueue::new(DecisionEngine::new(settings.clone(), seed)?);
        let event_loop = Rc::new_cyclic(|event_loop: &Weak<RefCell<EventLoop>>| {
            RefCell::new(EventLoop {
                engine,
                clock: EngineClock::new(),
                timers: TimerQueue::new(),
                forwarder: Forwarder::new(&settings, &limits, event_loop.clone()),
                endpoint_translator: EndpointTranslator::new(
                    document.zones,
                    document.hardware_kinds,
                ),
                gossip,
                phase: ServicePhase::Serving,
            })
        });
        event_loop.borrow_mut().reap_idle_connections();
        Ok(event_loop)
    }

    /// Replaces the way in which connections to endpoints are opened, which is plain TCP by default.
    pub fn set_connector(&mut self, connector: Connector) {
        self.forwarder.endpoints.set_connector(connector);
    }

    /// Adds an open connection, on which nothing was sent yet, to the idle connections of a listed endpoint.
    /// Without a permit for it, or if the endpoint is not listed, the connection is closed.
    pub fn adopt_connection(&mut self, endpoint: &str, stream: TcpStream) {
        self.forwarder.endpoints.adopt_connection(endpoint, stream);
    }

    /// How many requests have been received since the start.
    #[must_use]
    pub fn requests_received(&self) -> u64 {
        self.forwarder.requests.received()
    }

    /// How many requests are in flight, including those whose client has disconnected while an attempt still runs.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.forwarder.requests.len()
    }

    /// Whether no client waits for an answer.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.forwarder.requests.all_answered()
    }

    /// Limits the time for all answers, since the process is killed after it: requests in flight, and those that
    /// still come, are answered within `grace`.
    pub fn shut_down_within(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        self.phase = ServicePhase::ShuttingDown { deadline };
        for request in self.forwarder.requests.ids() {
            self.schedule(deadline, Timer::AnswerDeadline { request });
        }
    }

    // The decision engine.

    /// Hands an event to the engine and carries out the actions, unless that is being done for another event: then the
    /// event waits for its turn.
    fn notify_engine(&mut self, event: Event) {
        if !self.engine.push(event) {
            return;
        }
        while let Some(decision) = self.engine.next_decision(&self.clock) {
            for action in decision.actions {
                execute(self, action, decision.made_at);
            }
        }
    }

    /// Reports the end of an attempt, if one has ended.
    fn attempt_finished(&mut self, outcome: Option<AttemptOutcome>) {
        if let Some(outcome) = outcome {
            self.notify_engine(Event::AttemptFinished(outcome));
        }
    }

    // Requests of clients.

    fn request_received(
        &mut self,
        id: RequestId,
        command: ClientRequest,
        client: Rc<ClientConnection>,
    ) {
        let now = Instant::now();
        let client_deadline = (now + command.wait).checked_sub(CLIENT_DEADLINE_MARGIN);
        let deadline = self.phase.limit(client_deadline.unwrap_or(now));
        let request = ProxiedRequest::new(command, client);
        let engine_request = request.to_engine_request(id, self.clock.timestamp(deadline));
        self.forwarder.requests.insert(id, request);
        let timer = Timer::AnswerDeadline { request: id };
        self.schedule(deadline + ANSWER_GRACE, timer);
        self.notify_engine(Event::RequestReceived(engine_request));
        self.forwarder.requests.mark_waiting(id);
    }

    /// Gives a request its final answer, unless it has one.
    fn answer(&mut self, id: RequestId, line: &[u8]) {
        self.forwarder.requests.answer(id, line);
    }

    /// The client of a request in flight has disconnected, or counts as disconnected. Nothing more is sent for the
    /// request.
    fn client_disconnected(&mut self, id: RequestId) {
        if self.forwarder.requests.take_client(id).is_none() {
            return;
        }
        self.notify_engine(Event::ClientDisconnected { request: id });
        let cancelled = self.forwarder.requests.cancel_unsent_attempt(id);
        self.attempt_finished(cancelled);
    }

    /// A request has no final answer though its time is up: the engine counts it as abandoned, and the client gets
    /// a failure.
    fn answer_deadline_passed(&mut self, id: RequestId) {
        if !self.phase.has_ended(Instant::now()) {
            log::event(&LogEvent::RequestOverdue);
        }
        let client = self.forwarder.requests.client(id).cloned();
        self.client_disconnected(id);
        if let Some(client) = client {
            client.answer(id, gateway_answers::FAILED);
        }
    }

    // Attempts and the connections that carry them.

    fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Instant,
    ) {
        match self.forwarder.start_attempt(id, endpoint, now, deadline) {
            Forwarded::Running(attempt) => {
                self.schedule(deadline, Timer::AttemptDeadline { attempt });
            }
            Forwarded::Ended(outcome) => self.attempt_finished(outcome),
            Forwarded::Abandoned => self.client_disconnected(id),
        }
    }

    /// The client may have disconnected unseen while the connection was opened (test
    /// `request_is_not_forwarded_if_its_connection_completes_together_with_the_disconnect`).
    fn connect_finished(&mut self, dial: Dial, stream: Option<TcpStream>) {
        let request = dial.attempt.request;
        if self.forwarder.requests.is_abandoned(request) {
            self.client_disconnected(request);
        }
        let outcome = self.forwarder.connect_finished(dial, stream);
        self.attempt_finished(outcome);
    }

    /// Ends an attempt from this side, and closes its connection.
    fn abort_attempt(&mut self, id: RequestId, result: AttemptResult) {
        let aborted = self.forwarder.requests.abort_attempt(id, result);
        self.attempt_finished(aborted);
    }

    /// The list of endpoints has changed.
    pub fn endpoints_changed(&mut self, update: &EndpointUpdate) {
        let change = self.forwarder.endpoints.apply_update(update);
        let event = self
            .endpoint_translator
            .endpoints_changed(update, &change.replaced);
        self.notify_engine(event);
        // An endpoint that has restarted never answers what it had before. If its whole machine restarted, the
        // connection is half open, and would not tell.
        let requests = &self.forwarder.requests;
        for id in requests.ids_on_connection_to_any(&change.restarted) {
            self.abort_attempt(id, AttemptResult::ConnectionReset);
        }
    }

    fn schedule(&mut self, expires_at: Instant, timer: Timer) {
        self.timers
            .schedule(expires_at, timer, |timer| self.forwarder.is_pending(timer));
    }

    /// Closes old idle connections, logs malformed responses, and schedules itself.
    fn reap_idle_connections(&mut self) {
        let next = self.forwarder.reap_idle_connections();
        self.schedule(next, Timer::ReapIdleConnections);
    }
}
