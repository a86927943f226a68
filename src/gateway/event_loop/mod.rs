//! Event loop of a gateway. It passes events to the decision engine and executes the actions that the engine
//! returns. It makes no decisions itself.
//!
//! [`EventLoop`] owns all state. Each task (a client connection, an endpoint connection, the gossip socket,
//! the timers) borrows it for one synchronous call and never across an `await`, so calls do not overlap and
//! need no locks.
//!
//! | component | owns |
//! | --- | --- |
//! | `EngineQueue` | the decision engine, with all state that decisions depend on |
//! | `EngineClock` | the conversion between `Instant` and the engine's timestamps |
//! | `TimerQueue` | all timers |
//! | `Forwarder` | request forwarding, in two parts: |
//! | - `ProxiedRequests` | the requests in flight, their attempts and their resource use |
//! | - `EndpointPool` | the listed endpoints and the connections to them |
//! | `EndpointTranslator` | the ids of zones and hardware models |
//! | `GossipSocket` | the socket for gossip with other gateways |
//! | `ServicePhase` | the deadline for all responses during a shutdown |
//!
//! `engine_actions` dispatches the engine's actions, `socket_events` the socket events and `timer_task` the
//! timers.

mod endpoint_translator;
mod engine_actions;
mod engine_queue;
mod executed_ids;
mod forwarder;
mod gateway_answers;
mod malformed_responses;
mod proxied_request;
mod proxied_requests;
mod request_log;
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
use crate::{
    AttemptOutcome, AttemptResult, DecisionEngine, EndpointName, Event, Milliseconds, RejectReason,
    RequestId, SettingsError,
};
use endpoint_translator::EndpointTranslator;
use engine_actions::execute;
use engine_queue::EngineQueue;
use forwarder::{ForwardOutcome, Forwarder, ForwarderLimits};
use proxied_request::ProxiedRequest;
use service_phase::ServicePhase;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use timers::{Timer, TimerQueue};
use tokio::net::TcpStream;

/// Margin between the engine's deadline and the client's. The client's time starts when it sends the request,
/// and delivery of the response takes part of it, more so on a busy core.
const CLIENT_DEADLINE_MARGIN: Duration = Duration::from_millis(6);
/// A request without a final response fails this long after the engine's deadline, so every client gets one.
const ANSWER_GRACE: Duration = Duration::from_millis(3);

/// Shared handle to the event loop.
pub type EventLoopHandle = Rc<RefCell<EventLoop>>;

/// The decision engine and the components that execute its actions.
pub struct EventLoop {
    engine: EngineQueue,
    clock: EngineClock,
    timers: TimerQueue,
    forwarder: Forwarder,
    endpoint_translator: EndpointTranslator,
    /// `None` if gossip is disabled.
    gossip: Option<GossipSocket>,
    phase: ServicePhase,
}

impl EventLoop {
    /// Creates an event loop that opens at most `max_connections` connections to endpoints.
    ///
    /// # Errors
    /// Returns an error if a setting has a value that the engine does not support.
    pub fn new(
        configuration: Configuration,
        gossip: Option<GossipSocket>,
        max_connections: usize,
    ) -> Result<EventLoopHandle, SettingsError> {
        EventLoop::started_at(Instant::now(), configuration, gossip, max_connections)
    }

    /// Creates an event loop like [`EventLoop::new`], whose clock and timers count from `start`. A start that
    /// lies back makes it behave as after that uptime.
    ///
    /// # Errors
    /// Returns an error if a setting has a value that the engine does not support.
    pub fn started_at(
        start: Instant,
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
                clock: EngineClock::started_at(start),
                timers: TimerQueue::started_at(start),
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

    /// Replaces the function that opens connections to endpoints. By default, they are plain TCP connections.
    pub fn set_connector(&mut self, connector: Connector) {
        self.forwarder.endpoints.set_connector(connector);
    }

    /// Adds an unused open connection to the idle connections of a listed endpoint. Closes the connection if
    /// it gets no connection permit or the endpoint is not listed.
    pub fn adopt_connection(&mut self, endpoint: &str, stream: TcpStream) {
        self.forwarder.endpoints.adopt_connection(endpoint, stream);
    }

    /// Number of requests received since the start.
    #[must_use]
    pub fn requests_received(&self) -> u64 {
        self.forwarder.requests.received()
    }

    /// Number of requests in flight. A request whose client has disconnected counts until its attempt ends.
    #[must_use]
    pub fn active_requests(&self) -> usize {
        self.forwarder.requests.len()
    }

    /// Whether no client is waiting for a response.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.forwarder.requests.all_answered()
    }

    /// Sets the shutdown deadline: all requests, current and future, are answered within `grace`. The process
    /// is killed after it.
    pub fn shut_down_within(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        self.phase = ServicePhase::ShuttingDown { deadline };
        for request in self.forwarder.requests.ids() {
            self.schedule(deadline, Timer::AnswerDeadline { request });
        }
    }

    // The decision engine.

    /// Passes an event to the engine and executes the resulting actions. Queues the event if the actions of
    /// another event are being executed.
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

    /// Reports the outcome of an attempt to the engine, if there is one.
    fn attempt_finished(&mut self, outcome: Option<AttemptOutcome>) {
        if let Some(outcome) = outcome {
            let request = self.forwarder.requests.get(outcome.request);
            let client_request_id = request.map(|request| request.command().client_request_id);
            request_log::attempt_finished(&outcome, client_request_id);
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
        request_log::request_received();
        let now = Instant::now();
        let client_deadline = (now + command.timeout).checked_sub(CLIENT_DEADLINE_MARGIN);
        let deadline = self.phase.cap_deadline(client_deadline.unwrap_or(now));
        let request = ProxiedRequest::new(command, client, deadline);
        let engine_request = request.to_engine_request(id, self.clock.timestamp(deadline));
        self.forwarder.requests.insert(id, request);
        let timer = Timer::AnswerDeadline { request: id };
        self.schedule(deadline + ANSWER_GRACE, timer);
        self.notify_engine(Event::RequestReceived(engine_request));
        self.forwarder.requests.mark_waiting(id);
    }

    /// Rejects a request, unless it has already been answered.
    fn reject(&mut self, id: RequestId, retry_after: Milliseconds, reason: RejectReason) {
        if let Some(request) = self.forwarder.requests.get_unanswered(id) {
            request_log::request_rejected(request, reason);
        }
        let line = gateway_answers::rejection(retry_after);
        self.forwarder.requests.answer(id, &line);
    }

    /// Fails a request, unless it has already been answered.
    fn fail(&mut self, id: RequestId) {
        if let Some(request) = self.forwarder.requests.get_unanswered(id) {
            request_log::request_failed(request);
        }
        self.forwarder.requests.answer(id, gateway_answers::FAILED);
    }

    /// Handles a client that has disconnected. Nothing more is sent for its request.
    fn client_disconnected(&mut self, id: RequestId) {
        if let Some(request) = self.forwarder.requests.get_unanswered(id) {
            request_log::request_abandoned(request);
        }
        self.abandon(id);
    }

    /// Ends a request without an answer to its client.
    fn abandon(&mut self, id: RequestId) {
        if self.forwarder.requests.take_client(id).is_none() {
            return;
        }
        self.notify_engine(Event::ClientDisconnected { request: id });
        let cancelled = self.forwarder.requests.cancel_unsent_attempt(id);
        self.attempt_finished(cancelled);
    }

    /// Handles a request without a final response by its deadline. The engine counts it as abandoned, and the
    /// client gets a failure response.
    fn answer_deadline_passed(&mut self, id: RequestId) {
        let is_served_phase = !self.phase.is_past_deadline(Instant::now());
        if let Some(request) = self.forwarder.requests.get_unanswered(id)
            && is_served_phase
        {
            request_log::request_overdue(request);
        }
        let client = self.forwarder.requests.client(id).cloned();
        self.abandon(id);
        if let Some(client) = client {
            client.answer(id, gateway_answers::FAILED);
        }
    }

    // Attempts and the connections that carry them.

    /// Starts an attempt that ends at `deadline`, or with its request if it has no deadline of its own.
    fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Option<Instant>,
    ) {
        let Some(request) = self.forwarder.requests.get(id) else {
            return;
        };
        let deadline = deadline.unwrap_or(request.deadline());
        match self.forwarder.start_attempt(id, endpoint, now, deadline) {
            ForwardOutcome::Running(attempt) => {
                request_log::attempt_started(attempt.number);
                self.schedule(deadline, Timer::AttemptDeadline { attempt });
            }
            ForwardOutcome::Ended(outcome) => self.attempt_finished(outcome),
            ForwardOutcome::Abandoned => self.client_disconnected(id),
        }
    }

    /// Handles the end of a connect. The client may have disconnected in the meantime, unseen by the runtime
    /// (test `request_is_not_forwarded_if_its_connection_completes_together_with_the_disconnect`).
    fn connect_finished(&mut self, dial: Dial, stream: Option<TcpStream>) {
        let request = dial.attempt.request;
        if self.forwarder.requests.is_abandoned(request) {
            self.client_disconnected(request);
        }
        let outcome = self.forwarder.connect_finished(dial, stream);
        self.attempt_finished(outcome);
    }

    /// Aborts an attempt and closes its connection.
    fn abort_attempt(&mut self, id: RequestId, result: AttemptResult) {
        let aborted = self.forwarder.requests.abort_attempt(id, result);
        self.attempt_finished(aborted);
    }

    /// Applies and reports a change of the endpoint list, and aborts attempts on restarted endpoints.
    pub fn endpoints_changed(&mut self, update: &EndpointUpdate) {
        let change = self.forwarder.endpoints.apply_update(update);
        let event = self
            .endpoint_translator
            .update_event(update, &change.replaced);
        self.notify_engine(event);
        // A restarted endpoint never answers earlier requests. If its whole machine restarted, the connection
        // is half-open and reports no error.
        let requests = &self.forwarder.requests;
        for id in requests.ids_on_connection_to_any(&change.restarted) {
            self.abort_attempt(id, AttemptResult::ConnectionReset);
        }
    }

    fn schedule(&mut self, expires_at: Instant, timer: Timer) {
        self.timers
            .schedule(expires_at, timer, |timer| self.forwarder.is_pending(timer));
    }

    /// Closes expired idle connections, logs malformed responses and displaced tenants, and schedules the next
    /// run.
    fn reap_idle_connections(&mut self) {
        self.engine.log_displaced_tenants();
        let next = self.forwarder.reap_idle_connections();
        self.schedule(next, Timer::ReapIdleConnections);
    }
}
