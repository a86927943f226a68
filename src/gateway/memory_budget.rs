//! A limit on the memory that all connections of a kind use together, in addition to the limit of each one.

use std::cell::Cell;
use std::rc::Rc;

/// A limit in bytes that many [`MemoryReservation`]s share.
#[derive(Clone)]
pub struct MemoryBudget {
    reserved: Rc<Cell<usize>>,
    limit: usize,
}

/// The part of a [`MemoryBudget`] that one connection uses. Dropping it releases the part.
pub struct MemoryReservation {
    budget: MemoryBudget,
    reserved: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget {
            reserved: Rc::default(),
            limit,
        }
    }

    /// Creates a reservation of 0 bytes.
    #[must_use]
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            reserved: Cell::new(0),
        }
    }
}

impl MemoryReservation {
    /// Changes the reservation to `bytes`, in any case. Returns false when the owner has to release memory: the
    /// reservations together exceed the budget and this one exceeds `always_allowed`, which every owner may use.
    pub fn set(&self, bytes: usize, always_allowed: usize) -> bool {
        let total = &self.budget.reserved;
        let previous = self.reserved.replace(bytes);
        total.set(total.get() - previous + bytes);
        bytes <= always_allowed || total.get() <= self.budget.limit
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set(0, 0);
    }
}
