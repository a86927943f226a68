//! Table of the requests in flight, with the memory and the client-chosen ids that they occupy.
//!
//! A request is in the table as long as its client waits for a response or one of its attempts is
//! running.

use crate::gateway::clients::ClientConnection;
use crate::gateway::endpoints::{AttemptId, EndpointConnection};
use crate::gateway::engine_time::to_duration;
use crate::gateway::event_loop::executed_ids::ExecutedIds;
use crate::gateway::event_loop::proxied_request::ProxiedRequest;
use crate::gateway::event_loop::response_outcome::ResponseReports;
use crate::{AttemptOutcome, AttemptResult, EndpointName, Idempotency, RequestClass, RequestId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(super) struct ProxiedRequests {
    requests: HashMap<RequestId, ProxiedRequest>,
    /// Client-chosen ids of the requests in flight.
    client_request_ids: HashSet<u64>,
    executed_ids: ExecutedIds,
    memory_in_use: usize,
    max_requests: usize,
    max_memory_bytes: usize,
    received: u64,
    last_id: RequestId,
    /// Per class, the window within which endpoints detect duplicates; `None` for classes that are not
    /// keyed.
    deduplication_windows: Vec<Option<Duration>>,
    /// Per class, whether a request may be executed any number of times.
    is_idempotent: Vec<bool>,
    /// Buffer for encoding commands, reused for all attempts.
    write_buffer: Vec<u8>,
}

/// Result of [`ProxiedRequests::start_attempt`].
pub(super) enum AttemptStart {
    /// The attempt is running and may be sent.
    Running(AttemptId),
    /// The attempt is running but must not be sent: its deadline has passed, or the request is already
    /// answered.
    Obsolete,
    /// The attempt is running but must not be sent: the client has disconnected.
    Abandoned,
}

impl ProxiedRequests {
    /// Creates an empty table for at most `max_requests` requests, whose commands occupy at most
    /// `max_memory_bytes`.
    pub fn new(
        classes: &[RequestClass],
        max_requests: usize,
        max_memory_bytes: usize,
    ) -> ProxiedRequests {
        ProxiedRequests {
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            executed_ids: ExecutedIds::default(),
            memory_in_use: 0,
            max_requests,
            max_memory_bytes,
            received: 0,
            last_id: RequestId(0),
            deduplication_windows: classes.iter().map(deduplication_window).collect(),
            is_idempotent: classes.iter().map(is_idempotent).collect(),
            write_buffer: Vec::new(),
        }
    }

    pub fn next_id(&mut self) -> RequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// Number of requests inserted since the start.
    pub fn received(&self) -> u64 {
        self.received
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn all_answered(&self) -> bool {
        self.requests
            .values()
            .all(|request| !request.awaits_response())
    }

    /// Whether a request with this client-chosen id is in flight, or has ended and must not be executed again.
    pub fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        self.client_request_ids.contains(&client_request_id)
            || self.executed_ids.contains(client_request_id)
    }

    /// Whether another request of this size fits into the limits.
    pub fn has_capacity_for(&self, bytes: usize) -> bool {
        self.requests.len() < self.max_requests
            && self.memory_in_use + bytes <= self.max_memory_bytes
    }

    pub fn insert(&mut self, id: RequestId, request: ProxiedRequest) {
        self.received += 1;
        self.memory_in_use += request.command().command_len();
        self.client_request_ids
            .insert(request.command().client_request_id);
        self.requests.insert(id, request);
    }

    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Requests whose running attempt was handed to a connection to one of these endpoints.
    pub fn ids_on_connection_to_any(&self, endpoints: &[EndpointName]) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| {
                request
                    .attempt()
                    .is_some_and(|attempt| attempt.is_on_connection_to_any(endpoints))
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// The request with this id, if it is in flight.
    pub fn get(&self, id: RequestId) -> Option<&ProxiedRequest> {
        self.requests.get(&id)
    }

    /// The request with this id, if its client waits for the response.
    pub fn get_unanswered(&self, id: RequestId) -> Option<&ProxiedRequest> {
        self.get(id).filter(|request| request.awaits_response())
    }

    /// Marks the call that received a request as returned. The client may disconnect from now on.
    pub fn mark_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.mark_waiting();
        }
    }

    /// The connection of the client that waits for the response to a request.
    pub fn client(&self, id: RequestId) -> Option<&Rc<ClientConnection>> {
        self.get(id)?.client()
    }

    /// Whether the client of a request has disconnected, although the connection task has not detected it
    /// yet.
    pub fn is_abandoned(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(ProxiedRequest::is_abandoned)
    }

    /// Removes and returns the client of a request. Returns `Some` at most once per request, so no
    /// request is answered twice.
    pub fn take_client(&mut self, id: RequestId) -> Option<Rc<ClientConnection>> {
        let request = self.requests.get_mut(&id)?;
        let client = request.take_client()?;
        if request.attempt().is_none() {
            self.remove(id);
        }
        Some(client)
    }

    /// Sends the final response to a request, unless it has already been answered.
    pub fn answer(&mut self, id: RequestId, line: &[u8]) {
        if let Some(client) = self.take_client(id) {
            client.answer(id, line);
        }
    }

    /// Whether this attempt is running.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.requests
            .get(&id.request)
            .is_some_and(|request| request.has_attempt(id))
    }

    /// Whether this attempt is running and waits for its connection.
    pub fn is_connecting(&self, id: AttemptId) -> bool {
        self.requests.get(&id.request).is_some_and(|request| {
            request
                .attempt()
                .is_some_and(|attempt| attempt.id() == id && attempt.is_connecting())
        })
    }

    /// Starts an attempt of a request. Returns `None` if the request is no longer in flight.
    ///
    /// The event that the request waited for (a permit, a quota response, a failed attempt) may arrive
    /// together with the client's disconnect, before the runtime has seen the disconnect. The client's
    /// socket is therefore queried directly, so nothing is sent for a disconnected client (tests
    /// `request_is_not_forwarded_if_its_permit_is_released_together_with_the_disconnect`,
    /// `request_is_not_forwarded_if_its_quota_response_arrives_together_with_the_disconnect`,
    /// `attempt_that_fails_together_with_the_disconnect_is_not_retried`).
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointName,
        now: Instant,
        deadline: Instant,
    ) -> Option<AttemptStart> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.start_attempt(id, endpoint, now, deadline);
        Some(if deadline <= now || !request.awaits_response() {
            AttemptStart::Obsolete
        } else if request.is_abandoned() {
            AttemptStart::Abandoned
        } else {
            AttemptStart::Running(attempt)
        })
    }

    /// Sends the command of a request on a connection and assigns the connection to the running attempt.
    ///
    /// Returns `false` if nothing was written, because the connection had failed or another attempt could
    /// execute the request twice (test
    /// `a_keyed_request_is_not_retried_if_its_deduplication_window_passes_during_the_connect`).
    pub fn send_command(&mut self, id: RequestId, connection: &Rc<EndpointConnection>) -> bool {
        let now = Instant::now();
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let window = self.deduplication_windows[request.command().class.0];
        if !request.is_within_deduplication_window(window, now) {
            return false;
        }
        let Some(attempt) = request.attempt() else {
            return false;
        };
        let remaining = attempt.deadline().saturating_duration_since(now);
        self.write_buffer.clear();
        request
            .command()
            .encode_for_endpoint(remaining, &mut self.write_buffer);
        if connection.send_command(id, &self.write_buffer).is_err() {
            return false;
        }
        if let Some(attempt) = request.attempt_mut() {
            attempt.assign(connection.clone());
        }
        true
    }

    /// Ends the running attempt of a request. Returns its outcome for the engine, or `None` if no attempt
    /// was running.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        result: AttemptResult,
        reports: ResponseReports,
    ) -> Option<AttemptOutcome> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.finish_attempt(result)?;
        let request_ended = !request.awaits_response();
        if request_ended {
            self.remove(id);
        }
        Some(attempt.into_outcome(result, reports, request_ended))
    }

    /// Aborts the running attempt of a request and closes its connection. If the command was not written
    /// completely, the result is a failed connect, because the endpoint cannot have executed it.
    pub fn abort_attempt(
        &mut self,
        id: RequestId,
        result: AttemptResult,
    ) -> Option<AttemptOutcome> {
        let attempt = self.requests.get(&id)?.attempt()?;
        let result = if attempt.may_have_executed() {
            result
        } else {
            AttemptResult::ConnectFailed
        };
        attempt.close_connection();
        self.finish_attempt(id, result, ResponseReports::default())
    }

    /// Cancels the running attempt of a request if its command was not written completely. The rest of
    /// the command is not written (test `a_client_disconnect_stops_a_partly_written_command`).
    pub fn cancel_unsent_attempt(&mut self, id: RequestId) -> Option<AttemptOutcome> {
        let attempt = self.requests.get(&id)?.attempt()?;
        if attempt.may_have_executed() {
            return None;
        }
        attempt.close_connection();
        self.finish_attempt(id, AttemptResult::NeverSent, ResponseReports::default())
    }

    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let command = request.command();
        self.memory_in_use -= command.command_len();
        self.client_request_ids.remove(&command.client_request_id);
        if request.may_have_executed() && !self.is_idempotent[command.class.0] {
            self.executed_ids
                .insert(command.client_request_id, Instant::now());
        }
    }
}

fn is_idempotent(class: &RequestClass) -> bool {
    class.idempotency == Idempotency::Idempotent
}

fn deduplication_window(class: &RequestClass) -> Option<Duration> {
    matches!(class.idempotency, Idempotency::Keyed(_))
        .then(|| to_duration(class.deduplication_window))
}
