//! The responses of one connection: their order, and the bytes that the socket has not accepted yet.

use super::connection_state::OutputState;
use super::socket::ClientSocket;
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A connection whose client does not read this many bytes of responses is closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;

/// A response in the order of its connection.
enum OrderedResponse {
    /// The request has no response yet.
    Pending(RequestId),
    /// The response waits for an earlier one.
    Ready(Vec<u8>),
}

/// The responses of one connection, given in any order and written in the order of the requests.
pub(super) struct Responses {
    queue: VecDeque<OrderedResponse>,
    /// Bytes that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// Bytes of responses that wait for an earlier one.
    ready_bytes: usize,
    state: OutputState,
    memory: MemoryReservation,
    /// Bytes that are allowed also while the memory budget of all connections is exhausted.
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

    /// The number of responses that are pending, or wait for a pending one.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether every response was given and accepted by the socket.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.unsent.is_empty()
    }

    /// Whether some bytes wait for the socket to accept them.
    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Whether no response can be delivered any more.
    pub(super) fn has_failed(&self) -> bool {
        self.state.has_failed()
    }

    /// Whether the socket has accepted nothing for longer than `limit`.
    pub(super) fn is_stalled(&self, now: Instant, limit: Duration) -> bool {
        self.state.is_stalled(now, limit)
    }

    /// Gives up all responses: nothing more is written.
    pub(super) fn fail(&mut self) {
        self.state.fail();
    }

    /// Expects the response to a request, behind all that were expected before.
    pub(super) fn expect(&mut self, request: RequestId) {
        self.queue.push_back(OrderedResponse::Pending(request));
    }

    /// Gives the response to a request. Nothing happens if none is pending.
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

    /// Adds a response that is known at once, behind all that were expected before.
    pub(super) fn push(&mut self, response: &[u8], socket: &ClientSocket) {
        if self.queue.is_empty() {
            self.write(response, socket);
        } else {
            self.queue
                .push_back(OrderedResponse::Ready(response.to_vec()));
            self.ready_bytes += response.len();
        }
        self.enforce_limits();
    }

    /// Writes what the socket has not accepted before.
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

    /// Stops expecting responses, and returns the requests that have no response.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        std::mem::take(&mut self.queue)
            .into_iter()
            .filter_map(|entry| match entry {
                OrderedResponse::Pending(request) => Some(request),
                OrderedResponse::Ready(_) => None,
            })
    }

    /// Writes the responses that waited for the first one, in one call.
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

    /// Writes bytes to the socket. The connection's task writes what is not accepted.
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

    /// Fails the connection of a client that sends requests and never reads: it must not fill the memory.
    fn enforce_limits(&mut self) {
        let unread = self.unsent.len() + self.ready_bytes;
        let within_budget = self.memory.set(unread, self.always_allowed);
        if !within_budget || unread > MAX_UNREAD_BYTES {
            self.fail();
        }
    }
}
