//! Errors of a call to discovery.

use super::{DocumentError, FrameError};
use hyper::StatusCode;
use std::error::Error as StdError;
use std::fmt;
use thiserror::Error;

/// The error of a failed call to discovery. The client reconnects after any of these errors.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// A step of the call was not complete by its deadline.
    #[error("{0}: timed out")]
    TimedOut(DiscoveryCallStep),
    /// A step of the call failed with a transport or HTTP error.
    #[error("{step}: {source}")]
    Failed {
        /// The step during which the error occurred.
        step: DiscoveryCallStep,
        /// The error from the socket or the HTTP client.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// Discovery responded with an HTTP status other than 200.
    #[error("{path}: {status}")]
    Status {
        /// The path and query of the request.
        path: String,
        /// The HTTP status of the response.
        status: StatusCode,
    },
    /// The snapshot is not a valid endpoint list.
    #[error("snapshot: {0}")]
    Snapshot(#[from] DocumentError),
    /// A frame of the watch is malformed.
    #[error("watch: {0}")]
    Frame(#[from] FrameError),
    /// The watch delivered neither an update nor a keep-alive within the silence timeout.
    #[error("watch: timed out waiting for an update or keep-alive")]
    WatchSilent,
    /// Discovery closed the watch, which normally has no end.
    #[error("watch: closed by discovery")]
    WatchEnded,
}

/// A step of a call to discovery, as named in error messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryCallStep {
    /// Opening the connection and performing the HTTP handshake.
    Connect,
    /// Sending a request for this path and waiting for the response head.
    Request(String),
    /// Reading the body of a snapshot.
    ReadSnapshot,
    /// Reading the body of a watch.
    ReadWatch,
}

impl fmt::Display for DiscoveryCallStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryCallStep::Connect => formatter.write_str("connecting"),
            DiscoveryCallStep::Request(path) => formatter.write_str(path),
            DiscoveryCallStep::ReadSnapshot => formatter.write_str("reading the snapshot"),
            DiscoveryCallStep::ReadWatch => formatter.write_str("reading the watch"),
        }
    }
}
