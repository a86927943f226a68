//! Accepting client connections, in service and during the shutdown.

use super::connections::{ClientConnections, Registration};
use super::schema::RequestSchema;
use super::serve::ConnectionTask;
use super::{ClientEvent, ClientEventHandler};
use crate::gateway::log::{self, LogEvent};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// While the table is full and no connection closes, eviction is attempted again after this time.
const FULL_TABLE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// After an error of the listening socket, accepting is attempted again after this time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts client connections and starts a task for each.
///
/// Needs a `LocalSet` around it.
pub struct ClientListener {
    connections: Rc<ClientConnections>,
    events: Rc<dyn ClientEventHandler>,
    schema: Rc<RequestSchema>,
}

impl ClientListener {
    /// Creates a listener that registers connections in a table and reports their requests to a handler.
    #[must_use]
    pub fn new(
        connections: Rc<ClientConnections>,
        events: Rc<dyn ClientEventHandler>,
        schema: RequestSchema,
    ) -> ClientListener {
        ClientListener {
            connections,
            events,
            schema: Rc::new(schema),
        }
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(&self, socket: &TcpListener) {
        let mut is_failing = false;
        loop {
            while self.connections.is_full() {
                self.connections.evict_idle();
                self.wait_for_capacity().await;
            }
            match socket.accept().await {
                Ok((stream, _)) => {
                    is_failing = false;
                    self.start(stream);
                }
                Err(error) => {
                    // One line for each series of errors.
                    if !is_failing {
                        log::event(&LogEvent::AcceptFailed { error: &error });
                    }
                    is_failing = true;
                    // Most likely the process is out of descriptors: closing a connection frees one.
                    self.connections.evict_idle();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that the kernel has established already, each as soon as there is capacity, and closes
    /// the socket once none is left. Closing it earlier would reset them, and their requests count as received.
    pub async fn drain_backlog(&self, socket: TcpListener) {
        // The runtime may not have polled the socket since the last of them arrived, so the socket itself is asked.
        let Ok(socket) = socket.into_std() else {
            return;
        };
        loop {
            if !self.connections.is_full() {
                match socket.accept() {
                    Ok((stream, _)) => {
                        if let Ok(stream) = into_nonblocking(stream) {
                            self.start(stream);
                        }
                        continue;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                    Err(_) => {}
                }
            }
            self.wait_for_capacity().await;
        }
    }

    /// Waits until a connection closes. The wait is limited, because a connection can also fall idle, and so become
    /// a candidate for eviction.
    async fn wait_for_capacity(&self) {
        let _ = timeout(FULL_TABLE_RETRY_DELAY, self.connections.connection_closed()).await;
    }

    /// Registers a connection and starts its task.
    fn start(&self, stream: TcpStream) {
        let registration = self.connections.register(self.events.next_id(), stream);
        let task = ConnectionTask::new(
            registration.connection.clone(),
            self.events.clone(),
            self.schema.clone(),
        );
        let events = self.events.clone();
        spawn_local(async move {
            task.run().await;
            disconnect(registration, &*events);
        });
    }
}

/// Reports the requests that were not answered, and then removes the connection from the table.
fn disconnect(registration: Registration, events: &dyn ClientEventHandler) {
    for request in registration.connection.take_unanswered() {
        events.handle_client_event(ClientEvent::Disconnected { request });
    }
    drop(registration);
}

fn into_nonblocking(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
