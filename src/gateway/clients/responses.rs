//! Response queue of one connection: puts responses into request order and buffers unsent bytes.

use super::connection_state::OutputState;
use super::socket::ClientSocket;
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Limit on unread response bytes. A connection that exceeds it is closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;

enum OrderedResponse {
    /// The request has not been answered yet.
    Pending(RequestId),
    /// The response is complete and waits for an earlier one.
    Ready(Vec<u8>),
}

/// The responses of one connection. They may become available in any order and are written in request
/// order.
pub(super) struct Responses {
    queue: VecDeque<OrderedResponse>,
    /// Bytes that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// Total size of the [`OrderedResponse::Ready`] entries, in bytes.
    ready_bytes: usize,
    state: OutputState,
    memory: MemoryReservation,
    /// Bytes that may be buffered even if the shared memory budget is exhausted.
    always_allowed: usize,
}

impl Responses {
    pub(super) fn new(memory: MemoryReservation, always_allowed: usize) -> Responses {
        Responses {
            queue: VecDeque::new(),
            unsent: Vec::new(),
            ready_bytes: 0,
            state: OutputState::Writable,
            memory,
            always_allowed,
        }
    }

    /// Number of queued responses: pending ones, and complete ones that wait for a pending one.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether all requests are answered and the socket has accepted all responses.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.unsent.is_empty()
    }

    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    pub(super) fn has_failed(&self) -> bool {
        self.state.has_failed()
    }

    /// Whether the socket has accepted no bytes for longer than `limit`.
    pub(super) fn is_stalled(&self, now: Instant, limit: Duration) -> bool {
        self.state.is_stalled(now, limit)
    }

    /// Marks the output as failed. No further response is written.
    pub(super) fn fail(&mut self) {
        self.state.fail();
    }

    pub(super) fn push_pending(&mut self, request: RequestId) {
        self.queue.push_back(OrderedResponse::Pending(request));
    }

    /// Sets the response to a pending request. Does nothing if the request is not pending.
    pub(super) fn complete(&mut self, request: RequestId, response: &[u8], socket: &ClientSocket) {
        if matches!(self.queue.front(), Some(OrderedResponse::Pending(first)) if *first == request)
        {
            self.queue.pop_front();
            self.write(response, socket);
            self.write_ready(socket);
        } else if let Some(entry) = self
            .queue
            .iter_mut()
            .find(|entry| matches!(entry, OrderedResponse::Pending(pending) if *pending == request))
        {
            *entry = OrderedResponse::Ready(response.to_vec());
            self.ready_bytes += response.len();
        }
        self.enforce_limits();
    }

    /// Appends a response that is already available. Writes it immediately if no earlier response is pending.
    pub(super) fn push_ready(&mut self, response: &[u8], socket: &ClientSocket) {
        if self.queue.is_empty() {
            self.write(response, socket);
        } else {
            self.queue
                .push_back(OrderedResponse::Ready(response.to_vec()));
            self.ready_bytes += response.len();
        }
        self.enforce_limits();
    }

    /// Writes as many unsent bytes as the socket accepts.
    pub(super) fn flush(&mut self, socket: &ClientSocket) {
        match socket.write(&self.unsent) {
            Ok(0) => {}
            Ok(accepted) if accepted == self.unsent.len() => {
                self.unsent = Vec::new();
                self.state.accepted_everything();
            }
            Ok(accepted) => {
                self.unsent.drain(..accepted);
                self.state.accepted_part();
            }
            Err(_) => self.fail(),
        }
        self.memory
            .set(self.unsent.len() + self.ready_bytes, self.always_allowed);
    }

    /// Clears the queue and returns the requests that were not answered.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        std::mem::take(&mut self.queue)
            .into_iter()
            .filter_map(|entry| match entry {
                OrderedResponse::Pending(request) => Some(request),
                OrderedResponse::Ready(_) => None,
            })
    }

    /// Writes all ready responses at the head of the queue with one call.
    fn write_ready(&mut self, socket: &ClientSocket) {
        let mut bytes = Vec::new();
        while matches!(self.queue.front(), Some(OrderedResponse::Ready(_)))
            && let Some(OrderedResponse::Ready(response)) = self.queue.pop_front()
        {
            self.ready_bytes -= response.len();
            bytes.extend_from_slice(&response);
        }
        if !bytes.is_empty() {
            self.write(&bytes, socket);
        }
    }

    /// Writes bytes to the socket. Bytes that it does not accept are buffered for the connection task.
    fn write(&mut self, bytes: &[u8], socket: &ClientSocket) {
        let accepted = if self.unsent.is_empty() && !self.has_failed() {
            socket.write(bytes).unwrap_or_else(|_| {
                self.fail();
                0
            })
        } else {
            0
        };
        self.unsent.extend_from_slice(&bytes[accepted..]);
        if !self.unsent.is_empty() {
            self.state.blocked();
        }
    }

    /// Fails the connection if its unread responses exceed a limit, so a client that sends requests and
    /// never reads cannot exhaust the memory.
    fn enforce_limits(&mut self) {
        let unread = self.unsent.len() + self.ready_bytes;
        let within_budget = self.memory.set(unread, self.always_allowed);
        if !within_budget || unread > MAX_UNREAD_BYTES {
            self.fail();
        }
    }
}
