//! Permits that limit the total number of connections to all endpoints.

use std::cell::Cell;
use std::rc::Rc;

/// Issues permits and counts those in use.
pub(crate) struct ConnectionPermits {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// A permit for one connection. It is held from before the connect until the file descriptor is closed.
pub(crate) struct ConnectionPermit {
    in_use: Rc<Cell<usize>>,
}

impl ConnectionPermits {
    pub fn new(limit: usize) -> ConnectionPermits {
        ConnectionPermits {
            in_use: Rc::default(),
            limit,
        }
    }

    pub fn exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Issues a permit, even beyond the limit. At the limit the caller must first close an idle connection,
    /// whose permit is released as soon as its task has ended.
    pub fn issue(&self) -> ConnectionPermit {
        self.in_use.set(self.in_use.get() + 1);
        ConnectionPermit {
            in_use: self.in_use.clone(),
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
