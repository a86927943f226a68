//! Opens connections to endpoints, each connect in its own task.

use crate::EndpointName;
use crate::gateway::endpoints::permits::ConnectionPermit;
use crate::gateway::endpoints::{AttemptId, EndpointEvent, EndpointEventHandler};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A function that connects to an endpoint. It need not have a timeout, because the pool applies one.
pub type Connector =
    Rc<dyn Fn(SocketAddr) -> Pin<Box<dyn Future<Output = std::io::Result<TcpStream>>>>>;

/// The connect timeout is the attempt's remaining time divided by this, which leaves time to try another
/// endpoint.
const CONNECT_TIMEOUT_DIVISOR: u32 = 4;
/// Lower bound on the connect timeout, however little time the attempt has left.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// The connect timeout from the settings is clamped to this range.
const MIN_CONFIGURED_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_CONFIGURED_TIMEOUT: Duration = Duration::from_mins(1);

/// A connect in progress, with the attempt that it serves.
pub(crate) struct Dial {
    pub attempt: AttemptId,
    pub endpoint: EndpointName,
    /// The endpoint's incarnation when the connect started.
    pub incarnation: u64,
    pub permit: ConnectionPermit,
}

/// Opens connections and reports the result of each connect as an [`EndpointEvent::ConnectFinished`].
pub(crate) struct Dialer {
    connector: Connector,
    max_connect_timeout: Duration,
    handler: Weak<dyn EndpointEventHandler>,
}

impl Dialer {
    /// Creates a dialer for plain TCP connections. A connect takes at most `max_connect_timeout`.
    pub fn new(max_connect_timeout: Duration, handler: Weak<dyn EndpointEventHandler>) -> Dialer {
        Dialer {
            connector: Rc::new(|address| Box::pin(TcpStream::connect(address))),
            max_connect_timeout: max_connect_timeout
                .clamp(MIN_CONFIGURED_TIMEOUT, MAX_CONFIGURED_TIMEOUT),
            handler,
        }
    }

    pub fn set_connector(&mut self, connector: Connector) {
        self.connector = connector;
    }

    /// Starts a connect for an attempt whose remaining time is `remaining`.
    pub fn dial(&self, dial: Dial, address: SocketAddr, remaining: Duration) {
        let Some(handler) = self.handler.upgrade() else {
            return;
        };
        let connect = (self.connector)(address);
        let connect_timeout = self.connect_timeout(remaining);
        tokio::task::spawn_local(async move {
            // A connect to a host that is down or unreachable may never complete on its own.
            let connected = timeout(connect_timeout, connect).await;
            let stream = connected.ok().and_then(Result::ok);
            handler.handle_endpoint_event(EndpointEvent::ConnectFinished { dial, stream });
        });
    }

    fn connect_timeout(&self, remaining: Duration) -> Duration {
        let attempt_share = (remaining / CONNECT_TIMEOUT_DIVISOR).max(MIN_CONNECT_TIMEOUT);
        attempt_share.min(self.max_connect_timeout)
    }
}
