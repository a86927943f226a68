//! Errors that close a client connection.

use crate::gateway::resp::ProtocolError;
use thiserror::Error;

/// Error after which the gateway responds to the client and closes the connection.
///
/// The text of each variant is part of the wire protocol. The client receives it after the prefix
/// `-ERR protocol error: `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum ConnectionError {
    /// The input is not valid RESP, so the start of the next command cannot be located.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The partially received commands of all connections exceed their shared memory budget.
    #[error("no room for so long a command now")]
    OutOfMemory,
    /// The connection table is full, and the connection has not sent a complete command yet.
    #[error("no room for an incomplete first command now")]
    TableFull,
    /// No complete command arrived within [`REQUEST_TIMEOUT`](super::REQUEST_TIMEOUT).
    #[error("no whole command in time")]
    RequestTimeout,
}
