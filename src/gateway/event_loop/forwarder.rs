//! Forwards requests: ties the requests in flight to the connections to endpoints.
//!
//! The forwarder starts attempts, sends commands and receives responses. It does not depend on the
//! decision engine. Operations that end an attempt return an [`AttemptOutcome`], which the event loop
//! reports to the engine.

use crate::gateway::endpoints::{
    Assignment, AttemptId, Dial, EndpointConnection, EndpointEventHandler, EndpointPool,
    EndpointPoolLimits, EndpointProtocolError, EndpointResponse,
};
use crate::gateway::event_loop::malformed_responses::MalformedResponses;
use crate::gateway::event_loop::proxied_requests::{AttemptStart, ProxiedRequests};
use crate::gateway::event_loop::request_log;
use crate::gateway::event_loop::response_outcome::{ResponseOutcome, ResponseReports};
use crate::gateway::event_loop::timers::Timer;
use crate::{AttemptOutcome, AttemptResult, EndpointName, RequestId, Settings, Tokens};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

pub(super) struct Forwarder {
    pub requests: ProxiedRequests,
    pub endpoints: EndpointPool,
    malformed_responses: MalformedResponses,
    /// The highest cost that the settings allow for a request. A higher reported cost is ignored.
    effective_max_request_cost: Tokens,
}

/// Resource limits of a [`Forwarder`].
pub(super) struct ForwarderLimits {
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum number of connections to endpoints.
    pub max_connections: usize,
    /// Limit in bytes that applies twice: to the commands in flight, and to incomplete responses.
    pub memory_budget_bytes: usize,
    pub connect_timeout: Duration,
    /// Time after which endpoints close an idle connection.
    pub endpoint_idle_timeout: Duration,
}

/// Result of [`Forwarder::start_attempt`].
pub(super) enum ForwardOutcome {
    /// The command was handed to a connection, or a connection is being opened for it.
    Running(AttemptId),
    /// The attempt ended immediately. The outcome is `None` if the request is no longer in flight.
    Ended(Option<AttemptOutcome>),
    /// The client has disconnected, so nothing may be sent. The caller must cancel the attempt.
    Abandoned,
}

impl Forwarder {
    /// Creates a forwarder without requests or connections. `handler` receives the events of endpoint
    /// connections.
    pub fn new(
        settings: &Settings,
        limits: &ForwarderLimits,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> Forwarder {
        let pool_limits = EndpointPoolLimits {
            max_connections: limits.max_connections,
            read_memory_bytes: limits.memory_budget_bytes,
            connect_timeout: limits.connect_timeout,
            endpoint_idle_timeout: limits.endpoint_idle_timeout,
        };
        Forwarder {
            requests: ProxiedRequests::new(
                &settings.classes,
                limits.max_requests,
                limits.memory_budget_bytes,
            ),
            endpoints: EndpointPool::new(&pool_limits, handler),
            malformed_responses: MalformedResponses::default(),
            effective_max_request_cost: settings.effective_max_request_cost(),
        }
    }

    /// Starts an attempt on an idle connection, or opens a new one if there is none.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Instant,
    ) -> ForwardOutcome {
        let start = self
            .requests
            .start_attempt(id, endpoint.clone(), now, deadline);
        let attempt = match start {
            None => return ForwardOutcome::Ended(None),
            Some(AttemptStart::Obsolete) => return self.end_now(id, AttemptResult::NeverSent),
            Some(AttemptStart::Abandoned) => return ForwardOutcome::Abandoned,
            Some(AttemptStart::Running(attempt)) => attempt,
        };
        // A connection that fails before any byte is written costs nothing, so the next idle one is tried.
        while let Some(connection) = self.endpoints.take_idle(&endpoint, now) {
            if self.send_command(id, &connection) {
                return ForwardOutcome::Running(attempt);
            }
        }
        if self.endpoints.dial(attempt, endpoint, deadline - now) {
            ForwardOutcome::Running(attempt)
        } else {
            self.end_now(id, AttemptResult::ConnectFailed)
        }
    }

    /// Handles the end of a connect; `stream` is `None` if it failed.
    ///
    /// If the attempt has already ended, the new connection is kept for later requests (test
    /// `a_connect_that_ends_after_its_attempt_carries_only_a_later_request`).
    pub fn connect_finished(
        &mut self,
        dial: Dial,
        stream: Option<TcpStream>,
    ) -> Option<AttemptOutcome> {
        let attempt = dial.attempt;
        let is_awaited = self.requests.is_connecting(attempt);
        let Some(stream) = stream else {
            // Releases the connection permit before the engine decides on another attempt.
            drop(dial);
            return is_awaited
                .then(|| self.finish_attempt(attempt.request, AttemptResult::ConnectFailed))
                .flatten();
        };
        let connection = self.endpoints.finish_dial(dial, stream);
        if !is_awaited {
            self.endpoints.put_idle(&connection, Instant::now());
            return None;
        }
        // The endpoint may have restarted or started draining in the meantime. `send_command` checks for
        // both.
        if self.send_command(attempt.request, &connection) {
            return None;
        }
        self.finish_attempt(attempt.request, AttemptResult::ConnectFailed)
    }

    /// Handles a response. A value is sent to the client before the outcome is reported to the engine.
    pub fn response_received(
        &mut self,
        connection: &Rc<EndpointConnection>,
        response: &EndpointResponse<'_>,
        no_surplus_bytes: bool,
    ) -> Option<AttemptOutcome> {
        let assignment = connection.unassign();
        let id = assignment.request()?;
        // The connection cannot be reused if the response arrived before the command was written completely,
        // or if it is an error that endpoints are not known to send. Bytes that belong to no request may
        // follow such a response.
        let is_reusable = no_surplus_bytes
            && matches!(assignment, Assignment::AwaitingResponse { .. })
            && !matches!(response, EndpointResponse::UnknownError);
        if is_reusable {
            self.endpoints.put_idle(connection, Instant::now());
        } else {
            connection.close();
        }
        let outcome = ResponseOutcome::new(response, self.effective_max_request_cost);
        if let EndpointResponse::Success { value, .. } = response {
            if self.requests.get_unanswered(id).is_some() {
                request_log::request_served();
            }
            self.requests.answer(id, value);
        }
        self.requests
            .finish_attempt(id, outcome.result, outcome.reports)
    }

    /// Handles the end of a connection. `error` is set if the endpoint sent invalid bytes.
    pub fn connection_closed(
        &mut self,
        connection: &Rc<EndpointConnection>,
        error: Option<EndpointProtocolError>,
    ) -> Option<AttemptOutcome> {
        self.endpoints.remove(connection);
        if let Some(error) = error {
            self.malformed_responses
                .record(connection.endpoint.clone(), error);
        }
        let id = connection.assignment().request()?;
        self.requests
            .abort_attempt(id, AttemptResult::ConnectionReset)
    }

    /// Closes expired idle connections and logs malformed responses. Returns the time of the next run.
    pub fn reap_idle_connections(&mut self) -> Instant {
        self.malformed_responses.log();
        self.endpoints.reap_idle(Instant::now())
    }

    /// Whether a timer still has an effect when it expires.
    pub fn is_pending(&self, timer: &Timer) -> bool {
        match timer {
            Timer::Engine { .. } | Timer::ReapIdleConnections => true,
            Timer::AttemptDeadline { attempt } => self.requests.has_attempt(*attempt),
            Timer::AnswerDeadline { request } => self.requests.client(*request).is_some(),
        }
    }

    /// Sends the command of a request on a connection.
    ///
    /// Returns `false` and closes the connection if nothing was written: the connection had failed, the
    /// endpoint accepts no new requests, or another attempt could execute the request twice (test
    /// `request_goes_elsewhere_if_its_endpoint_starts_draining_while_connecting`).
    fn send_command(&mut self, id: RequestId, connection: &Rc<EndpointConnection>) -> bool {
        let is_sent =
            self.endpoints.is_usable(connection) && self.requests.send_command(id, connection);
        if !is_sent {
            connection.close();
        }
        is_sent
    }

    /// Ends an attempt without reports from the endpoint.
    fn finish_attempt(&mut self, id: RequestId, result: AttemptResult) -> Option<AttemptOutcome> {
        self.requests
            .finish_attempt(id, result, ResponseReports::default())
    }

    fn end_now(&mut self, id: RequestId, result: AttemptResult) -> ForwardOutcome {
        ForwardOutcome::Ended(self.finish_attempt(id, result))
    }
}
