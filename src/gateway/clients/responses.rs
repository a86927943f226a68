//! The responses of one connection: their order, and the bytes that the socket has not accepted yet.

use super::socket::ClientSocket;
use crate::RequestId;
use crate::gateway::memory_budget::MemoryReservation;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A connection whose client does not read this many bytes of responses is closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;

/// The place of a response in the order of its connection.
enum Slot {
    /// The request has no response yet.
    Pending(RequestId),
    /// The response waits for an earlier one.
    Ready(Vec<u8>),
}

/// Whether the socket accepts what is written.
#[derive(Clone, Copy)]
enum WriteState {
    /// Everything was accepted.
    Writable,
    /// Some bytes were not accepted. The last ones that were, or the first that were not, date from `since`.
    Blocked { since: Instant },
    /// The connection failed, or the client left too much unread.
    Failed,
}

/// The responses of one connection, given in any order and written in the order of the requests.
pub(super) struct Responses {
    slots: VecDeque<Slot>,
    /// Bytes that the socket has not accepted yet.
    unsent: Vec<u8>,
    /// Bytes of responses that wait for an earlier one.
    ready_bytes: usize,
    state: WriteState,
    memory: MemoryReservation,
    /// Bytes that are allowed also while the memory budget of all connections is exhausted.
    always_allowed: usize,
}

impl Responses {
    pub(super) fn new(memory: MemoryReservation, always_allowed: usize) -> Responses {
        Responses {
            slots: VecDeque::new(),
            unsent: Vec::new(),
            ready_bytes: 0,
            state: WriteState::Writable,
            memory,
            always_allowed,
        }
    }

    /// The number of responses that are pending, or wait for a pending one.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether every response was given and accepted by the socket.
    pub(super) fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.unsent.is_empty()
    }

    /// Whether some bytes wait for the socket to accept them.
    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Whether no response can be delivered any more.
    pub(super) fn has_failed(&self) -> bool {
        matches!(self.state, WriteState::Failed)
    }

    /// Whether the socket has accepted nothing for longer than `limit`.
    pub(super) fn is_stalled(&self, now: Instant, limit: Duration) -> bool {
        matches!(self.state, WriteState::Blocked { since } if now.saturating_duration_since(since) > limit)
    }

    /// Gives up all responses: nothing more is written.
    pub(super) fn fail(&mut self) {
        self.state = WriteState::Failed;
    }

    /// Adds a place for the response to a request.
    pub(super) fn expect(&mut self, request: RequestId) {
        self.slots.push_back(Slot::Pending(request));
    }

    /// Gives the response to a request. Nothing happens if none is pending.
    pub(super) fn complete(&mut self, request: RequestId, response: &[u8], socket: &ClientSocket) {
        if matches!(self.slots.front(), Some(Slot::Pending(first)) if *first == request) {
            self.slots.pop_front();
            self.write(response, socket);
            self.write_ready(socket);
        } else if let Some(slot) = self
            .slots
            .iter_mut()
            .find(|slot| matches!(slot, Slot::Pending(pending) if *pending == request))
        {
            *slot = Slot::Ready(response.to_vec());
            self.ready_bytes += response.len();
        }
        self.enforce_limits();
    }

    /// Adds a response that is known at once, behind all that were expected before.
    pub(super) fn push(&mut self, response: &[u8], socket: &ClientSocket) {
        if self.slots.is_empty() {
            self.write(response, socket);
        } else {
            self.slots.push_back(Slot::Ready(response.to_vec()));
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
                self.set_unless_failed(WriteState::Writable);
            }
            Ok(accepted) => {
                self.unsent.drain(..accepted);
                self.set_unless_failed(WriteState::Blocked {
                    since: Instant::now(),
                });
            }
            Err(_) => self.fail(),
        }
        self.memory
            .set(self.unsent.len() + self.ready_bytes, self.always_allowed);
    }

    /// Removes all places, and returns the requests that have no response.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> + use<> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .filter_map(|slot| match slot {
                Slot::Pending(request) => Some(request),
                Slot::Ready(_) => None,
            })
    }

    /// Writes the responses that waited for the first one, in one call.
    fn write_ready(&mut self, socket: &ClientSocket) {
        let mut bytes = Vec::new();
        while matches!(self.slots.front(), Some(Slot::Ready(_)))
            && let Some(Slot::Ready(response)) = self.slots.pop_front()
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
        if !self.unsent.is_empty() && matches!(self.state, WriteState::Writable) {
            self.state = WriteState::Blocked {
                since: Instant::now(),
            };
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

    fn set_unless_failed(&mut self, state: WriteState) {
        if !self.has_failed() {
            self.state = state;
        }
    }
}
