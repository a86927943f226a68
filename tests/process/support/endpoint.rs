//! Stand-in endpoint: a listener that hands each connection to the test, which answers the requests itself.

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

    /// The next connection on which bytes arrive. One that was made while the endpoint list changed may be closed
    /// unused.
    pub fn next_connection_with_input(&self) -> Connection {
        loop {
            let mut connection = self.next_connection();
            if connection.has_further_input() {
                return connection;
            }
        }
    }

    /// A connection that comes within this time.
    pub fn connection_within(&self, timeout: Duration) -> Option<Connection> {
        self.accepted
            .recv_timeout(timeout)
            .ok()
            .map(Connection::new)
    }

    /// A connection that is there already.
    pub fn accepted_connection(&self) -> Option<Connection> {
        self.accepted.try_recv().ok().map(Connection::new)
    }

    /// All connections that are there already.
    pub fn accepted_connections(&self) -> impl Iterator<Item = Connection> + '_ {
        self.accepted.try_iter().map(Connection::new)
    }

    /// Every connection that is made for as long as the endpoint exists.
    pub fn into_connections(self) -> impl Iterator<Item = Connection> {
        self.accepted.into_iter().map(Connection::new)
    }

    /// The next connection, or none if the gateway uses the open one before or nothing happens in time.
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

    /// The connection on which the next request is forwarded: a new one or the open one.
    pub fn connection_of_next_request(&self, mut open: Connection) -> Connection {
        self.connection_unless_reused(&mut open).unwrap_or(open)
    }

    pub fn has_no_new_connection(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    /// Expects that no connection has been made. The message says what arrived on one, as a connection without a
    /// command, with a command, or of another program point to different causes.
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
