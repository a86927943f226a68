//! The table of all client connections: its size, the eviction of idle connections, and their expiry.

use super::connection::ClientConnection;
use super::connection_state::CloseWhen;
use crate::RequestId;
use crate::gateway::memory_budget::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

pub use super::connection::REQUEST_TIMEOUT;

/// A connection may pause this long between commands.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The same while more than half of the table is in use.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the timeouts are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// The table of all client connections.
pub struct ClientConnections {
    table: RefCell<HashMap<RequestId, Rc<ClientConnection>>>,
    max_connections: usize,
    closed: Notify,
    /// Whether all connections are being closed, and new ones are to be closed as well.
    is_closing: Cell<bool>,
    input_budget: MemoryBudget,
    response_budget: MemoryBudget,
}

impl ClientConnections {
    /// Creates an empty table. `memory` limits the bytes of partial commands that all connections together hold, and
    /// as well the bytes of responses that clients do not read.
    #[must_use]
    pub fn new(max_connections: usize, memory: usize) -> Rc<ClientConnections> {
        Rc::new(ClientConnections {
            table: RefCell::default(),
            max_connections,
            closed: Notify::new(),
            is_closing: Cell::new(false),
            input_budget: MemoryBudget::new(memory),
            response_budget: MemoryBudget::new(memory),
        })
    }

    /// Applies the timeouts of all connections periodically, until the future is dropped.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            self.expire(Instant::now());
        }
    }

    /// Applies the timeouts of all connections.
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

    /// Whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Whether there is no place for another connection.
    pub(super) fn is_full(&self) -> bool {
        self.table.borrow().len() >= self.max_connections
    }

    /// The number of connections whose client has disconnected, as far as their sockets know, and that are not
    /// removed yet.
    #[must_use]
    pub fn disconnected_count(&self) -> usize {
        self.table
            .borrow()
            .values()
            .filter(|connection| connection.is_disconnected())
            .count()
    }

    /// Waits until a connection is removed.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }

    /// Closes all connections, and those that are accepted from now on, each as soon as its requests are answered and
    /// it holds no part of a command.
    pub fn close_soon(&self) {
        self.is_closing.set(true);
        for connection in self.table.borrow().values() {
            connection.close_when(CloseWhen::NoCommandPartial);
        }
    }

    /// Closes the connection that has been idle for the longest. Where connections without any command hold more than
    /// half of the table, these go first. Fewer of them may be pools that clients open in advance.
    pub(super) fn evict_idle(&self) {
        let table = self.table.borrow();
        let without_command = table
            .values()
            .filter(|connection| !connection.has_sent_command())
            .count();
        let is_flood = without_command > self.max_connections / 2;
        let longest_idle = table
            .values()
            .filter(|connection| !connection.is_closing() && connection.is_idle())
            .min_by_key(|connection| {
                let is_spared = is_flood && connection.has_sent_command();
                (is_spared, connection.last_active())
            });
        if let Some(connection) = longest_idle {
            connection.close_when(CloseWhen::NoRequestPending);
        }
    }

    /// Adds an accepted connection to the table.
    pub(super) fn register(self: &Rc<Self>, id: RequestId, stream: TcpStream) -> Registration {
        let close = self.is_closing.get().then_some(CloseWhen::NoCommandPartial);
        let connection = Rc::new(ClientConnection::new(
            stream,
            close,
            self.input_budget.reservation(),
            self.response_budget.reservation(),
        ));
        self.table.borrow_mut().insert(id, connection.clone());
        Registration {
            connections: self.clone(),
            id,
            connection,
        }
    }
}

/// A connection's entry in the table. Dropping it removes the entry and wakes those that wait for a free place.
pub(super) struct Registration {
    connections: Rc<ClientConnections>,
    id: RequestId,
    pub(super) connection: Rc<ClientConnection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(&self.id);
        self.connections.closed.notify_one();
    }
}
