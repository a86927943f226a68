//! Accepts client connections while the gateway serves and drains the accept backlog at shutdown.

use super::close_reason::CloseReason;
use super::connections::{ClientConnections, Registration};
use super::schema::RequestSchema;
use super::serve::ConnectionTask;
use super::{ClientEvent, ClientEventHandler};
use crate::gateway::log::{self, LogEvent, TrafficEvent};
use metrics::counter;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Maximum delay before the next eviction attempt while the connection table is full.
const FULL_TABLE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next `accept` after an error on the listening socket.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts client connections and spawns a task for each.
///
/// Must run inside a `LocalSet`.
pub struct ClientListener {
    connections: Rc<ClientConnections>,
    handler: Rc<dyn ClientEventHandler>,
    schema: Rc<RequestSchema>,
}

impl ClientListener {
    /// Creates a listener that registers connections in `connections` and reports their requests to
    /// `handler`.
    #[must_use]
    pub fn new(
        connections: Rc<ClientConnections>,
        handler: Rc<dyn ClientEventHandler>,
        schema: RequestSchema,
    ) -> ClientListener {
        ClientListener {
            connections,
            handler,
            schema: Rc::new(schema),
        }
    }

    /// Accepts connections until the future is dropped. Evicts a connection when the table is full
    /// or the listening socket returns an error.
    pub async fn accept(&self, socket: &TcpListener) {
        let mut is_failing = false;
        loop {
            while self.connections.is_full() {
                self.connections.evict();
                self.wait_for_capacity().await;
            }
            match socket.accept().await {
                Ok((stream, _)) => {
                    is_failing = false;
                    self.start(stream);
                }
                Err(error) => {
                    // Logs only the first error of a series.
                    if !is_failing {
                        log::event(&LogEvent::AcceptFailed { error: &error });
                    }
                    is_failing = true;
                    // The most likely cause is a lack of file descriptors. Closing a connection frees
                    // one.
                    self.connections.evict();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that the kernel has already established, each as soon as the table has
    /// room, then closes the socket. Closing the socket earlier would reset these connections, and their
    /// requests count as received.
    pub async fn drain_backlog(&self, socket: TcpListener) {
        // The runtime may not have polled the socket since the last connection arrived, so `accept` is
        // called on the socket directly.
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

    /// Waits until a connection closes or `FULL_TABLE_RETRY_DELAY` elapses. The wait is bounded because a
    /// connection can become idle, and so evictable, without any connection closing.
    async fn wait_for_capacity(&self) {
        let _ = timeout(FULL_TABLE_RETRY_DELAY, self.connections.connection_closed()).await;
    }

    fn start(&self, stream: TcpStream) {
        let registration = self.connections.register(self.handler.next_id(), stream);
        let task = ConnectionTask::new(
            registration.connection.clone(),
            self.handler.clone(),
            self.schema.clone(),
            self.connections.pace(),
        );
        let handler = self.handler.clone();
        spawn_local(async move {
            let reason = task.run().await;
            disconnect(registration, reason, &*handler);
        });
    }
}

/// Reports the unanswered requests as disconnected, then removes the connection from the table.
fn disconnect(registration: Registration, reason: CloseReason, handler: &dyn ClientEventHandler) {
    let mut unanswered = 0;
    for request in registration.connection.take_unanswered() {
        unanswered += 1;
        handler.handle_client_event(ClientEvent::Disconnected { request });
    }
    let is_ordinary = matches!(reason, CloseReason::Disconnected | CloseReason::Idle);
    let reason = reason.as_str();
    counter!("clients_closed", "reason" => reason).increment(1);
    if unanswered > 0 || !is_ordinary {
        log::example(&TrafficEvent::ClientClosed {
            connection: registration.id.0,
            reason,
            unanswered,
            age: registration.connection.age(),
        });
    }
    drop(registration);
}

fn into_nonblocking(stream: std::net::TcpStream) -> std::io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
