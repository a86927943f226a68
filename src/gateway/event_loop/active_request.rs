//! A request in flight and its current attempt.

use crate::gateway::clients::{ClientConnection, ClientRequest};
use crate::gateway::endpoints::{ConnectionState, EndpointConnection};
use crate::{
    ClassIndex, EndpointName, GatewayId, Idempotency, Request, RequestClass, RequestId, Timestamp,
};
use std::rc::Rc;

/// A request in flight: until its final answer, and beyond it while an attempt is still running.
pub(super) struct ActiveRequest {
    client_request: ClientRequest,
    /// The client that waits for the answer. `None` once it has been answered or has disconnected.
    client: Option<Rc<ClientConnection>>,
    /// Whether the request has outlasted the call in which it came in. Until then its client was seen just now.
    has_waited: bool,
    attempts_started: u32,
    attempt: Option<Attempt>,
    /// When the first attempt that may have been executed was started.
    first_executed_at_ms: Option<f64>,
}

/// The one attempt that a request may have running.
pub(super) struct Attempt {
    pub number: u32,
    pub endpoint: EndpointName,
    pub started_at_ms: f64,
    pub deadline_ms: f64,
    pub phase: AttemptPhase,
}

/// How far an attempt has come.
pub(super) enum AttemptPhase {
    /// A connection is being opened. It is kept for reuse if the attempt ends before it is open.
    Connecting,
    /// A connection carries the attempt; its [`ConnectionState`] says whether the command is whole.
    OnConnection(Rc<EndpointConnection>),
}

impl Attempt {
    /// Whether the command is completely written, so that the endpoint may have executed it.
    pub fn may_have_executed(&self) -> bool {
        match &self.phase {
            AttemptPhase::Connecting => false,
            AttemptPhase::OnConnection(connection) => {
                matches!(connection.state(), ConnectionState::AwaitingResponse { .. })
            }
        }
    }
}

impl ActiveRequest {
    pub fn new(client_request: ClientRequest, client: Rc<ClientConnection>) -> ActiveRequest {
        ActiveRequest {
            client_request,
            client: Some(client),
            has_waited: false,
            attempts_started: 0,
            attempt: None,
            first_executed_at_ms: None,
        }
    }

    /// The request as the decision engine gets it.
    pub fn to_engine_request(&self, id: RequestId, client_deadline_ms: f64) -> Request {
        let client_request = &self.client_request;
        Request {
            id,
            tenant: client_request.tenant.clone(),
            class: client_request.class,
            plan: client_request.plan,
            cost: client_request.cost,
            shard_start: GatewayId(client_request.shard_start),
            shard_size: client_request.shard_size,
            client_deadline: Timestamp(client_deadline_ms),
            is_retry: client_request.is_retry,
        }
    }

    /// Notes that the call in which the request came in has ended.
    pub fn mark_waited(&mut self) {
        self.has_waited = true;
    }

    /// The id that the client chose for the request.
    pub fn client_request_id(&self) -> u64 {
        self.client_request.client_request_id
    }

    /// The memory that the command takes.
    pub fn memory_bytes(&self) -> usize {
        self.client_request.command_len()
    }

    /// The index of the request's class in the settings.
    pub fn class(&self) -> ClassIndex {
        self.client_request.class
    }

    /// Appends the command as an endpoint gets it, with the time that it has left for an answer.
    pub fn write_command(&self, remaining_ms: u64, out: &mut Vec<u8>) {
        self.client_request.encode_for_endpoint(remaining_ms, out);
    }

    pub fn client(&self) -> Option<&Rc<ClientConnection>> {
        self.client.as_ref()
    }

    /// Whether a client waits for the answer.
    pub fn awaits_answer(&self) -> bool {
        self.client.is_some()
    }

    /// Releases the client, which from then on waits for no answer.
    pub fn take_client(&mut self) -> Option<Rc<ClientConnection>> {
        self.client.take()
    }

    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        self.attempt.as_mut()
    }

    /// Starts the next attempt and returns its number.
    pub fn start_attempt(&mut self, endpoint: EndpointName, now_ms: f64, deadline_ms: f64) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        self.attempt = Some(Attempt {
            number,
            endpoint,
            started_at_ms: now_ms,
            deadline_ms,
            phase: AttemptPhase::Connecting,
        });
        number
    }

    /// Ends the attempt. `may_have_executed` counts it for the deduplication window.
    pub fn finish_attempt(&mut self, may_have_executed: bool) -> Option<Attempt> {
        let attempt = self.attempt.take()?;
        if may_have_executed {
            self.first_executed_at_ms
                .get_or_insert(attempt.started_at_ms);
        }
        Some(attempt)
    }

    /// Whether this attempt is the one that runs.
    pub fn has_attempt(&self, number: u32) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.number == number)
    }

    /// Whether this attempt runs and still waits for its connection.
    pub fn is_connecting(&self, number: u32) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| {
            attempt.number == number && matches!(attempt.phase, AttemptPhase::Connecting)
        })
    }

    /// Whether a connection to one of these endpoints carries the attempt.
    pub fn is_sent_to_any(&self, endpoints: &[EndpointName]) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| {
            matches!(attempt.phase, AttemptPhase::OnConnection(_))
                && endpoints.contains(&attempt.endpoint)
        })
    }

    /// Whether the client has disconnected while the request waited, though its task has not seen that yet: what
    /// the request waited for may have come just before, or the core may have been too busy.
    pub fn is_abandoned(&self) -> bool {
        self.has_waited
            && self
                .client
                .as_ref()
                .is_some_and(|client| client.is_disconnected())
    }

    /// Whether endpoints would still recognize a further attempt as a duplicate. They do so within the class's
    /// deduplication window only, which may have passed while a connection was being opened.
    pub fn is_within_deduplication_window(&self, class: &RequestClass, now_ms: f64) -> bool {
        if !matches!(class.idempotency, Idempotency::Keyed(_)) {
            return true;
        }
        self.first_executed_at_ms.is_none_or(|executed_at_ms| {
            now_ms - executed_at_ms < class.deduplication_window.as_f64()
        })
    }
}
