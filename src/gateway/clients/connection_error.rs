//! Errors that close a client's connection.

use crate::gateway::resp::ProtocolError;
use thiserror::Error;

/// Why the gateway closes a connection after an error response.
///
/// The text is part of the wire protocol: the client reads it behind `-ERR protocol error: `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ConnectionError {
    /// The input is not RESP, so that the beginning of the next command is unknown.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The partial commands of all connections exceed their memory budget.
    #[error("no room for so long a command now")]
    OutOfMemory,
    /// No whole command has arrived within [`REQUEST_TIMEOUT`](super::REQUEST_TIMEOUT).
    #[error("no whole command in time")]
    RequestTimeout,
}
