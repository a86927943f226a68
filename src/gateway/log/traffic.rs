//! Log events about single requests, attempts and client connections, and about the event loop that serves
//! them.
//!
//! Events about single requests are too frequent to log all of them, so callers pass them to
//! [`example`](super::example). The counters that [`crate::gateway::counters`] writes cover all of them.

use super::write_name;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// A request in the log.
#[derive(Debug, Clone, Copy)]
pub struct LoggedRequest {
    /// The id that the client chose.
    pub client_request_id: u64,
    /// Time since the gateway read the request.
    pub age: Duration,
    /// The number of attempts started.
    pub attempts: u32,
    /// What the request waited for when the event happened.
    pub stage: RequestStage,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// A decision of the engine, which may wait for a grant or a permit.
    Decision,
    /// A connection to an endpoint.
    Connection,
    /// An endpoint that has not read the whole command.
    Write,
    /// The response of an endpoint.
    Response,
}

/// An event about a request, an attempt, a client connection or the event loop.
pub enum TrafficEvent<'a> {
    /// A request was answered with `-BUSY`.
    RequestRejected {
        /// The request.
        request: LoggedRequest,
        /// The cause.
        reason: &'static str,
    },
    /// A request was answered with `-ERR failed`: its last attempt failed and may have executed.
    RequestFailed {
        /// The request.
        request: LoggedRequest,
    },
    /// The gateway had no answer to a request by the client's deadline.
    RequestOverdue {
        /// The request.
        request: LoggedRequest,
    },
    /// The client of a request disconnected before the answer.
    RequestAbandoned {
        /// The request.
        request: LoggedRequest,
    },
    /// A command was answered with an error because it is no valid request.
    RequestInvalid {
        /// The validation error.
        error: &'a dyn Display,
    },
    /// An attempt ended without a value.
    AttemptFailed {
        /// The id that the client chose; `None` if the request has ended before.
        client_request_id: Option<u64>,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// The endpoint.
        endpoint: &'a str,
        /// How the attempt ended.
        result: &'static str,
        /// The duration of the attempt.
        latency: Duration,
    },
    /// The gateway closed a client connection, or gave it up.
    ClientClosed {
        /// The number of the connection.
        connection: u64,
        /// The cause.
        reason: &'static str,
        /// Requests that got no answer.
        unanswered: usize,
        /// Time since the connection was accepted.
        age: Duration,
    },
    /// The event loop was held up: a timer fired this much too late.
    EventLoopDelayed {
        /// The delay.
        delay: Duration,
    },
}

impl RequestStage {
    fn as_str(self) -> &'static str {
        match self {
            RequestStage::Decision => "decision",
            RequestStage::Connection => "connection",
            RequestStage::Write => "write",
            RequestStage::Response => "response",
        }
    }
}

impl Display for LoggedRequest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            " request={:016x} age_ms={} attempts={} stage={}",
            self.client_request_id,
            self.age.as_millis(),
            self.attempts,
            self.stage.as_str()
        )
    }
}

impl TrafficEvent<'_> {
    /// Returns the stable name of the event.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            TrafficEvent::RequestRejected { .. } => "request_rejected",
            TrafficEvent::RequestFailed { .. } => "request_failed",
            TrafficEvent::RequestOverdue { .. } => "request_overdue",
            TrafficEvent::RequestAbandoned { .. } => "request_abandoned",
            TrafficEvent::RequestInvalid { .. } => "request_invalid",
            TrafficEvent::AttemptFailed { .. } => "attempt_failed",
            TrafficEvent::ClientClosed { .. } => "client_closed",
            TrafficEvent::EventLoopDelayed { .. } => "event_loop_delayed",
        }
    }

    /// Returns the cause that examples are limited by; empty for events with one cause.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            TrafficEvent::RequestRejected { reason, .. }
            | TrafficEvent::ClientClosed { reason, .. } => reason,
            TrafficEvent::AttemptFailed { result, .. } => result,
            TrafficEvent::RequestFailed { .. }
            | TrafficEvent::RequestOverdue { .. }
            | TrafficEvent::RequestAbandoned { .. }
            | TrafficEvent::RequestInvalid { .. }
            | TrafficEvent::EventLoopDelayed { .. } => "",
        }
    }

    /// Writes the `KEY=VALUE` fields, each with a leading space.
    fn write_fields(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TrafficEvent::RequestRejected { request, reason } => {
                write!(formatter, "{request} reason={reason}")
            }
            TrafficEvent::RequestFailed { request }
            | TrafficEvent::RequestOverdue { request }
            | TrafficEvent::RequestAbandoned { request } => write!(formatter, "{request}"),
            TrafficEvent::RequestInvalid { .. } => Ok(()),
            TrafficEvent::AttemptFailed {
                client_request_id,
                attempt,
                endpoint,
                result,
                latency,
            } => {
                if let Some(id) = client_request_id {
                    write!(formatter, " request={id:016x}")?;
                }
                let latency_ms = latency.as_millis();
                write!(
                    formatter,
                    " attempt={attempt} endpoint={endpoint} result={result} latency_ms={latency_ms}"
                )
            }
            TrafficEvent::ClientClosed {
                connection,
                reason,
                unanswered,
                age,
            } => {
                let age_ms = age.as_millis();
                write!(
                    formatter,
                    " connection={connection} reason={reason} unanswered={unanswered} age_ms={age_ms}"
                )
            }
            TrafficEvent::EventLoopDelayed { delay } => {
                write!(formatter, " delay_ms={}", delay.as_millis())
            }
        }
    }

    fn write_sentence(&self, line: &mut Formatter<'_>) -> fmt::Result {
        match self {
            TrafficEvent::RequestRejected { .. } => line.write_str("a request was rejected"),
            TrafficEvent::RequestFailed { .. } => {
                line.write_str("a request failed, and may have been executed")
            }
            TrafficEvent::RequestOverdue { .. } => {
                line.write_str("a request was not answered by its deadline and fails")
            }
            TrafficEvent::RequestAbandoned { .. } => {
                line.write_str("the client disconnected before its request was answered")
            }
            TrafficEvent::RequestInvalid { error } => write!(line, "invalid request: {error}"),
            TrafficEvent::AttemptFailed { .. } => line.write_str("an attempt failed"),
            TrafficEvent::ClientClosed { .. } => line.write_str("a client connection is closed"),
            TrafficEvent::EventLoopDelayed { .. } => {
                line.write_str("the event loop was held up, and all requests with it")
            }
        }
    }
}

impl Display for TrafficEvent<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write_name(formatter, self.name())?;
        self.write_fields(formatter)?;
        write!(formatter, ": ")?;
        self.write_sentence(formatter)
    }
}
