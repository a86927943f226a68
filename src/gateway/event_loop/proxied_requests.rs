//! All requests in flight, and what they occupy: memory, and the ids that their clients gave them.
//!
//! A request stays here while a client waits for its answer or an attempt of it runs, and no longer.

use crate::gateway::clients::ClientConnection;
use crate::gateway::endpoints::{AttemptId, EndpointConnection};
use crate::gateway::engine_time::to_duration;
use crate::gateway::event_loop::proxied_request::ProxiedRequest;
use crate::gateway::event_loop::response_outcome::ResponseReports;
use crate::{AttemptOutcome, AttemptResult, EndpointName, Idempotency, RequestClass, RequestId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// All requests in flight.
pub(super) struct ProxiedRequests {
    requests: HashMap<RequestId, ProxiedRequest>,
    /// The ids that the clients chose for the requests in flight.
    client_request_ids: HashSet<u64>,
    memory_in_use: usize,
    max_requests: usize,
    max_memory_bytes: usize,
    received: u64,
    last_id: RequestId,
    /// For each class the window within which endpoints recognize duplicates, if it is a keyed one.
    deduplication_windows: Vec<Option<Duration>>,
    /// Holds a command while it is written, so that not every attempt needs a buffer of its own.
    write_buffer: Vec<u8>,
}

/// What came of the start of an attempt.
pub(super) enum AttemptStart {
    /// It runs, and may be sent.
    Running(AttemptId),
    /// It runs, but must not be sent: its time is up, or the request has its answer.
    Pointless,
    /// It runs, but must not be sent: the client has disconnected.
    Abandoned,
}

impl ProxiedRequests {
    /// An empty table for at most `max_requests` requests, whose commands take at most `max_memory_bytes`.
    pub fn new(
        classes: &[RequestClass],
        max_requests: usize,
        max_memory_bytes: usize,
    ) -> ProxiedRequests {
        ProxiedRequests {
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            memory_in_use: 0,
            max_requests,
            max_memory_bytes,
            received: 0,
            last_id: RequestId(0),
            deduplication_windows: classes.iter().map(deduplication_window).collect(),
            write_buffer: Vec::new(),
        }
    }

    /// Issues an id that was never used before.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id.0 += 1;
        self.last_id
    }

    /// How many requests have been inserted since the start.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// How many requests are in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no client waits for an answer.
    pub fn all_answered(&self) -> bool {
        self.requests
            .values()
            .all(|request| !request.awaits_answer())
    }

    /// Whether a request with this client-chosen id is in flight.
    pub fn is_client_request_id_in_use(&self, client_request_id: u64) -> bool {
        self.client_request_ids.contains(&client_request_id)
    }

    /// Whether one more request of this size fits.
    pub fn has_capacity_for(&self, bytes: usize) -> bool {
        self.requests.len() < self.max_requests
            && self.memory_in_use + bytes <= self.max_memory_bytes
    }

    /// Adds a request that has just been received.
    pub fn insert(&mut self, id: RequestId, request: ProxiedRequest) {
        self.received += 1;
        self.memory_in_use += request.command().command_len();
        self.client_request_ids
            .insert(request.command().client_request_id);
        self.requests.insert(id, request);
    }

    /// The ids of all requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// The requests whose attempt a connection to one of these endpoints carries.
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

    /// The call in which a request came in has ended.
    pub fn mark_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.mark_waiting();
        }
    }

    /// The client that waits for the answer to a request.
    pub fn client(&self, id: RequestId) -> Option<&Rc<ClientConnection>> {
        self.requests.get(&id)?.client()
    }

    /// Whether the client of a request has disconnected though its task has not seen that yet.
    pub fn is_abandoned(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(ProxiedRequest::is_abandoned)
    }

    /// Releases the client that waits for the answer to a request. There is one at most once for each request, so that
    /// no request is answered twice.
    pub fn take_client(&mut self, id: RequestId) -> Option<Rc<ClientConnection>> {
        let request = self.requests.get_mut(&id)?;
        let client = request.take_client()?;
        if request.attempt().is_none() {
            self.remove(id);
        }
        Some(client)
    }

    /// Gives a request its final answer, unless it has one.
    pub fn answer(&mut self, id: RequestId, line: &[u8]) {
        if let Some(client) = self.take_client(id) {
            client.answer(id, line);
        }
    }

    /// Whether this attempt runs.
    pub fn has_attempt(&self, id: AttemptId) -> bool {
        self.requests
            .get(&id.request)
            .is_some_and(|request| request.has_attempt(id))
    }

    /// Whether this attempt runs and waits for its connection.
    pub fn is_connecting(&self, id: AttemptId) -> bool {
        self.requests.get(&id.request).is_some_and(|request| {
            request
                .attempt()
                .is_some_and(|attempt| attempt.id() == id && attempt.is_connecting())
        })
    }

    /// Starts an attempt of a request; `None` if the request is not in flight any more.
    ///
    /// What the request waited for (a permit, a quota response, the failure of an attempt) may arrive together with the
    /// disconnect of its client, which the runtime then has not seen. The socket itself is asked, so that nothing is
    /// sent for a client that has left (tests
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
        Some(if deadline <= now || !request.awaits_answer() {
            AttemptStart::Pointless
        } else if request.is_abandoned() {
            AttemptStart::Abandoned
        } else {
            AttemptStart::Running(attempt)
        })
    }

    /// Sends the command of a request on a connection, which carries the attempt from then on. False if nothing was
    /// written, because the connection broke before or a further attempt could be executed a second time (test
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

    /// Ends the attempt of a request with this result. Returns what the engine has to know of it, if one was running.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        result: AttemptResult,
        reports: ResponseReports,
    ) -> Option<AttemptOutcome> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.finish_attempt(result)?;
        let request_ended = !request.awaits_answer();
        if request_ended {
            self.remove(id);
        }
        Some(attempt.into_outcome(result, reports, request_ended))
    }

    /// Ends the attempt of a request from this side and closes its connection. Without a completely written command it
    /// counts as a failed connect, since the endpoint cannot have executed it.
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

    /// Cancels the attempt of a request if no endpoint has the whole command. The rest of it is not written (test
    /// `a_client_disconnect_stops_a_partly_written_command`).
    pub fn cancel_unsent_attempt(&mut self, id: RequestId) -> Option<AttemptOutcome> {
        let attempt = self.requests.get(&id)?.attempt()?;
        if attempt.may_have_executed() {
            return None;
        }
        attempt.close_connection();
        self.finish_attempt(id, AttemptResult::NeverSent, ResponseReports::default())
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.memory_in_use -= request.command().command_len();
            self.client_request_ids
                .remove(&request.command().client_request_id);
        }
    }
}

fn deduplication_window(class: &RequestClass) -> Option<Duration> {
    matches!(class.idempotency, Idempotency::Keyed(_))
        .then(|| to_duration(class.deduplication_window))
}
