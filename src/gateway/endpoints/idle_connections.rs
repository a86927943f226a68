//! The idle connections to one endpoint, available for reuse.

use crate::gateway::endpoints::connection::EndpointConnection;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The minimum time between a response and the reuse of its connection. Surplus bytes of the response may
/// arrive a moment later and must not be taken for the next response.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(5);

struct IdleConnection {
    connection: Rc<EndpointConnection>,
    idle_since: Instant,
}

/// Idle connections in the order in which they became idle.
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

    /// Removes and returns the most recently used connection that has been idle for at least [`REUSE_DELAY`].
    /// Choosing the most recent one lets surplus connections reach their idle timeout. Closes stale
    /// connections that it finds.
    pub fn take_newest(&mut self, now: Instant) -> Option<Rc<EndpointConnection>> {
        while let Some(position) = self
            .connections
            .iter()
            .rposition(|idle| now.saturating_duration_since(idle.idle_since) >= REUSE_DELAY)
        {
            let connection = self.connections.remove(position).connection;
            if !connection.is_stale() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Returns the time since which the longest idle connection has been idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(|idle| idle.idle_since)
    }

    /// Closes the longest idle connection, if there is one.
    pub fn close_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0).connection.close();
        }
    }

    /// Closes the connections that have been idle for longer than `limit`.
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

    /// Removes a connection that was closed by the endpoint or the network.
    pub fn remove(&mut self, ended: &Rc<EndpointConnection>) {
        self.connections
            .retain(|idle| !Rc::ptr_eq(&idle.connection, ended));
    }
}
