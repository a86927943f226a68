//! The idle connections to one endpoint, in the order in which they became idle.

use crate::gateway::endpoints::connection::EndpointConnection;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection rests this long after a response before it is used again: surplus bytes of the response may arrive
/// a moment later, and must not be taken for the next response.
pub(super) const REUSE_REST: Duration = Duration::from_millis(5);

struct IdleConnection {
    connection: Rc<EndpointConnection>,
    idle_since: Instant,
}

/// The idle connections to one endpoint, oldest first.
#[derive(Default)]
pub(crate) struct IdleConnections {
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    pub fn push(&mut self, connection: Rc<EndpointConnection>, idle_since: Instant) {
        self.connections.push(IdleConnection {
            connection,
            idle_since,
        });
    }

    /// Takes a usable connection that has rested for [`REUSE_REST`]. Of several it is the one that was used last, so
    /// that the others can grow old and be closed. Stale ones found on the way are closed.
    pub fn take_newest(&mut self, now: Instant) -> Option<Rc<EndpointConnection>> {
        while let Some(position) = self
            .connections
            .iter()
            .rposition(|idle| now.saturating_duration_since(idle.idle_since) >= REUSE_REST)
        {
            let connection = self.connections.remove(position).connection;
            if !connection.is_stale() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Since when the oldest connection has been idle; `None` if there is none.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(|idle| idle.idle_since)
    }

    /// Closes the connection that has been idle the longest.
    pub fn close_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0).connection.close();
        }
    }

    /// Closes the connections that have been idle for longer than this.
    pub fn close_idle_longer_than(&mut self, limit: Duration, now: Instant) {
        let expired = self
            .connections
            .iter()
            .take_while(|idle| now.saturating_duration_since(idle.idle_since) > limit)
            .count();
        for idle in self.connections.drain(..expired) {
            idle.connection.close();
        }
    }

    pub fn close_all(&mut self) {
        for idle in self.connections.drain(..) {
            idle.connection.close();
        }
    }

    /// Drops a connection that has ended by itself.
    pub fn remove(&mut self, ended: &Rc<EndpointConnection>) {
        self.connections
            .retain(|idle| !Rc::ptr_eq(&idle.connection, ended));
    }
}
