//! The connection pool for all endpoints: opens connections, keeps idle ones for reuse, and closes old ones.

use crate::EndpointName;
use crate::gateway::discovery::EndpointUpdate;
use crate::gateway::endpoints::connection::{EndpointConnection, RETAINED_BUFFER_BYTES};
use crate::gateway::endpoints::dialer::{Connector, Dial, Dialer};
use crate::gateway::endpoints::idle_connections::REUSE_DELAY;
use crate::gateway::endpoints::permits::{ConnectionPermit, ConnectionPermits};
use crate::gateway::endpoints::registry::{EndpointRegistry, RegisteredEndpoint, RegistryChange};
use crate::gateway::endpoints::{AttemptId, EndpointEventHandler};
use crate::gateway::memory_budget::MemoryBudget;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Divides the endpoints' idle timeout into that of the pool, so that the pool closes an idle connection
/// first.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
/// How often idle connections are checked for expiry within one idle timeout.
const REAPS_PER_IDLE_TIMEOUT: u32 = 8;
const MIN_REAP_INTERVAL: Duration = Duration::from_millis(50);
const MAX_REAP_INTERVAL: Duration = Duration::from_secs(2);

/// The resource limits of an [`EndpointPool`].
pub(crate) struct EndpointPoolLimits {
    /// The limit on connections to all endpoints together, including those being opened.
    pub max_connections: usize,
    /// The limit on buffered bytes of incomplete responses, for all connections together.
    pub read_memory_bytes: usize,
    /// The upper bound on the time to open a connection.
    pub connect_timeout: Duration,
    /// How long a connection may be idle before the endpoint closes it.
    pub endpoint_idle_timeout: Duration,
}

/// The registered endpoints, their idle connections, and the limits that all connections share.
pub(crate) struct EndpointPool {
    registry: EndpointRegistry,
    permits: ConnectionPermits,
    dialer: Dialer,
    idle_timeout: Duration,
    read_memory: MemoryBudget,
    handler: Weak<dyn EndpointEventHandler>,
}

impl EndpointPool {
    /// Creates an empty pool that reports the events of its connections to `handler`.
    pub fn new(
        limits: &EndpointPoolLimits,
        handler: Weak<dyn EndpointEventHandler>,
    ) -> EndpointPool {
        EndpointPool {
            registry: EndpointRegistry::default(),
            permits: ConnectionPermits::new(limits.max_connections),
            dialer: Dialer::new(limits.connect_timeout, handler.clone()),
            idle_timeout: limits.endpoint_idle_timeout / IDLE_TIMEOUT_DIVISOR,
            read_memory: MemoryBudget::for_owners(
                limits.read_memory_bytes,
                limits.max_connections,
                RETAINED_BUFFER_BYTES,
            ),
            handler,
        }
    }

    /// Replaces the function that opens connections. The default opens plain TCP connections.
    pub fn set_connector(&mut self, connector: Connector) {
        self.dialer.set_connector(connector);
    }

    /// Applies an update from discovery, and closes the idle connections that it makes unusable.
    pub fn apply_update(&mut self, update: &EndpointUpdate) -> RegistryChange {
        self.registry.apply(update)
    }

    /// Whether a new command may be sent on a connection: its endpoint is ready and has not restarted or
    /// moved to another address since the connection was opened.
    pub fn is_usable(&self, connection: &EndpointConnection) -> bool {
        self.registry
            .get(&connection.endpoint)
            .is_some_and(|entry| is_current(entry, connection))
    }

    /// Starts to open a connection for an attempt whose remaining time is `remaining`. An
    /// [`EndpointEvent::ConnectFinished`](crate::gateway::endpoints::EndpointEvent::ConnectFinished) reports
    /// the result. Returns `false` if the endpoint is not ready or no connection permit is available.
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

    /// Turns the socket of a successful connect into a connection, and starts to read from it.
    pub fn finish_dial(&self, dial: Dial, stream: TcpStream) -> Rc<EndpointConnection> {
        self.open_connection(stream, dial.endpoint, dial.incarnation, dial.permit)
    }

    /// Adds an open, unused connection to the idle connections of an endpoint. Closes it if the endpoint is
    /// not registered or no connection permit is available.
    pub fn adopt_connection(&mut self, endpoint: &str, stream: TcpStream) {
        let Some(incarnation) = self.registry.get(endpoint).map(|entry| entry.incarnation) else {
            return;
        };
        let Some(permit) = self.acquire_permit() else {
            return;
        };
        let connection = self.open_connection(stream, endpoint.into(), incarnation, permit);
        // No response was received on this connection, so the reuse delay does not apply.
        let now = Instant::now();
        self.put_idle(&connection, now.checked_sub(REUSE_DELAY).unwrap_or(now));
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

    /// Returns a permit for one more connection. If all permits are in use, closes the longest idle
    /// connection of any endpoint first. Returns `None` if there is no idle connection to close.
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

    /// Removes and returns an idle connection to this endpoint that can be reused.
    pub fn take_idle(&mut self, endpoint: &str, now: Instant) -> Option<Rc<EndpointConnection>> {
        self.registry.get_mut(endpoint)?.idle.take_newest(now)
    }

    /// Keeps a connection for reuse, or closes it if its endpoint is no longer ready, has restarted or has
    /// moved.
    pub fn put_idle(&mut self, connection: &Rc<EndpointConnection>, idle_since: Instant) {
        connection.unassign();
        match self.registry.get_mut(&connection.endpoint) {
            Some(entry) if is_current(entry, connection) => {
                entry.idle.push(connection.clone(), idle_since);
            }
            _ => connection.close(),
        }
    }

    /// Removes a connection that was closed by the endpoint or the network.
    pub fn remove(&mut self, connection: &Rc<EndpointConnection>) {
        if let Some(entry) = self.registry.get_mut(&connection.endpoint) {
            entry.idle.remove(connection);
        }
    }

    /// Closes the connections whose idle timeout has expired, and returns the time of the next check. The
    /// pool must close idle connections before the endpoints do, because a request sent while the endpoint
    /// closes its connection is reset.
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
