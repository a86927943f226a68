//! The discovery client: keeps the list of endpoints up to date.
//!
//! Discovery is an HTTP service, or an agent on the gateway's own machine that speaks the same protocol.
//! [`follow`] runs for the life of the process. On each connection it fetches the whole list once, if it has no
//! list to build on, and then opens a watch: a response without an end that carries one update after another and
//! an empty line every 2 s as a keep-alive. When a watch ends, breaks or falls silent, the client connects again
//! after a delay that [`PollSchedule`] chooses.
//!
//! Whatever has failed, an update must arrive within 6 s of the time at which discovery had it and could be
//! reached. The deadlines in `transport`, `watcher` and `schedule` add up to that.
//!
//! | module | job |
//! | --- | --- |
//! | `watcher` | the loop: snapshot, watch, reconnect |
//! | `transport` | connections and HTTP calls, each with a deadline |
//! | `frames` | splits the bytes of a watch into frames |
//! | `document` | reads the JSON form of an endpoint list |
//! | `schedule` | decides how long to wait before each call |
//! | `error` | what can go wrong with one call |

mod document;
mod error;
mod frames;
mod schedule;
mod transport;
mod watcher;

pub use document::DocumentError;
pub use error::{DiscoveryCallStep, DiscoveryError};
pub use frames::{Frame, FrameDecoder, FrameError};
pub use schedule::PollSchedule;
pub use transport::{Connect, Tcp};
pub use watcher::follow;

use crate::{EndpointState, Timestamp};
use std::net::SocketAddr;

/// What discovery says about one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The unique name of the endpoint, the same at every gateway.
    pub name: String,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The name of the availability zone.
    pub zone: String,
    /// The name of the hardware model.
    pub hardware: String,
    /// The number of the cell.
    pub cell: u32,
    /// Whether the endpoint takes new requests.
    pub state: EndpointState,
    /// The registered capacity, relative to that of other endpoints.
    pub weight: f64,
    /// The time of the last start, in Unix time; zero if it was long ago.
    pub started_at: Timestamp,
}

/// A snapshot of the endpoint list, or a delta to it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// The revision of the list after this update.
    pub revision: u64,
    /// Whether the update names every endpoint there is, so that an endpoint that is not named is removed.
    pub snapshot: bool,
    /// The endpoints that the update names.
    pub endpoints: Vec<ListedEndpoint>,
}
