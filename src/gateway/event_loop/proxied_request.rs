//! A request on its way between a client's connection and an endpoint's: its command, its client, and its current
//! attempt. The decision engine has its own record of the request, `InFlightRequest`, which knows no socket.

use crate::gateway::clients::{ClientConnection, ClientRequest};
use crate::gateway::endpoints::AttemptId;
use crate::gateway::event_loop::running_attempt::{RunningAttempt, may_have_executed};
use crate::{AttemptResult, EndpointName, GatewayId, Request, RequestId, Timestamp};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request in flight: until its final answer, and beyond it while an attempt is still running.
pub(super) struct ProxiedRequest {
    command: ClientRequest,
    client: ClientState,
    attempts_started: u32,
    attempt: Option<RunningAttempt>,
    /// When the first attempt that may have been executed was started.
    first_executed_at: Option<Instant>,
}

/// The client that a request came from.
enum ClientState {
    /// The call in which the request came in is still running, so that the client was seen just now.
    JustSeen(Rc<ClientConnection>),
    /// The request has outlasted that call. The client may have disconnected meanwhile.
    Waiting(Rc<ClientConnection>),
    /// It has its answer or has disconnected.
    Released,
}

impl ProxiedRequest {
    /// A request that has just been received.
    pub fn new(command: ClientRequest, client: Rc<ClientConnection>) -> ProxiedRequest {
        ProxiedRequest {
            command,
            client: ClientState::JustSeen(client),
            attempts_started: 0,
            attempt: None,
            first_executed_at: None,
        }
    }

    /// The request as the decision engine takes it.
    pub fn to_engine_request(&self, id: RequestId, client_deadline: Timestamp) -> Request {
        let command = &self.command;
        Request {
            id,
            tenant: command.tenant.clone(),
            class: command.class,
            plan: command.plan,
            cost: command.cost,
            shard_start: GatewayId(command.shard_start),
            shard_size: command.shard_size,
            client_deadline,
            is_retry: command.is_retry,
        }
    }

    /// The command as the client wrote it.
    pub fn command(&self) -> &ClientRequest {
        &self.command
    }

    /// The call in which the request came in has ended.
    pub fn mark_waiting(&mut self) {
        if let ClientState::JustSeen(client) =
            std::mem::replace(&mut self.client, ClientState::Released)
        {
            self.client = ClientState::Waiting(client);
        }
    }

    /// The client that waits for the answer.
    pub fn client(&self) -> Option<&Rc<ClientConnection>> {
        match &self.client {
            ClientState::JustSeen(client) | ClientState::Waiting(client) => Some(client),
            ClientState::Released => None,
        }
    }

    /// Whether a client waits for the answer.
    pub fn awaits_answer(&self) -> bool {
        self.client().is_some()
    }

    /// Releases the client, which from then on waits for no answer.
    pub fn take_client(&mut self) -> Option<Rc<ClientConnection>> {
        match std::mem::replace(&mut self.client, ClientState::Released) {
            ClientState::JustSeen(client) | ClientState::Waiting(client) => Some(client),
            ClientState::Released => None,
        }
    }

    /// Whether the client has disconnected while the request waited, though its task has not seen that yet: what
    /// the request waited for may have come just before, or the core may have been too busy.
    pub fn is_abandoned(&self) -> bool {
        matches!(&self.client, ClientState::Waiting(client) if client.is_disconnected())
    }

    /// The attempt that runs.
    pub fn attempt(&self) -> Option<&RunningAttempt> {
        self.attempt.as_ref()
    }

    /// The same, to change its state.
    pub fn attempt_mut(&mut self) -> Option<&mut RunningAttempt> {
        self.attempt.as_mut()
    }

    /// Whether this attempt is the one that runs.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.id() == id)
    }

    /// Starts the next attempt and returns its id.
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

    /// Ends the attempt. One that may have been executed counts for the deduplication window.
    pub fn finish_attempt(&mut self, result: AttemptResult) -> Option<RunningAttempt> {
        let attempt = self.attempt.take()?;
        if may_have_executed(result) {
            self.first_executed_at.get_or_insert(attempt.started_at());
        }
        Some(attempt)
    }

    /// Whether endpoints would still recognize a further attempt as a duplicate. They do so within the deduplication
    /// window only, which may have passed while a connection was being opened. Without a window this does not matter.
    pub fn is_within_deduplication_window(&self, window: Option<Duration>, now: Instant) -> bool {
        match (window, self.first_executed_at) {
            (Some(window), Some(executed_at)) => {
                now.saturating_duration_since(executed_at) < window
            }
            _ => true,
        }
    }
}
