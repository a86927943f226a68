//! The endpoint side of the gateway: the registry of endpoints, the pool of connections to them, and the
//! parser of their responses.
//!
//! This module does not depend on the event loop. Each connection reports its events synchronously, from its
//! own task, to an [`EndpointEventHandler`]. A connection carries one attempt at a time. Closing the
//! connection therefore aborts the attempt, and a late response cannot be taken for the response to another
//! request.

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

/// Identifies an attempt to send a request to an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    /// The sequence number of the attempt within its request, from 0.
    pub number: u32,
}

/// An event on a connection to an endpoint.
pub(crate) enum EndpointEvent<'a> {
    /// A connect has succeeded or failed. Its attempt may have ended already.
    ConnectFinished {
        dial: Dial,
        /// The open socket; `None` if the connect failed or timed out.
        stream: Option<TcpStream>,
    },
    /// A connection that carries an attempt has received a complete response.
    ResponseReceived {
        connection: &'a Rc<EndpointConnection>,
        response: EndpointResponse<'a>,
        /// Whether the response was followed by no further bytes. Otherwise the connection cannot be reused.
        no_surplus_bytes: bool,
    },
    /// Writing the rest of a command failed while the connection still carried its attempt.
    WriteFailed { request: RequestId },
    /// The endpoint or the network closed a connection, or the bytes that it received made it unusable.
    ConnectionClosed {
        connection: &'a Rc<EndpointConnection>,
        /// The protocol error, if one ended the connection.
        error: Option<EndpointProtocolError>,
    },
}

/// Handles the events of all endpoint connections.
pub(crate) trait EndpointEventHandler {
    /// Handles one event synchronously. During the call the handler may open, use and close connections.
    fn handle_endpoint_event(&self, event: EndpointEvent<'_>);
}
