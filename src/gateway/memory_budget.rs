//! A shared limit on the buffer memory of many connections, in addition to the limit of each connection.

use std::cell::Cell;
use std::rc::Rc;

/// Divisor of the limit for what all owners together may use beyond it.
const ALWAYS_ALLOWED_DIVISOR: usize = 4;

/// A limit in bytes on the sum of all [`MemoryReservation`]s made from it. Clones share the limit.
///
/// So that nobody can lock out all others, each owner may use a small amount even if the budget is exhausted.
#[derive(Clone)]
pub struct MemoryBudget {
    reserved: Rc<Cell<usize>>,
    limit: usize,
    always_allowed: usize,
}

/// The share of a [`MemoryBudget`] that one connection holds. Dropping the reservation releases it.
pub struct MemoryReservation {
    budget: MemoryBudget,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, of which none are reserved. Every owner may use `always_allowed`
    /// bytes regardless of the others.
    #[must_use]
    pub fn new(limit: usize, always_allowed: usize) -> MemoryBudget {
        MemoryBudget {
            reserved: Rc::default(),
            limit,
            always_allowed,
        }
    }

    /// Creates a budget for up to `owners` owners. What they may use regardless of each other is at most
    /// `max_always_allowed` bytes for each, and a quarter of the limit for all.
    #[must_use]
    pub fn for_owners(limit: usize, owners: usize, max_always_allowed: usize) -> MemoryBudget {
        let part = limit / ALWAYS_ALLOWED_DIVISOR / owners.max(1);
        MemoryBudget::new(limit, part.min(max_always_allowed))
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that every owner may use regardless of the others.
    #[must_use]
    pub fn always_allowed(&self) -> usize {
        self.always_allowed
    }

    /// Returns the number of bytes that are not reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.reserved.get())
    }

    /// Creates a reservation of 0 bytes, to be resized with [`MemoryReservation::set`].
    #[must_use]
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            reserved: Cell::new(0),
        }
    }
}

impl MemoryReservation {
    /// Sets the reservation to `bytes`, even if that exceeds the budget. Returns `false` if the owner must
    /// release memory, which is the case when all reservations together exceed the budget and this one
    /// exceeds the amount that is always allowed.
    pub fn set(&self, bytes: usize) -> bool {
        let total = &self.budget.reserved;
        let previous = self.reserved.replace(bytes);
        total.set(total.get() - previous + bytes);
        bytes <= self.budget.always_allowed || total.get() <= self.budget.limit
    }

    /// Whether this reservation may grow: the budget is not exhausted, or less is reserved than is always
    /// allowed.
    #[must_use]
    pub fn may_grow(&self) -> bool {
        self.reserved.get() < self.budget.always_allowed || self.budget.available() > 0
    }

    /// Returns the number of bytes that are always allowed.
    #[must_use]
    pub fn always_allowed(&self) -> usize {
        self.budget.always_allowed
    }

    /// Whether less than half of the budget is reserved, so that an owner may use it for convenience.
    #[must_use]
    pub fn is_ample(&self) -> bool {
        self.budget.available() > self.budget.limit / 2
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
