//! Requests on their way: the requests in flight, the connections to endpoints, and what concerns both.
//!
//! The forwarder starts attempts, sends commands and receives responses. It knows nothing of the decision engine:
//! what ends an attempt returns an [`AttemptOutcome`], which the event loop reports.

use crate::gateway::endpoints::{
    Assignment, AttemptId, Dial, EndpointConnection, EndpointEventHandler, EndpointPool,
    EndpointPoolLimits, EndpointProtocolError, EndpointResponse,
};
use crate::gateway::event_loop::malformed_responses::MalformedResponses;
use crate::gateway::event_loop::proxied_requests::{AttemptStart, ProxiedRequests};
use crate::gateway::event_loop::response_outcome::{ResponseOutcome, ResponseReports};
use crate::gateway::event_loop::timers::Timer;
use crate::{AttemptOutcome, AttemptResult, EndpointName, RequestId, Settings, Tokens};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The requests in flight and the connections to endpoints.
pub(super) struct Forwarder {
    pub requests: ProxiedRequests,
    pub endpoints: EndpointPool,
    malformed_responses: MalformedResponses,
    /// No request costs more than this.
    largest_request_cost: Tokens,
}

/// What a [`Forwarder`] may use.
pub(super) struct ForwarderLimits {
    /// The most requests in flight.
    pub max_requests: usize,
    /// The most connections to endpoints.
    pub max_connections: usize,
    /// The most bytes of the commands in flight, and of the responses that are not complete yet.
    pub memory_budget_bytes: usize,
    /// The longest time that opening a connection may take.
    pub connect_timeout: Duration,
    /// How long endpoints let a connection be idle before they close it.
    pub endpoint_idle_timeout: Duration,
}

/// What came of an attempt that the engine has asked for.
pub(super) enum Forwarded {
    /// Its command is on a connection, or a connection is being opened for it.
    Running(AttemptId),
    /// It has ended at once.
    Ended(Option<AttemptOutcome>),
    /// Nothing may be sent, because the client has disconnected. The attempt is still to be cancelled.
    Abandoned,
}

impl Forwarder {
    /// A forwarder without any request. What happens on connections goes to `handler`.
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
            largest_request_cost: settings.largest_request_cost(),
        }
    }

    /// Starts an attempt on an idle connection or, if there is none, on a new one.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Instant,
    ) -> Forwarded {
        let start = self
            .requests
            .start_attempt(id, endpoint.clone(), now, deadline);
        let attempt = match start {
            None => return Forwarded::Ended(None),
            Some(AttemptStart::Pointless) => return self.ended(id, AttemptResult::NeverSent),
            Some(AttemptStart::Abandoned) => return Forwarded::Abandoned,
            Some(AttemptStart::Running(attempt)) => attempt,
        };
        // A connection that breaks before anything is written has cost nothing, so the next one is as good.
        while let Some(connection) = self.endpoints.take_idle(&endpoint, now) {
            if self.send_command(id, &connection) {
                return Forwarded::Running(attempt);
            }
        }
        if self.endpoints.dial(attempt, endpoint, deadline - now) {
            Forwarded::Running(attempt)
        } else {
            self.ended(id, AttemptResult::ConnectFailed)
        }
    }

    /// A connect has ended; `stream` is `None` if it failed. The attempt may have ended before: then the new
    /// connection is kept for others (test `a_connect_that_ends_after_its_attempt_carries_only_a_later_request`).
    pub fn connect_finished(
        &mut self,
        dial: Dial,
        stream: Option<TcpStream>,
    ) -> Option<AttemptOutcome> {
        let attempt = dial.attempt;
        let is_awaited = self.requests.is_connecting(attempt);
        let Some(stream) = stream else {
            // The permit is free before the engine decides on another attempt.
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
        // The endpoint may have restarted or begun to drain meanwhile, which `send_command` checks.
        if self.send_command(attempt.request, &connection) {
            return None;
        }
        self.finish_attempt(attempt.request, AttemptResult::ConnectFailed)
    }

    /// A response has arrived. The client gets a value at once, before the engine learns of it.
    pub fn response_received(
        &mut self,
        connection: &Rc<EndpointConnection>,
        response: &EndpointResponse<'_>,
        nothing_follows: bool,
    ) -> Option<AttemptOutcome> {
        let assignment = connection.unassign();
        let id = assignment.request()?;
        // A response before the command is complete, or one that no endpoint writes, may be followed by more that
        // belongs to no request.
        let is_reusable = nothing_follows
            && matches!(assignment, Assignment::AwaitingResponse { .. })
            && !matches!(response, EndpointResponse::UnknownError);
        if is_reusable {
            self.endpoints.put_idle(connection, Instant::now());
        } else {
            connection.close();
        }
        let outcome = ResponseOutcome::new(response, self.largest_request_cost);
        if let EndpointResponse::Success { value, .. } = response {
            self.requests.answer(id, value);
        }
        self.requests
            .finish_attempt(id, outcome.result, outcome.reports)
    }

    /// A connection has ended, with an error if that is because of the bytes that were read.
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

    /// Closes old idle connections and logs malformed responses. Returns when to do so again.
    pub fn reap_idle_connections(&mut self) -> Instant {
        self.malformed_responses.log();
        self.endpoints.reap_idle(Instant::now())
    }

    /// Whether a timer still means anything.
    pub fn is_pending(&self, timer: &Timer) -> bool {
        match timer {
            Timer::Engine { .. } | Timer::ReapIdleConnections => true,
            Timer::AttemptDeadline { attempt } => self.requests.has_attempt(*attempt),
            Timer::AnswerDeadline { request } => self.requests.client(*request).is_some(),
        }
    }

    /// Sends the command of a request on a connection. False if nothing was written: the connection broke before,
    /// its endpoint takes no new requests, or a further attempt could be executed a second time. The connection is
    /// closed then (test `request_goes_elsewhere_if_its_endpoint_starts_draining_while_connecting`).
    fn send_command(&mut self, id: RequestId, connection: &Rc<EndpointConnection>) -> bool {
        let is_sent =
            self.endpoints.is_usable(connection) && self.requests.send_command(id, connection);
        if !is_sent {
            connection.close();
        }
        is_sent
    }

    /// Ends an attempt without a response that reports anything.
    fn finish_attempt(&mut self, id: RequestId, result: AttemptResult) -> Option<AttemptOutcome> {
        self.requests
            .finish_attempt(id, result, ResponseReports::default())
    }

    fn ended(&mut self, id: RequestId, result: AttemptResult) -> Forwarded {
        Forwarded::Ended(self.finish_attempt(id, result))
    }
}
