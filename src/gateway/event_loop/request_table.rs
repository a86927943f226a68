//! The requests in flight, and what they occupy: memory, and the ids that their clients gave them.

use crate::RequestId;
use crate::gateway::clients::ClientConnection;
use crate::gateway::event_loop::active_request::{ActiveRequest, Attempt};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// All requests in flight.
pub(super) struct RequestTable {
    requests: HashMap<RequestId, ActiveRequest>,
    /// The ids that the clients chose for the requests in flight.
    client_request_ids: HashSet<u64>,
    memory_in_use: usize,
    max_requests: usize,
    max_memory_bytes: usize,
    received: u64,
    last_id: RequestId,
}

impl RequestTable {
    pub fn new(max_requests: usize, max_memory_bytes: usize) -> RequestTable {
        RequestTable {
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            memory_in_use: 0,
            max_requests,
            max_memory_bytes,
            received: 0,
            last_id: RequestId(0),
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

    pub fn insert(&mut self, id: RequestId, request: ActiveRequest) {
        self.received += 1;
        self.memory_in_use += request.memory_bytes();
        self.client_request_ids.insert(request.client_request_id());
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.requests.get_mut(&id)
    }

    /// The attempt of this request that runs.
    pub fn attempt(&self, id: RequestId) -> Option<&Attempt> {
        self.requests.get(&id)?.attempt()
    }

    /// Whether this attempt of this request runs.
    pub fn has_attempt(&self, id: RequestId, number: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.has_attempt(number))
    }

    /// Whether a client waits for the answer to this request.
    pub fn awaits_answer(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(ActiveRequest::awaits_answer)
    }

    /// Releases the client that waits for the answer to this request.
    pub fn take_client(&mut self, id: RequestId) -> Option<Rc<ClientConnection>> {
        self.requests.get_mut(&id)?.take_client()
    }

    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// The requests for which a condition holds.
    pub fn ids_where(&self, condition: impl Fn(&ActiveRequest) -> bool) -> Vec<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| condition(request))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Forgets a request if no client waits for it and no attempt runs.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let finished = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.awaits_answer() && request.attempt().is_none());
        if finished && let Some(request) = self.requests.remove(&id) {
            self.memory_in_use -= request.memory_bytes();
            self.client_request_ids.remove(&request.client_request_id());
        }
    }
}
