//! Stand-in for the discovery service, and builders for the endpoint lists that it serves.

use super::{Connection, StandInEndpoint, TEST_TIMEOUT, any_loopback_port};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// A discovery service whose connections the test accepts and answers itself.
pub type ManualDiscovery = StandInEndpoint;

/// An event that is not valid JSON and makes the gateway reopen the watch. When the next watch is open, the
/// gateway has processed all earlier events.
const MALFORMED_EVENT: &str = "{nonsense";

pub fn ready_endpoint(uid: &str, address: SocketAddr) -> String {
    endpoint_entry(uid, address, "ready", 0)
}

pub fn draining_endpoint(uid: &str, address: SocketAddr) -> String {
    endpoint_entry(uid, address, "draining", 0)
}

pub fn removed_endpoint(uid: &str, address: SocketAddr) -> String {
    endpoint_entry(uid, address, "gone", 0)
}

/// Returns the entry of a removed endpoint with only its id and state.
pub fn removed_endpoint_without_description(uid: &str) -> String {
    format!(r#"{{"uid":"{uid}","state":"gone"}}"#)
}

/// Returns an entry of an endpoint list. `boot_ms` is the wall-clock start time of the endpoint.
pub fn endpoint_entry(uid: &str, address: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
    )
}

/// Returns a list that contains all endpoints.
pub fn complete_list(revision: u64, endpoints: &[String]) -> String {
    list(revision, true, endpoints)
}

/// Returns a list that contains only changed endpoints.
pub fn list_change(revision: u64, endpoints: &[String]) -> String {
    list(revision, false, endpoints)
}

fn list(revision: u64, all: bool, endpoints: &[String]) -> String {
    format!(
        r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#,
        endpoints.join(",")
    )
}

/// Returns an HTTP response with an endpoint list as its body.
pub fn list_response(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}

/// A discovery service that answers every poll with the same list and passes each watch to the test.
pub struct StandInDiscovery {
    pub address: SocketAddr,
    pub watches: Receiver<Watch>,
}

impl StandInDiscovery {
    pub fn with_list(list: String) -> StandInDiscovery {
        StandInDiscovery::with_listener(
            TcpListener::bind(any_loopback_port()).expect("a free port exists"),
            list,
        )
    }

    /// Starts a service whose list has revision 1 and one ready endpoint named `s-1`.
    pub fn with_endpoint(address: SocketAddr) -> StandInDiscovery {
        StandInDiscovery::with_list(complete_list(1, &[ready_endpoint("s-1", address)]))
    }

    pub fn with_listener(listener: TcpListener, list: String) -> StandInDiscovery {
        let address = listener.local_addr().expect("the listener is bound");
        let (sender, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = Connection::new(stream);
                let (list, sender) = (list.clone(), sender.clone());
                thread::spawn(move || serve_connection(connection, &list, &sender));
            }
        });
        StandInDiscovery { address, watches }
    }

    #[track_caller]
    pub fn next_watch(&self) -> Watch {
        let watch = self.watches.recv_timeout(TEST_TIMEOUT);
        watch.expect("the gateway opens a watch within the timeout")
    }

    /// Waits until the gateway has processed all events sent on this watch. Makes the gateway close the
    /// watch.
    #[track_caller]
    pub fn wait_until_processed(&self, watch: &mut Watch) {
        watch.send_malformed();
        self.next_watch();
    }
}

/// Answers polls until the gateway opens a watch on the connection or closes the connection.
fn serve_connection(mut connection: Connection, list: &str, watches: &Sender<Watch>) {
    loop {
        let request_line = connection.read_line();
        if request_line.is_empty() {
            return;
        }
        while !connection.read_line().is_empty() {}
        if request_line.contains("stream=1") {
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            // Sending fails once the test has ended.
            let _ = watches.send(Watch {
                stream: connection.stream.into_inner(),
            });
            return;
        }
        connection.send(list_response(list));
    }
}

/// An open watch, which is a chunked HTTP response with one event per line.
pub struct Watch {
    stream: TcpStream,
}

impl Watch {
    pub fn send(&mut self, event: &str) {
        self.try_send(event)
            .expect("the gateway holds the watch open");
    }

    /// Sends an event on a watch that the gateway may have closed.
    pub fn try_send(&mut self, event: &str) -> std::io::Result<()> {
        let chunk = format!("{:x}\r\n{event}\n\r\n", event.len() + 1);
        self.stream.write_all(chunk.as_bytes())
    }

    pub fn send_malformed(&mut self) {
        self.send(MALFORMED_EVENT);
    }

    /// Expects that the gateway has neither closed the watch nor sent data on it.
    #[track_caller]
    pub fn expect_open(&self) {
        self.stream
            .set_nonblocking(true)
            .expect("the socket can be made non-blocking");
        let error = (&self.stream)
            .read(&mut [0])
            .expect_err("the gateway sends nothing on a watch and keeps it open");
        assert_eq!(
            error.kind(),
            ErrorKind::WouldBlock,
            "expected the watch in use to stay open"
        );
        self.stream
            .set_nonblocking(false)
            .expect("the socket can be made blocking");
    }

    #[track_caller]
    pub fn expect_close(self, reason: &str) {
        Connection::new(self.stream).expect_close(reason);
    }
}
