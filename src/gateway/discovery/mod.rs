//! The discovery client, which keeps the endpoint list up to date.
//!
//! Discovery is an HTTP service, or an agent on the gateway's machine that speaks the same protocol.
//! [`follow`] runs for the lifetime of the process. Each call first fetches a snapshot, unless there is already
//! a list, and then opens a watch: an endless response that streams updates, with an empty line every 2 s as a
//! keep-alive. When a watch ends, breaks or falls silent, another call starts after a delay chosen by
//! [`PollSchedule`]. A call that discovery has not answered in time stays open beside the next one.
//!
//! After any failure, an update must arrive within 6 s of the time at which discovery has it and is
//! reachable. The time limits in `call`, `watcher` and `schedule` add up to this limit.
//!
//! | module | job |
//! | --- | --- |
//! | `watcher` | starts calls until one of them watches |
//! | `call` | fetches the list on one connection and watches it |
//! | `update_sink` | passes on what the calls deliver, if it is not older than what is in use |
//! | `transport` | opens connections and makes HTTP requests |
//! | `frames` | decodes the byte stream of a watch into frames |
//! | `document` | parses the JSON form of an endpoint list |
//! | `schedule` | computes the delay before each call |
//! | `error` | defines the errors of a call |

mod call;
mod document;
mod error;
mod frames;
mod schedule;
mod transport;
mod update_sink;
mod watcher;

pub use document::DocumentError;
pub use error::{DiscoveryCallStep, DiscoveryError};
pub use frames::{Frame, FrameDecoder, FrameError};
pub use schedule::PollSchedule;
pub use transport::{Connect, Tcp};
use update_sink::UpdateSink;
pub use watcher::follow;

use crate::{EndpointState, Timestamp};
use std::net::SocketAddr;

/// An endpoint as described by one entry of a discovery document.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The unique name of the endpoint, which is the same at every gateway.
    pub name: String,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The name of the endpoint's availability zone; empty if unknown.
    pub zone: String,
    /// The name of the endpoint's hardware model; empty if unknown.
    pub hardware: String,
    /// The number of the cell that the endpoint belongs to.
    pub cell: u32,
    /// Whether the endpoint accepts new requests, is draining or has been removed.
    pub state: EndpointState,
    /// The registered capacity relative to other endpoints; 1.0 if discovery reports none.
    pub weight: f64,
    /// The time of the last start in Unix time; zero if unknown or long ago.
    pub started_at: Timestamp,
}

/// A snapshot of the endpoint list, or a delta with the changed endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// The revision of the list after this update.
    pub revision: u64,
    /// Whether the update is complete, in which case endpoints that it does not list have been removed.
    pub snapshot: bool,
    /// All endpoints in a snapshot, or the changed ones in a delta.
    pub endpoints: Vec<ListedEndpoint>,
}
