//! Table of all client connections: its size limit, eviction, and timeouts.

use super::connection::ClientConnection;
use super::pace::{CommandPace, TotalPace};
use super::response_memory::ResponseMemory;
use crate::RequestId;
use crate::gateway::log::{self, LogEvent};
use crate::gateway::memory_budget::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

pub use super::connection::REQUEST_TIMEOUT;

/// Idle timeout between commands while at most half of the table is in use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle timeout between commands while more than half of the table is in use.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most that each connection may use for its input, and again for its responses, even if the memory
/// budgets are exhausted.
const MAX_ALWAYS_ALLOWED_BYTES: usize = 16 * 1024;
/// The fraction of the table that is given up at once, as a divisor, if no connection is between requests.
/// Each of them keeps its place for a moment, so that its client can read the error.
const GIVEN_UP_DIVISOR: usize = 8;
/// Interval between timeout checks.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two log lines about discarded responses.
const DISCARD_LOG_INTERVAL: Duration = Duration::from_secs(2);

type ConnectionTable = HashMap<RequestId, Rc<ClientConnection>>;

/// The table of all client connections. It bounds their number and their memory.
pub struct ClientConnections {
    table: RefCell<ConnectionTable>,
    max_connections: usize,
    closed: Notify,
    /// Whether all connections are being closed, including newly accepted ones.
    is_closing: Cell<bool>,
    input_budget: MemoryBudget,
    response_memory: ResponseMemory,
    discards_logged_at: Cell<Option<Instant>>,
    total_pace: TotalPace,
}

impl ClientConnections {
    /// Creates an empty table. `memory` is a limit in bytes that applies twice: to the partial commands
    /// of all connections, and to the buffered responses.
    #[must_use]
    pub fn new(max_connections: usize, memory: usize) -> Rc<ClientConnections> {
        let budget = || MemoryBudget::for_owners(memory, max_connections, MAX_ALWAYS_ALLOWED_BYTES);
        Rc::new(ClientConnections {
            table: RefCell::default(),
            max_connections,
            closed: Notify::new(),
            is_closing: Cell::new(false),
            input_budget: budget(),
            response_memory: ResponseMemory::new(budget()),
            discards_logged_at: Cell::new(None),
            total_pace: TotalPace::new(tokio::time::Instant::now()),
        })
    }

    /// Checks the timeouts of all connections periodically, until the future is dropped.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let now = Instant::now();
            self.expire(now);
            self.log_discarded_responses(now);
        }
    }

    fn log_discarded_responses(&self, now: Instant) {
        let is_due =
            |logged_at: Instant| now.saturating_duration_since(logged_at) >= DISCARD_LOG_INTERVAL;
        if !self.discards_logged_at.get().is_none_or(is_due) {
            return;
        }
        let count = self.response_memory.take_discarded();
        if count > 0 {
            self.discards_logged_at.set(Some(now));
            log::event(&LogEvent::ResponsesDiscarded { count });
        }
    }

    /// Closes connections that have exceeded a timeout at `now`. The idle timeout is shorter while more
    /// than half of the table is in use.
    pub fn expire(&self, now: Instant) {
        let table = self.table.borrow();
        let idle_timeout = if table.len() > self.max_connections / 2 {
            SHORT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        for connection in table.values() {
            connection.expire(now, idle_timeout);
        }
    }

    /// Whether no client is connected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.table.borrow().len() >= self.max_connections
    }

    /// Number of connections whose client has disconnected according to the socket, but which are still
    /// in the table.
    #[must_use]
    pub fn disconnected_count(&self) -> usize {
        self.table
            .borrow()
            .values()
            .filter(|connection| connection.is_disconnected())
            .count()
    }

    /// Waits until a connection is removed from the table.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }

    /// Closes all current and future connections, each as soon as it is between requests.
    pub fn close_when_idle(&self) {
        self.is_closing.set(true);
        for connection in self.table.borrow().values() {
            connection.request_close();
        }
    }

    /// Makes room in the table: closes the connection that has been between requests longest. If there is
    /// none, some connections that have waited longest for the rest of their first command get an error.
    /// Later commands of which a part has been received are completed or end at the request timeout.
    pub(super) fn evict(&self) {
        let table = self.table.borrow();
        if let Some(connection) = self.longest_between_requests(&table) {
            connection.request_close();
            return;
        }
        let mut receiving: Vec<_> = table
            .values()
            .filter(|connection| connection.is_receiving_first_command())
            .collect();
        receiving.sort_by_key(|connection| connection.last_active());
        let batch = self.max_connections.div_ceil(GIVEN_UP_DIVISOR);
        for connection in receiving.into_iter().take(batch) {
            connection.give_up_command();
        }
    }

    /// Returns the connection that has been between requests longest and is not closing yet. If connections
    /// that never sent a command occupy more than half of the table, they come first. A smaller number may
    /// be connection pools that clients opened in advance.
    fn longest_between_requests<'a>(
        &self,
        table: &'a ConnectionTable,
    ) -> Option<&'a Rc<ClientConnection>> {
        let without_command = table
            .values()
            .filter(|connection| !connection.has_sent_command())
            .count();
        let is_flood = without_command > self.max_connections / 2;
        table
            .values()
            .filter(|connection| !connection.is_closing() && connection.is_between_requests())
            .min_by_key(|connection| {
                let is_protected = is_flood && connection.has_sent_command();
                (is_protected, connection.last_active())
            })
    }

    /// Returns the pace of a new connection.
    pub(super) fn pace(&self) -> CommandPace {
        self.total_pace.connection(tokio::time::Instant::now())
    }

    pub(super) fn register(self: &Rc<Self>, id: RequestId, stream: TcpStream) -> Registration {
        let connection = Rc::new(ClientConnection::new(
            stream,
            self.is_closing.get(),
            self.input_budget.reservation(),
            self.response_memory.connection(),
        ));
        self.table.borrow_mut().insert(id, connection.clone());
        Registration {
            connections: self.clone(),
            id,
            connection,
        }
    }
}

/// Entry of a connection in the table. Dropping it removes the connection and notifies a task that waits for
/// a free entry.
pub(super) struct Registration {
    connections: Rc<ClientConnections>,
    pub(super) id: RequestId,
    pub(super) connection: Rc<ClientConnection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(&self.id);
        self.connections.closed.notify_one();
    }
}
