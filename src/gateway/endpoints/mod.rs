//! The endpoint side of the gateway: what discovery listed, the connections to it, and the responses read on them.
//!
//! Nothing here knows the event loop. A connection reports what happens on it to an [`EndpointEventHandler`],
//! synchronously and from its own task. A connection carries one attempt at a time, so closing the connection is
//! enough to abort the attempt, and no late response can be taken for the response to another request.

mod connection;
mod dialer;
mod idle_connections;
mod permits;
mod pool;
mod registry;
mod response;

pub(crate) use connection::{Assignment, EndpointConnection, EndpointProtocolError};
pub use dialer::Connector;
pub(crate) use dialer::Dial;
pub(crate) use pool::{EndpointPool, EndpointPoolLimits};
pub(crate) use response::EndpointResponse;

use crate::RequestId;
use std::rc::Rc;
use tokio::net::TcpStream;

/// An attempt, as the connections to endpoints know it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    /// The number of the attempt among those of the request, from 0.
    pub number: u32,
}

/// What happens on the connections to endpoints.
pub(crate) enum EndpointEvent<'a> {
    /// A connect has ended. The attempt that it was for may have ended before.
    ConnectFinished {
        dial: Dial,
        /// The open socket; `None` if the connect failed or took too long.
        stream: Option<TcpStream>,
    },
    /// A response arrived on a connection that carries an attempt.
    ResponseReceived {
        connection: &'a Rc<EndpointConnection>,
        response: EndpointResponse<'a>,
        /// Whether no further bytes came behind the response. If some did, the connection cannot be used again.
        nothing_follows: bool,
    },
    /// The rest of a command could not be written, and the connection still carried its attempt.
    WriteFailed { request: RequestId },
    /// A connection has ended.
    ConnectionClosed {
        connection: &'a Rc<EndpointConnection>,
        /// What was wrong with the bytes that were read, if that is why the connection ended.
        error: Option<EndpointProtocolError>,
    },
}

/// Receives the events of all endpoint connections.
pub(crate) trait EndpointEventHandler {
    /// Handles one event before it returns. The handler may close connections and open or use others meanwhile.
    fn handle_endpoint_event(&self, event: EndpointEvent<'_>);
}
