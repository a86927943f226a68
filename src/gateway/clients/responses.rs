//! Response queue of one connection: puts responses into request order and buffers unsent bytes.

use super::close_reason::OutputFailure;
use super::connection_state::OutputState;
use super::response_memory::ConnectionMemory;
use super::socket::ClientSocket;
use crate::RequestId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Buffered bytes at which a connection starts no further commands until some are sent.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Number of bytes from which ready responses are written with more than one call.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Divisor of the unsent bytes for the space that is added when their buffer is full.
const UNSENT_GROWTH_DIVISOR: usize = 8;
/// Response in place of one for which there is no memory. The request may have been executed.
const OUT_OF_MEMORY: &[u8] = b"-ERR no memory for the response\r\n";

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
    /// Number of [`OrderedResponse::Pending`] entries.
    pending: usize,
    /// Bytes that the socket has not accepted yet. They precede the queue.
    unsent: Vec<u8>,
    /// Total size of the [`OrderedResponse::Ready`] entries, in bytes.
    ready_bytes: usize,
    state: OutputState,
    memory: ConnectionMemory,
}

impl Responses {
    pub(super) fn new(memory: ConnectionMemory) -> Responses {
        Responses {
            queue: VecDeque::new(),
            pending: 0,
            unsent: Vec::new(),
            ready_bytes: 0,
            state: OutputState::Writable,
            memory,
        }
    }

    /// Whether a further command may be started: the responses so far leave room for one more. Responses that
    /// the gateway itself holds back for their order never end the connection; they only delay later commands.
    pub(super) fn has_room_for_another(&self) -> bool {
        let buffered = self.buffered_bytes();
        buffered < MAX_BUFFERED_BYTES
            && self.memory.may_buffer_more(buffered)
            && (self.queue.is_empty() || self.memory.has_room_for_another())
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
    pub(super) fn fail(&mut self, failure: OutputFailure) {
        self.state.fail(failure);
    }

    /// Why the output has failed, if it has.
    pub(super) fn failure(&self) -> Option<OutputFailure> {
        self.state.failure()
    }

    pub(super) fn push_pending(&mut self, request: RequestId) {
        self.queue.push_back(OrderedResponse::Pending(request));
        self.pending += 1;
        self.update_memory();
    }

    /// Sets the response to a pending request. Does nothing if the request is not pending.
    pub(super) fn complete(&mut self, request: RequestId, response: &[u8], socket: &ClientSocket) {
        let Some(position) = self.position_of(request) else {
            return;
        };
        self.pending -= 1;
        self.memory.record_response(response.len());
        if position == 0 {
            self.queue.pop_front();
            self.write_or_discard(response, socket);
            self.write_ready(socket);
        } else {
            self.queue[position] = self.hold_back(response);
        }
        self.update_memory();
    }

    /// Appends a response that is already available. Writes it immediately if no earlier response is queued.
    pub(super) fn push_ready(&mut self, response: &[u8], socket: &ClientSocket) {
        if self.queue.is_empty() {
            self.write_or_discard(response, socket);
        } else {
            let entry = self.hold_back(response);
            self.queue.push_back(entry);
        }
        self.update_memory();
    }

    /// Writes as many buffered bytes as the socket accepts.
    pub(super) fn flush(&mut self, socket: &ClientSocket) {
        match socket.write(&self.unsent) {
            Ok(0) => {}
            Ok(accepted) if accepted == self.unsent.len() => {
                self.unsent = Vec::new();
                self.memory.release_rest();
                self.state.accepted_everything();
                self.write_ready(socket);
            }
            Ok(accepted) => {
                self.unsent.drain(..accepted);
                self.release_spare_capacity();
                self.state.accepted_part();
            }
            Err(_) => self.fail(OutputFailure::Write),
        }
        self.update_memory();
    }

    /// Clears the queue and returns the requests that were not answered.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        self.pending = 0;
        self.ready_bytes = 0;
        let queue = std::mem::take(&mut self.queue);
        self.update_memory();
        queue.into_iter().filter_map(|entry| match entry {
            OrderedResponse::Pending(request) => Some(request),
            OrderedResponse::Ready(_) => None,
        })
    }

    fn position_of(&self, request: RequestId) -> Option<usize> {
        self.queue.iter().position(|entry| match entry {
            OrderedResponse::Pending(pending) => *pending == request,
            OrderedResponse::Ready(_) => false,
        })
    }

    fn buffered_bytes(&self) -> usize {
        self.unsent.capacity() + self.ready_bytes
    }

    /// Releases the memory of bytes that were sent, once it is as much as that of the unsent ones.
    fn release_spare_capacity(&mut self) {
        if self.unsent.capacity() > 2 * self.unsent.len() {
            self.unsent.shrink_to_fit();
        }
    }

    /// Updates the memory accounts. Returns `false` if the buffered bytes exceed the memory.
    fn update_memory(&self) -> bool {
        // The response to the first pending request need not be buffered for its order.
        self.memory.set_awaited(self.pending.saturating_sub(1));
        self.memory.set_buffered(self.buffered_bytes())
    }

    /// Buffers a response until the earlier ones are written. Without memory for it, its request fails.
    fn hold_back(&mut self, response: &[u8]) -> OrderedResponse {
        let held = self.fitting(response);
        self.ready_bytes += held.len();
        OrderedResponse::Ready(held.to_vec())
    }

    /// Returns the response if there is memory to buffer it, and an error response otherwise.
    fn fitting<'a>(&self, response: &'a [u8]) -> &'a [u8] {
        let buffered = self.buffered_bytes() + response.len();
        if response.len() <= OUT_OF_MEMORY.len() || self.memory.set_buffered(buffered) {
            return response;
        }
        self.memory.record_discarded();
        OUT_OF_MEMORY
    }

    /// Writes ready responses at the head of the queue, as long as the socket accepts them.
    fn write_ready(&mut self, socket: &ClientSocket) {
        while self.unsent.is_empty() && !self.has_failed() {
            let batch = self.take_ready_batch();
            if batch.is_empty() {
                return;
            }
            let accepted = self.write(&batch, socket);
            self.buffer_unsent(&batch[accepted..]);
        }
    }

    /// Removes ready responses from the head of the queue, to be written with one call.
    fn take_ready_batch(&mut self) -> Vec<u8> {
        let mut batch = Vec::new();
        while batch.len() < WRITE_BATCH_BYTES
            && let Some(OrderedResponse::Ready(response)) = self.queue.front()
        {
            self.ready_bytes -= response.len();
            batch.extend_from_slice(response);
            self.queue.pop_front();
        }
        batch
    }

    /// Writes a response, and buffers the bytes that the socket does not accept. Without memory for a response
    /// of which nothing is written yet, the request fails.
    fn write_or_discard(&mut self, response: &[u8], socket: &ClientSocket) {
        let accepted = self.write(response, socket);
        if accepted == 0 {
            let fitting = self.fitting(response);
            return self.buffer_unsent(fitting);
        }
        self.buffer_unsent(&response[accepted..]);
        let rest = self.unsent.len();
        if !self.update_memory() && rest > 0 && !self.memory.reserve_rest(rest) {
            self.fail(OutputFailure::OutOfMemory);
        }
    }

    /// Writes bytes to the socket unless earlier ones are unsent. Returns the number of accepted bytes.
    fn write(&mut self, bytes: &[u8], socket: &ClientSocket) -> usize {
        if !self.unsent.is_empty() || self.has_failed() {
            return 0;
        }
        socket.write(bytes).unwrap_or_else(|_| {
            self.fail(OutputFailure::Write);
            0
        })
    }

    /// Buffers bytes for the connection task, which writes them when the socket accepts them.
    fn buffer_unsent(&mut self, bytes: &[u8]) {
        // Grows by less than `Vec` does on its own, because spare capacity counts as buffered.
        if self.unsent.capacity() - self.unsent.len() < bytes.len() {
            let growth = bytes.len().max(self.unsent.len() / UNSENT_GROWTH_DIVISOR);
            self.unsent.reserve_exact(growth);
        }
        self.unsent.extend_from_slice(bytes);
        if !self.unsent.is_empty() {
            self.state.blocked();
        }
    }
}
