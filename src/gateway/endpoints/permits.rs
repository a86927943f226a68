//! Permits that bound the number of open connections to all endpoints together.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the connections that are open or being opened.
pub(crate) struct ConnectionPermits {
    in_use: Rc<Cell<usize>>,
    limit: usize,
}

/// Permission for one connection, from before its connect until its descriptor is really closed.
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

    /// Whether all permits are in use.
    pub fn exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Issues a permit, also past the limit: the caller has then closed an idle connection, whose own permit is
    /// released as soon as its task has ended.
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
