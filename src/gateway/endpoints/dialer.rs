//! Opening connections to endpoints, each in a task of its own.

use crate::EndpointName;
use crate::gateway::endpoints::permits::ConnectionPermit;
use crate::gateway::endpoints::{AttemptId, EndpointEvent, EndpointEventHandler};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens connections to endpoints. It needs no timeout of its own.
pub type Connector =
    Rc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = std::io::Result<TcpStream>>>>>;

/// Opening a connection may take the time of the attempt divided by this, so that time for another endpoint remains.
const CONNECT_TIMEOUT_DIVISOR: u32 = 4;
/// However little time is left, a connection may take this long to open.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// The connect timeout of the settings is kept within these bounds.
const LEAST_SETTINGS_TIMEOUT: Duration = Duration::from_millis(1);
const LARGEST_SETTINGS_TIMEOUT: Duration = Duration::from_mins(1);

/// A connection that is being opened, and the attempt that it is opened for.
pub(crate) struct Dial {
    pub attempt: AttemptId,
    pub endpoint: EndpointName,
    /// The incarnation of the endpoint when the connect began.
    pub incarnation: u64,
    pub permit: ConnectionPermit,
}

/// Opens connections and reports each as an [`EndpointEvent::ConnectFinished`].
pub(crate) struct Dialer {
    connector: Connector,
    max_connect_timeout: Duration,
    handler: Weak<dyn EndpointEventHandler>,
}

impl Dialer {
    /// Opens plain TCP connections, each within `max_connect_timeout`.
    pub fn new(max_connect_timeout: Duration, handler: Weak<dyn EndpointEventHandler>) -> Dialer {
        Dialer {
            connector: Rc::new(|address| Box::pin(TcpStream::connect(address))),
            max_connect_timeout: max_connect_timeout
                .clamp(LEAST_SETTINGS_TIMEOUT, LARGEST_SETTINGS_TIMEOUT),
            handler,
        }
    }

    /// Replaces the way in which connections are opened.
    pub fn set_connector(&mut self, connector: Connector) {
        self.connector = connector;
    }

    /// Begins to open a connection for an attempt that has this much time left.
    pub fn dial(&self, dial: Dial, address: SocketAddr, remaining: Duration) {
        let Some(handler) = self.handler.upgrade() else {
            return;
        };
        let connect = (self.connector)(address);
        let connect_timeout = self.connect_timeout(remaining);
        tokio::task::spawn_local(async move {
            // A machine that has vanished never answers, so the connect itself may never end.
            let connected = timeout(connect_timeout, connect).await;
            let stream = connected.ok().and_then(Result::ok);
            handler.handle_endpoint_event(EndpointEvent::ConnectFinished { dial, stream });
        });
    }

    fn connect_timeout(&self, remaining: Duration) -> Duration {
        let attempt_part = (remaining / CONNECT_TIMEOUT_DIVISOR).max(MIN_CONNECT_TIMEOUT);
        attempt_part.min(self.max_connect_timeout)
    }
}
