//! A request being proxied from a client connection to an endpoint connection: its command, its client
//! and its running attempt. The decision engine keeps its own record of the request, `InFlightRequest`,
//! which does not refer to sockets.

use crate::gateway::clients::{ClientConnection, ClientRequest};
use crate::gateway::endpoints::AttemptId;
use crate::gateway::event_loop::running_attempt::{RunningAttempt, may_have_executed};
use crate::gateway::log::{LoggedRequest, RequestStage};
use crate::{AttemptResult, EndpointName, GatewayId, Request, RequestId, Timestamp};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request in flight, until its final response is sent and no attempt is running.
pub(super) struct ProxiedRequest {
    command: ClientRequest,
    client: ClientState,
    received_at: Instant,
    deadline: Instant,
    attempts_started: u32,
    attempt: Option<RunningAttempt>,
    /// Start of the first attempt that the endpoint may have executed.
    first_executed_at: Option<Instant>,
}

/// Whether the client still waits for the response.
enum ClientState {
    /// The call that received the request is still running, so the client was connected just now.
    Receiving(Rc<ClientConnection>),
    /// The call has returned. The client may have disconnected since.
    Waiting(Rc<ClientConnection>),
    /// The client was sent its final response or has disconnected.
    Released,
}

impl ProxiedRequest {
    /// Creates a request that must be answered by `deadline`.
    pub fn new(
        command: ClientRequest,
        client: Rc<ClientConnection>,
        deadline: Instant,
    ) -> ProxiedRequest {
        ProxiedRequest {
            command,
            client: ClientState::Receiving(client),
            received_at: Instant::now(),
            deadline,
            attempts_started: 0,
            attempt: None,
            first_executed_at: None,
        }
    }

    pub fn to_engine_request(&self, id: RequestId, client_deadline: Timestamp) -> Request {
        let command = &self.command;
        Request {
            id,
            tenant: command.tenant.name(),
            class: command.class,
            plan: command.plan,
            cost: command.cost,
            shard_start: GatewayId(command.shard_start),
            shard_size: command.shard_size,
            client_deadline,
            is_retry: command.is_retry,
        }
    }

    /// Returns the state of the request for the log.
    pub fn logged(&self) -> LoggedRequest {
        LoggedRequest {
            client_request_id: self.command.client_request_id,
            age: self.received_at.elapsed(),
            attempts: self.attempts_started,
            stage: self
                .attempt
                .as_ref()
                .map_or(RequestStage::Decision, RunningAttempt::stage),
        }
    }

    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    pub fn command(&self) -> &ClientRequest {
        &self.command
    }

    /// Marks the call that received the request as returned. The client may disconnect from now on.
    pub fn mark_waiting(&mut self) {
        if let ClientState::Receiving(client) =
            std::mem::replace(&mut self.client, ClientState::Released)
        {
            self.client = ClientState::Waiting(client);
        }
    }

    /// The connection of the client, if it waits for a response.
    pub fn client(&self) -> Option<&Rc<ClientConnection>> {
        match &self.client {
            ClientState::Receiving(client) | ClientState::Waiting(client) => Some(client),
            ClientState::Released => None,
        }
    }

    pub fn awaits_response(&self) -> bool {
        self.client().is_some()
    }

    /// Removes and returns the client. The request no longer awaits a response.
    pub fn take_client(&mut self) -> Option<Rc<ClientConnection>> {
        match std::mem::replace(&mut self.client, ClientState::Released) {
            ClientState::Receiving(client) | ClientState::Waiting(client) => Some(client),
            ClientState::Released => None,
        }
    }

    /// Whether the client disconnected while the request waited and its connection task has not detected
    /// it yet. The task may not have run because the core was busy, or because the event that the request
    /// waited for arrived first.
    pub fn is_abandoned(&self) -> bool {
        matches!(&self.client, ClientState::Waiting(client) if client.is_disconnected())
    }

    pub fn attempt(&self) -> Option<&RunningAttempt> {
        self.attempt.as_ref()
    }

    pub fn attempt_mut(&mut self) -> Option<&mut RunningAttempt> {
        self.attempt.as_mut()
    }

    /// Whether this attempt is running.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.id() == id)
    }

    /// Starts the next attempt and returns its id. Attempts are numbered from 0.
    pub fn start_attempt(
        &mut self,
        request: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Instant,
    ) -> AttemptId {
        let id = AttemptId {
            request,
            number: self.attempts_started,
        };
        self.attempts_started += 1;
        self.attempt = Some(RunningAttempt::start(id, endpoint, now, deadline));
        id
    }

    /// Ends the running attempt. If the endpoint may have executed it, the deduplication window starts
    /// with the first such attempt.
    pub fn finish_attempt(&mut self, result: AttemptResult) -> Option<RunningAttempt> {
        let attempt = self.attempt.take()?;
        if may_have_executed(result) {
            self.first_executed_at.get_or_insert(attempt.started_at());
        }
        Some(attempt)
    }

    /// Whether an endpoint may have executed an attempt that has ended.
    pub fn may_have_executed(&self) -> bool {
        self.first_executed_at.is_some()
    }

    /// Whether endpoints would still detect another attempt as a duplicate. Always true for classes
    /// without a deduplication window. The window may have passed while a connection was being opened.
    pub fn is_within_deduplication_window(&self, window: Option<Duration>, now: Instant) -> bool {
        match (window, self.first_executed_at) {
            (Some(window), Some(executed_at)) => {
                now.saturating_duration_since(executed_at) < window
            }
            _ => true,
        }
    }
}
