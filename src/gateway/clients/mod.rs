//! The client side of the gateway: connections that carry pipelined commands, and responses in their order.
//!
//! A [`ClientListener`] accepts connections and registers them in [`ClientConnections`], the table that bounds their
//! number and closes idle ones. A task for each connection parses commands and reports every valid request to a
//! [`ClientEventHandler`], which answers it through [`ClientConnection::answer`], during the call or at any time
//! later. Responses leave in the order of their requests, whatever the order in which they are given.
//!
//! The modules here know nothing of who handles the requests: they depend on the trait alone.

mod connection;
mod connection_error;
mod connection_state;
mod connections;
mod fields;
mod listener;
mod request;
mod request_error;
mod responses;
mod schema;
mod serve;
mod socket;

pub use connection::ClientConnection;
pub use connections::{ClientConnections, REQUEST_TIMEOUT};
pub use listener::ClientListener;
pub use request::ClientRequest;
pub use request_error::{Field, RequestError};
pub use schema::RequestSchema;

use crate::RequestId;
use std::rc::Rc;

/// Handles the requests of all client connections.
///
/// All calls are synchronous, on the thread that serves the connections. A handler may call
/// [`ClientConnection::answer`] while it handles an event; a connection never calls its handler from there.
pub trait ClientEventHandler {
    /// Returns an id that was never returned before. The ids that clients choose may come again.
    fn next_id(&self) -> RequestId;

    /// Whether a request with this client-chosen id is active, or an attempt of it still is: a second request with
    /// the id would reach an endpoint as a duplicate of the first.
    fn is_active(&self, client_request_id: u64) -> bool;

    /// Whether one more request of this size can be handled. It is rejected as overloaded otherwise.
    fn has_capacity_for(&self, bytes: usize) -> bool;

    /// Handles an event.
    fn handle_client_event(&self, event: ClientEvent);
}

/// What happens at client connections.
pub enum ClientEvent {
    /// A valid request was received. The connection expects exactly one answer to it.
    RequestReceived {
        /// The id under which the connection expects the answer.
        request: RequestId,
        /// The request.
        command: ClientRequest,
        /// The connection to answer on.
        connection: Rc<ClientConnection>,
    },
    /// The connection of an unanswered request has closed.
    Disconnected {
        /// The id of the request.
        request: RequestId,
    },
}
