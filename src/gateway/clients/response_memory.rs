//! Memory for the responses that the gateway buffers for its clients, and the expected need for more of it.
//!
//! Responses are sent in request order, so a response that is complete before an earlier one is buffered. How
//! much memory that takes is known only once the responses arrive. A request that may need such a buffer
//! should therefore be started only if a response of the expected size would still fit.

use crate::gateway::memory_budget::{MemoryBudget, MemoryReservation};
use std::cell::Cell;
use std::rc::Rc;

/// Divisor of the part by which the expected size falls with each response that is smaller. One long response
/// thus counts for some tens of later ones.
const EXPECTED_SIZE_DECAY_DIVISOR: usize = 32;

/// Divisor of the memory for the rests of partly written responses that exceed it. There is at most one for each
/// connection.
const REST_DIVISOR: usize = 2;

/// The memory for the responses of all client connections. Clones share it.
#[derive(Clone)]
pub(super) struct ResponseMemory {
    budget: MemoryBudget,
    /// For the rests of partly written responses, beyond `budget`.
    rests: MemoryBudget,
    shared: Rc<SharedState>,
}

#[derive(Default)]
struct SharedState {
    /// Requests of all connections whose response may arrive before that to an earlier request.
    awaited: Cell<usize>,
    /// Size of a large response, in bytes: a maximum that decays with each smaller response.
    expected_size: Cell<usize>,
    /// Responses that were discarded since the last call to [`ResponseMemory::take_discarded`].
    discarded: Cell<u32>,
}

/// The part of a [`ResponseMemory`] that one connection uses. Dropping it releases the memory.
pub(super) struct ConnectionMemory {
    memory: ResponseMemory,
    buffered: MemoryReservation,
    rest: MemoryReservation,
    awaited: Cell<usize>,
}

impl ResponseMemory {
    /// Creates a memory with this budget.
    pub(super) fn new(budget: MemoryBudget) -> ResponseMemory {
        ResponseMemory {
            rests: MemoryBudget::new(budget.limit() / REST_DIVISOR, 0),
            budget,
            shared: Rc::default(),
        }
    }

    /// Creates the part of a new connection.
    pub(super) fn connection(&self) -> ConnectionMemory {
        ConnectionMemory {
            memory: self.clone(),
            buffered: self.budget.reservation(),
            rest: self.rests.reservation(),
            awaited: Cell::new(0),
        }
    }

    /// Returns the number of responses that were discarded since the last call.
    pub(super) fn take_discarded(&self) -> u32 {
        self.shared.discarded.take()
    }
}

impl ConnectionMemory {
    /// Sets the number of buffered bytes, even if that exceeds the memory. Returns `false` if it does.
    pub(super) fn set_buffered(&self, bytes: usize) -> bool {
        self.buffered.set(bytes)
    }

    /// Reserves memory for the rest of a partly written response that exceeds the memory. Returns `false` if there
    /// is none.
    pub(super) fn reserve_rest(&self, bytes: usize) -> bool {
        self.rest.set(bytes)
    }

    /// Releases what [`reserve_rest`](Self::reserve_rest) has reserved.
    pub(super) fn release_rest(&self) {
        self.rest.set(0);
    }

    /// Sets the number of requests whose response may arrive before that to an earlier request.
    pub(super) fn set_awaited(&self, requests: usize) {
        let total = &self.memory.shared.awaited;
        let previous = self.awaited.replace(requests);
        total.set(total.get() - previous + requests);
    }

    /// Records the size of a response, from which the size of later ones is expected.
    pub(super) fn record_response(&self, bytes: usize) {
        let expected = &self.memory.shared.expected_size;
        let decayed = expected.get() - expected.get() / EXPECTED_SIZE_DECAY_DIVISOR;
        expected.set(decayed.max(bytes));
    }

    /// Counts a response that was discarded for lack of memory.
    pub(super) fn record_discarded(&self) {
        let discarded = &self.memory.shared.discarded;
        discarded.set(discarded.get().saturating_add(1));
    }

    /// Whether this connection, with this number of buffered bytes, may buffer more.
    pub(super) fn may_buffer_more(&self, buffered: usize) -> bool {
        let budget = &self.memory.budget;
        buffered <= budget.always_allowed() || budget.available() > 0
    }

    /// Whether the response to one more request could be buffered, with those to all requests that wait for
    /// an earlier one.
    pub(super) fn has_room_for_another(&self) -> bool {
        let SharedState {
            awaited,
            expected_size,
            ..
        } = &*self.memory.shared;
        let needed = (awaited.get() + 1).saturating_mul(expected_size.get());
        needed <= self.memory.budget.available()
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.set_awaited(0);
    }
}
