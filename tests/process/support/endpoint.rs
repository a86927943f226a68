//! Stand-in for an endpoint: a listener that passes each connection to the test, which answers the requests
//! itself.

use super::{Connection, TEST_TIMEOUT, any_loopback_port};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

pub struct StandInEndpoint {
    pub address: SocketAddr,
    accepted: Receiver<TcpStream>,
}

impl StandInEndpoint {
    pub fn start() -> StandInEndpoint {
        StandInEndpoint::with_listener(
            TcpListener::bind(any_loopback_port()).expect("a free port exists"),
        )
    }

    pub fn with_listener(listener: TcpListener) -> StandInEndpoint {
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, accepted) = channel();
        thread::spawn(move || {
            while listener
                .accept()
                .is_ok_and(|(stream, _)| sender.send(stream).is_ok())
            {}
        });
        StandInEndpoint { address, accepted }
    }

    #[track_caller]
    pub fn next_connection(&self) -> Connection {
        let stream = self.accepted.recv_timeout(TEST_TIMEOUT);
        Connection::new(stream.expect("the gateway connects within the timeout"))
    }

    /// Returns the next connection with input. The gateway may close a connection unused if it was opened
    /// while the endpoint list changed.
    pub fn next_connection_with_input(&self) -> Connection {
        loop {
            let mut connection = self.next_connection();
            if connection.has_further_input() {
                return connection;
            }
        }
    }

    /// Returns the next connection, or `None` if the gateway opens none within the timeout.
    pub fn connection_within(&self, timeout: Duration) -> Option<Connection> {
        self.accepted
            .recv_timeout(timeout)
            .ok()
            .map(Connection::new)
    }

    /// Returns the next connection that was already accepted, without waiting.
    pub fn accepted_connection(&self) -> Option<Connection> {
        self.accepted.try_recv().ok().map(Connection::new)
    }

    /// Returns all connections that were already accepted, without waiting.
    pub fn accepted_connections(&self) -> impl Iterator<Item = Connection> + '_ {
        self.accepted.try_iter().map(Connection::new)
    }

    /// Returns an iterator over all connections, which waits for each and does not end.
    pub fn into_connections(self) -> impl Iterator<Item = Connection> {
        self.accepted.into_iter().map(Connection::new)
    }

    /// Returns the next new connection. Returns `None` if the gateway sends input on the open connection
    /// first, or if [`TEST_TIMEOUT`] expires.
    pub fn connection_unless_reused(&self, open: &mut Connection) -> Option<Connection> {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
            if let Some(connection) = self.connection_within(Duration::from_millis(1)) {
                return Some(connection);
            }
            if open.has_unread_input() {
                return None;
            }
        }
        None
    }

    /// Returns the connection on which the gateway forwards the next request: a new one or the open one.
    pub fn connection_of_next_request(&self, mut open: Connection) -> Connection {
        self.connection_unless_reused(&mut open).unwrap_or(open)
    }

    pub fn has_no_new_connection(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    /// Expects that no connection was accepted. The message contains the peer address and input of an
    /// unexpected connection, because a connection without a command, one with a command, and one from
    /// another program have different causes.
    #[track_caller]
    pub fn expect_no_new_connection(&self, reason: &str) {
        if let Some(mut unexpected) = self.accepted_connection() {
            panic!(
                "expected no connection to the endpoint: {reason}; {}",
                unexpected.describe()
            );
        }
    }
}
