//! The client side of the gateway: connections with pipelined commands and responses in request order.
//!
//! A [`ClientListener`] accepts connections and registers them in [`ClientConnections`], a table that
//! bounds the number of connections and closes idle ones. One task per connection parses commands and
//! reports each valid request to a [`ClientEventHandler`]. The handler answers it through
//! [`ClientConnection::answer`], either during the call or later. Responses are sent in request order,
//! regardless of the order in which they become available.
//!
//! This module depends only on the trait and not on the code that handles the requests.

mod close_reason;
mod connection;
mod connection_error;
mod connection_state;
mod connections;
mod fields;
mod listener;
mod pace;
mod request;
mod request_error;
mod response_memory;
mod responses;
mod schema;
mod serve;
mod socket;

pub use connection::ClientConnection;
pub use connections::{ClientConnections, REQUEST_TIMEOUT};
pub use listener::ClientListener;
pub use request::{ClientRequest, TenantNumber};
pub use request_error::{Field, RequestError};
pub use schema::RequestSchema;

use crate::RequestId;
use std::rc::Rc;

/// Handles the requests of all client connections.
///
/// All calls are synchronous and run on the thread that serves the connections. A handler may call
/// [`ClientConnection::answer`] while it handles an event. `answer` never calls back into the handler.
pub trait ClientEventHandler {
    /// Returns a new unique id. Client-chosen ids cannot be used instead, because clients may reuse them.
    fn next_id(&self) -> RequestId;

    /// Whether a request with this client-chosen id is unanswered, still has a running attempt, or has been
    /// executed and must not be executed again. An endpoint would treat a second request with the id of a
    /// running attempt as a duplicate of the first.
    fn is_active(&self, client_request_id: u64) -> bool;

    /// Whether another request of this size can be handled. If not, it is rejected with `-BUSY`.
    fn has_capacity_for(&self, bytes: usize) -> bool;

    /// Handles a received request or a disconnect.
    fn handle_client_event(&self, event: ClientEvent);
}

/// Event that a client connection reports to its [`ClientEventHandler`].
pub enum ClientEvent {
    /// A valid request was received. The connection expects exactly one response to it.
    RequestReceived {
        /// The id to pass to [`ClientConnection::answer`].
        request: RequestId,
        /// The validated request.
        command: ClientRequest,
        /// The connection that receives the response.
        connection: Rc<ClientConnection>,
    },
    /// The connection closed before this request was answered.
    Disconnected {
        /// The id that [`RequestReceived`](Self::RequestReceived) reported.
        request: RequestId,
    },
}
