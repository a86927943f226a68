//! The connections to all endpoints: opening, keeping idle ones for reuse, closing old ones.

use crate::EndpointName;
use crate::gateway::discovery::EndpointUpdate;
use crate::gateway::endpoints::connection::EndpointConnection;
use crate::gateway::endpoints::dialer::{Connector, Dial, Dialer};
use crate::gateway::endpoints::idle_connections::REUSE_REST;
use crate::gateway::endpoints::permits::{ConnectionPermit, ConnectionPermits};
use crate::gateway::endpoints::registry::{EndpointRegistry, RegisteredEndpoint, RegistryChange};
use crate::gateway::endpoints::{AttemptId, EndpointEventHandler};
use crate::gateway::memory_budget::MemoryBudget;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Idle connections are closed after the time after which endpoints close them, divided by this.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
/// Idle connections are looked through this many times within their idle timeout.
const REAPS_PER_IDLE_TIMEOUT: u32 = 8;
const MIN_REAP_INTERVAL: Duration = Duration::from_millis(50);
const MAX_REAP_INTERVAL: Duration = Duration::from_secs(2);

/// What an [`EndpointPool`] may use.
pub(crate) struct EndpointPoolLimits {
    /// The most connections to all endpoints together, also counting those that are being opened.
    pub max_connections: usize,
    /// The most bytes that have been read, on all connections together, of responses that are not complete yet.
    pub read_memory_bytes: usize,
    /// The longest time that opening a connection may take.
    pub connect_timeout: Duration,
    /// How long endpoints let a connection be idle before they close it.
    pub endpoint_idle_timeout: Duration,
}

/// The listed endpoints and the connections to them.
pub(crate) struct EndpointPool {
    registry: EndpointRegistry,
    permits: ConnectionPermits,
    dialer: Dialer,
    idle_timeout: Duration,
    read_memory: MemoryBudget,
    handler: Weak<dyn EndpointEventHandler>,
}

impl EndpointPool {
    /// An empty pool. What happens on its connections goes to `handler`.
    pub fn new(
        limits: &EndpointPoolLimits,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> EndpointPool {
        EndpointPool {
            registry: EndpointRegistry::default(),
            permits: ConnectionPermits::new(limits.max_connections),
            dialer: Dialer::new(limits.connect_timeout, handler.clone()),
            idle_timeout: limits.endpoint_idle_timeout / IDLE_TIMEOUT_DIVISOR,
            read_memory: MemoryBudget::new(limits.read_memory_bytes),
            handler,
        }
    }

    /// Replaces the way in which connections are opened, which is plain TCP by default.
    pub fn set_connector(&mut self, connector: Connector) {
        self.dialer.set_connector(connector);
    }

    /// Applies an update of the list. Closes the idle connections that it makes useless.
    pub fn apply_update(&mut self, update: &EndpointUpdate) -> RegistryChange {
        self.registry.apply(update)
    }

    /// Whether a new command may be sent on a connection: its endpoint is ready, and still the process that the
    /// connection was opened to.
    pub fn is_usable(&self, connection: &EndpointConnection) -> bool {
        self.registry
            .get(&connection.endpoint)
            .is_some_and(|entry| is_current(entry, connection))
    }

    /// Begins to open a connection for an attempt that has this much time left; an
    /// [`EndpointEvent::ConnectFinished`](crate::gateway::endpoints::EndpointEvent::ConnectFinished) reports the end.
    /// False if that is not possible: the endpoint is not ready, or there is no permit for another connection.
    pub fn dial(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointName,
        remaining: Duration,
    ) -> bool {
        let Some(entry) = self
            .registry
            .get(&endpoint)
            .filter(|entry| entry.is_ready())
        else {
            return false;
        };
        let address = entry.address;
        let incarnation = entry.incarnation;
        let Some(permit) = self.acquire_permit() else {
            return false;
        };
        let dial = Dial {
            attempt,
            endpoint,
            incarnation,
            permit,
        };
        self.dialer.dial(dial, address, remaining);
        true
    }

    /// Takes over the socket that a connect has opened, and begins to read from it.
    pub fn finish_dial(&self, dial: Dial, stream: TcpStream) -> Rc<EndpointConnection> {
        self.open_connection(stream, dial.endpoint, dial.incarnation, dial.permit)
    }

    /// Adds an open connection, on which nothing was sent yet, to the idle connections of a listed endpoint.
    /// Without a permit for it, or if the endpoint is not listed, the connection is closed.
    pub fn adopt_connection(&mut self, endpoint: &str, stream: TcpStream) {
        let Some(incarnation) = self.registry.get(endpoint).map(|entry| entry.incarnation) else {
            return;
        };
        let Some(permit) = self.acquire_permit() else {
            return;
        };
        let connection = self.open_connection(stream, endpoint.into(), incarnation, permit);
        // It carried no response, so it needs no rest.
        let now = Instant::now();
        self.put_idle(&connection, now.checked_sub(REUSE_REST).unwrap_or(now));
    }

    fn open_connection(
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

    /// A permit for one more connection. When all are in use, the connection that has been idle the longest, to
    /// whichever endpoint, is closed first; without any idle connection there is no permit.
    fn acquire_permit(&mut self) -> Option<ConnectionPermit> {
        if self.permits.exhausted() {
            let (_, oldest) = self
                .registry
                .entries_mut()
                .filter_map(|entry| Some((entry.idle.oldest_idle_since()?, entry)))
                .min_by_key(|(idle_since, _)| *idle_since)?;
            oldest.idle.close_oldest();
        }
        Some(self.permits.issue())
    }

    /// Takes an idle connection to this endpoint that may be used again.
    pub fn take_idle(&mut self, endpoint: &str, now: Instant) -> Option<Rc<EndpointConnection>> {
        self.registry.get_mut(endpoint)?.idle.take_newest(now)
    }

    /// Keeps a connection for reuse, or closes it if its endpoint is not ready any more or has restarted.
    pub fn put_idle(&mut self, connection: &Rc<EndpointConnection>, idle_since: Instant) {
        connection.unassign();
        match self.registry.get_mut(&connection.endpoint) {
            Some(entry) if is_current(entry, connection) => {
                entry.idle.push(connection.clone(), idle_since);
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

    /// Closes the connections that have been idle for too long, and says when to look again: endpoints close idle
    /// connections too, and a request that crosses such a close is reset.
    pub fn reap_idle(&mut self, now: Instant) -> Instant {
        for entry in self.registry.entries_mut() {
            entry.idle.close_idle_longer_than(self.idle_timeout, now);
        }
        let interval = self.idle_timeout / REAPS_PER_IDLE_TIMEOUT;
        now + interval.clamp(MIN_REAP_INTERVAL, MAX_REAP_INTERVAL)
    }
}

fn is_current(entry: &RegisteredEndpoint, connection: &EndpointConnection) -> bool {
    entry.is_ready() && entry.incarnation == connection.incarnation
}
