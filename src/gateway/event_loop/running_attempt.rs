//! State machine of one attempt.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | - | the engine forwards the request | `Connecting` |
//! | `Connecting` | an open connection accepts the complete command | `OnConnection`, awaiting the response |
//! | `Connecting` | an open connection accepts none or part of the command | `OnConnection`, writing |
//! | `OnConnection`, writing | the last byte of the command is written | `OnConnection`, awaiting the response |
//! | any | the attempt ends: response, failure, deadline or client disconnect | - |
//!
//! Whether a connection is still writing or awaits the response is part of its [`Assignment`], because the
//! connection task writes the bytes that the socket did not accept at once. The endpoint cannot have executed
//! the command before its last byte is written, and may have executed it from then on.

use crate::gateway::endpoints::{Assignment, AttemptId, EndpointConnection};
use crate::gateway::engine_time::to_milliseconds;
use crate::gateway::event_loop::response_outcome::ResponseReports;
use crate::gateway::log::RequestStage;
use crate::{AttemptOutcome, AttemptResult, EndpointName};
use std::rc::Rc;
use std::time::Instant;

/// The running attempt of a request, of which there is at most one.
pub(super) struct RunningAttempt {
    id: AttemptId,
    endpoint: EndpointName,
    started_at: Instant,
    deadline: Instant,
    state: AttemptState,
}

enum AttemptState {
    /// A connection is being opened. If the attempt ends first, the connection is kept for reuse.
    Connecting,
    /// The connection that carries the attempt.
    OnConnection(Rc<EndpointConnection>),
}

impl RunningAttempt {
    /// Creates an attempt without a connection.
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

    pub fn id(&self) -> AttemptId {
        self.id
    }

    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    pub fn is_connecting(&self) -> bool {
        matches!(self.state, AttemptState::Connecting)
    }

    /// Whether a connection to one of these endpoints carries the attempt.
    pub fn is_on_connection_to_any(&self, endpoints: &[EndpointName]) -> bool {
        !self.is_connecting() && endpoints.contains(&self.endpoint)
    }

    /// Whether the command is completely written, so the endpoint may have executed it.
    pub fn may_have_executed(&self) -> bool {
        match &self.state {
            AttemptState::Connecting => false,
            AttemptState::OnConnection(connection) => {
                matches!(connection.assignment(), Assignment::AwaitingResponse { .. })
            }
        }
    }

    /// What the attempt waits for.
    pub fn stage(&self) -> RequestStage {
        if self.is_connecting() {
            RequestStage::Connection
        } else if self.may_have_executed() {
            RequestStage::Response
        } else {
            RequestStage::Write
        }
    }

    pub fn assign(&mut self, connection: Rc<EndpointConnection>) {
        self.state = AttemptState::OnConnection(connection);
    }

    /// Closes the connection, if there is one. No more of the command is written, and a late response
    /// cannot be mistaken for the response to another request.
    pub fn close_connection(&self) {
        if let AttemptState::OnConnection(connection) = &self.state {
            connection.unassign();
            connection.close();
        }
    }

    /// Returns the outcome of the attempt for the engine. The latency is measured up to now.
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

/// Whether an endpoint may have executed an attempt with this result.
pub(super) fn may_have_executed(result: AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NeverSent
    )
}
