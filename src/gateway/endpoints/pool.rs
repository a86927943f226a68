//! The connections to all endpoints: opening, keeping idle ones for reuse, closing old ones.

use crate::EndpointName;
use crate::gateway::discovery::EndpointUpdate;
use crate::gateway::endpoints::EndpointEventHandler;
use crate::gateway::endpoints::connection::EndpointConnection;
use crate::gateway::endpoints::permits::{ConnectionPermit, ConnectionPermits};
use crate::gateway::endpoints::registry::{EndpointEntry, EndpointRegistry, RegistryChange};
use crate::gateway::memory_budget::MemoryBudget;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

/// The listed endpoints and the connections to them.
pub(crate) struct EndpointPool {
    registry: EndpointRegistry,
    permits: ConnectionPermits,
    read_memory: MemoryBudget,
    handler: Weak<dyn EndpointEventHandler>,
}

impl EndpointPool {
    /// An empty pool. `max_connections` bounds the connections to all endpoints together, `read_memory_bytes` what
    /// has been read on them of responses that are not complete yet.
    pub fn new(
        max_connections: usize,
        read_memory_bytes: usize,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> EndpointPool {
        EndpointPool {
            registry: EndpointRegistry::default(),
            permits: ConnectionPermits::new(max_connections),
            read_memory: MemoryBudget::new(read_memory_bytes),
            handler,
        }
    }

    /// Applies an update of the list. Closes the idle connections that it makes useless.
    pub fn apply_update(&mut self, update: &EndpointUpdate) -> RegistryChange {
        self.registry.apply(update)
    }

    pub fn get(&self, name: &str) -> Option<&EndpointEntry> {
        self.registry.get(name)
    }

    /// Whether a new command may be sent on a connection: its endpoint is ready, and still the process that the
    /// connection was opened to.
    pub fn is_usable(&self, connection: &EndpointConnection) -> bool {
        self.registry
            .get(&connection.endpoint)
            .is_some_and(|entry| is_current(entry, connection))
    }

    /// A permit for one more connection. When all are in use, the connection that has been idle the longest, to
    /// whichever endpoint, is closed first; without any idle connection there is no permit.
    pub fn acquire_permit(&mut self) -> Option<ConnectionPermit> {
        if self.permits.exhausted() {
            let (_, oldest) = self
                .registry
                .entries_mut()
                .filter_map(|entry| Some((entry.idle.oldest_idle_since_ms()?, entry)))
                .min_by(|(a, _), (b, _)| a.total_cmp(b))?;
            oldest.idle.close_oldest();
        }
        Some(self.permits.issue())
    }

    /// Takes over a socket that has just been opened, and begins to read from it.
    pub fn open_connection(
        &self,
        stream: TcpStream,
        endpoint: EndpointName,
        incarnation: u64,
        permit: ConnectionPermit,
    ) -> Rc<EndpointConnection> {
        EndpointConnection::open(
            stream,
            endpoint,
            incarnation,
            permit,
            self.read_memory.reservation(),
            self.handler.clone(),
        )
    }

    /// Takes an idle connection to this endpoint that has rested since `rested_before_ms`.
    pub fn take_idle(
        &mut self,
        endpoint: &str,
        rested_before_ms: f64,
    ) -> Option<Rc<EndpointConnection>> {
        self.registry
            .get_mut(endpoint)?
            .idle
            .take_newest(rested_before_ms)
    }

    /// Keeps a connection for reuse, or closes it if its endpoint is not ready any more or has restarted.
    pub fn put_idle(&mut self, connection: &Rc<EndpointConnection>, now_ms: f64) {
        connection.unassign();
        match self.registry.get_mut(&connection.endpoint) {
            Some(entry) if is_current(entry, connection) => {
                entry.idle.push(connection.clone(), now_ms);
            }
            _ => connection.close(),
        }
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, connection: &Rc<EndpointConnection>) {
        if let Some(entry) = self.registry.get_mut(&connection.endpoint) {
            entry.idle.remove(connection);
        }
    }

    /// Closes the connections that have been idle since before this time: endpoints close idle connections too,
    /// and a request that crosses such a close is reset.
    pub fn close_idle_since_before(&mut self, before_ms: f64) {
        for entry in self.registry.entries_mut() {
            entry.idle.close_idle_since_before(before_ms);
        }
    }
}

fn is_current(entry: &EndpointEntry, connection: &EndpointConnection) -> bool {
    entry.is_ready() && entry.incarnation == connection.incarnation
}
