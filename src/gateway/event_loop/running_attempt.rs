//! One attempt of a request, as a state machine.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | - | the engine forwards the request | `Connecting` |
//! | `Connecting` | an open connection takes the whole command | `OnConnection`, awaiting the response |
//! | `Connecting` | an open connection takes a part of the command, or nothing yet | `OnConnection`, writing |
//! | `OnConnection`, writing | the last byte of the command is written | `OnConnection`, awaiting the response |
//! | any | the attempt ends: response, failure, deadline, or the client disconnects | - |
//!
//! Whether a connection is still writing or awaits the response is part of its [`Assignment`], because the
//! connection's own task writes what the socket does not take at once. Up to the last byte no endpoint can have
//! executed the command; from there on it may have.

use crate::gateway::endpoints::{Assignment, AttemptId, EndpointConnection};
use crate::gateway::engine_time::to_milliseconds;
use crate::gateway::event_loop::response_outcome::ResponseReports;
use crate::{AttemptOutcome, AttemptResult, EndpointName};
use std::rc::Rc;
use std::time::Instant;

/// The one attempt that a request may have running.
pub(super) struct RunningAttempt {
    id: AttemptId,
    endpoint: EndpointName,
    started_at: Instant,
    deadline: Instant,
    state: AttemptState,
}

enum AttemptState {
    /// A connection is being opened. It is kept for reuse if the attempt ends before it is open.
    Connecting,
    /// This connection carries the attempt.
    OnConnection(Rc<EndpointConnection>),
}

impl RunningAttempt {
    /// An attempt that has no connection yet.
    pub fn start(
        id: AttemptId,
        endpoint: EndpointName,
        started_at: Instant,
        deadline: Instant,
    ) -> RunningAttempt {
        RunningAttempt {
            id,
            endpoint,
            started_at,
            deadline,
            state: AttemptState::Connecting,
        }
    }

    /// Its id.
    pub fn id(&self) -> AttemptId {
        self.id
    }

    /// When it was started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// When it is abandoned.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether it waits for a connection.
    pub fn is_connecting(&self) -> bool {
        matches!(self.state, AttemptState::Connecting)
    }

    /// Whether a connection to one of these endpoints carries it.
    pub fn is_on_connection_to_any(&self, endpoints: &[EndpointName]) -> bool {
        !self.is_connecting() && endpoints.contains(&self.endpoint)
    }

    /// Whether the command is completely written, so that the endpoint may have executed it.
    pub fn may_have_executed(&self) -> bool {
        match &self.state {
            AttemptState::Connecting => false,
            AttemptState::OnConnection(connection) => {
                matches!(connection.assignment(), Assignment::AwaitingResponse { .. })
            }
        }
    }

    /// A connection has begun to carry the attempt.
    pub fn assign(&mut self, connection: Rc<EndpointConnection>) {
        self.state = AttemptState::OnConnection(connection);
    }

    /// Closes the connection, if there is one. Nothing more of the command is written, and nothing late can be taken
    /// for the response to another request.
    pub fn close_connection(&self) {
        if let AttemptState::OnConnection(connection) = &self.state {
            connection.unassign();
            connection.close();
        }
    }

    /// The outcome of an attempt that ends now, as the engine gets it.
    pub fn into_outcome(
        self,
        result: AttemptResult,
        reports: ResponseReports,
        request_ended: bool,
    ) -> AttemptOutcome {
        AttemptOutcome {
            request: self.id.request,
            attempt: self.id.number,
            endpoint: self.endpoint,
            result,
            latency: to_milliseconds(self.started_at.elapsed()),
            request_ended,
            metered_use: None,
            actual_cost: reports.actual_cost,
            load_report: reports.load_report,
        }
    }
}

/// Whether an endpoint may have executed an attempt that ended in this way.
pub(super) fn may_have_executed(result: AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NeverSent
    )
}
