//! The idle connections to one endpoint, in the order in which they became idle.

use crate::gateway::endpoints::connection::EndpointConnection;
use std::rc::Rc;

struct IdleConnection {
    connection: Rc<EndpointConnection>,
    idle_since_ms: f64,
}

/// The idle connections to one endpoint, oldest first.
#[derive(Default)]
pub(crate) struct IdleConnections {
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    pub fn push(&mut self, connection: Rc<EndpointConnection>, idle_since_ms: f64) {
        self.connections.push(IdleConnection {
            connection,
            idle_since_ms,
        });
    }

    /// Takes a usable connection that has been idle since `rested_before_ms` or longer. Of several it is the one
    /// that was used last, so that the others can grow old and be closed. Stale ones found on the way are closed.
    pub fn take_newest(&mut self, rested_before_ms: f64) -> Option<Rc<EndpointConnection>> {
        while let Some(position) = self
            .connections
            .iter()
            .rposition(|idle| idle.idle_since_ms <= rested_before_ms)
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
    pub fn oldest_idle_since_ms(&self) -> Option<f64> {
        self.connections.first().map(|idle| idle.idle_since_ms)
    }

    /// Closes the connection that has been idle the longest.
    pub fn close_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0).connection.close();
        }
    }

    /// Closes the connections that have been idle since before this time.
    pub fn close_idle_since_before(&mut self, before_ms: f64) {
        let expired = self
            .connections
            .iter()
            .take_while(|idle| idle.idle_since_ms < before_ms)
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
