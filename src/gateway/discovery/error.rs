//! What can go wrong with one call to discovery.

use super::{DocumentError, FrameError};
use hyper::StatusCode;
use std::error::Error as StdError;
use std::fmt;
use thiserror::Error;

/// Why a call to discovery failed. The client connects again after each of these.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// A step of the call was not done by its deadline.
    #[error("{0}: timed out")]
    TimedOut(DiscoveryCallStep),
    /// A step of the call failed.
    #[error("{step}: {source}")]
    Failed {
        /// The step that failed.
        step: DiscoveryCallStep,
        /// The error of the connection.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// Discovery answered with a status other than 200.
    #[error("{path}: {status}")]
    Status {
        /// The path of the request.
        path: String,
        /// The status of the response.
        status: StatusCode,
    },
    /// The snapshot is not an endpoint list.
    #[error("snapshot: {0}")]
    Snapshot(#[from] DocumentError),
    /// A frame of the watch cannot be read.
    #[error("watch: {0}")]
    Frame(#[from] FrameError),
    /// Neither an update nor a keep-alive came on the watch in time.
    #[error("watch: timed out waiting for an update or keep-alive")]
    WatchSilent,
    /// Discovery ended the watch.
    #[error("watch: closed by discovery")]
    WatchEnded,
}

/// A step of a call to discovery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryCallStep {
    /// Opening the connection.
    Connect,
    /// Sending a request for this path and waiting for the head of the response.
    Request(String),
    /// Reading the whole list.
    ReadSnapshot,
    /// Reading updates.
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
