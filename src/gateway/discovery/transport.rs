//! Connections to discovery and HTTP calls on them, with a deadline for each step.

use super::document::MAX_DOCUMENT_BYTES;
use super::{DiscoveryCallStep, DiscoveryError};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// A transport on which to connect to discovery. Tests replace TCP with streams inside the process.
pub trait Connect {
    /// The byte stream of an open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection. Implementations need no timeout, because the caller applies one.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The TCP transport, without Nagle's algorithm.
pub struct Tcp;

impl Connect for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// An HTTP/1.1 connection to discovery, which closes when it is dropped.
pub(super) struct HttpConnection {
    /// The task that performs the socket I/O. It is aborted when the connection is dropped, even during a
    /// call.
    _driver: JoinSet<()>,
    sender: SendRequest<Empty<Bytes>>,
    address: SocketAddr,
}

impl HttpConnection {
    /// Connects to `address` and performs the HTTP handshake by the deadline.
    pub(super) async fn open<C: Connect>(
        connector: &C,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<HttpConnection, DiscoveryError> {
        let connecting = connector.connect(address);
        let stream = with_deadline(deadline, DiscoveryCallStep::Connect, connecting).await?;
        let handshaking = handshake(TokioIo::new(stream));
        let (sender, connection) =
            with_deadline(deadline, DiscoveryCallStep::Connect, handshaking).await?;
        let mut driver = JoinSet::new();
        driver.spawn_local(async move {
            // The pending call on the connection reports the same error.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            _driver: driver,
            sender,
            address,
        })
    }

    /// Sends a GET request, waits for the response head until the deadline, and returns the unread body.
    pub(super) async fn get(
        &mut self,
        path: &str,
        deadline: Instant,
    ) -> Result<Incoming, DiscoveryError> {
        let step = DiscoveryCallStep::Request(path.to_string());
        let request = Request::get(path)
            .header("host", self.address.to_string())
            .body(Empty::new())
            .map_err(|error| DiscoveryError::Failed {
                step: step.clone(),
                source: error.into(),
            })?;
        let response = with_deadline(deadline, step, self.sender.send_request(request)).await?;
        if response.status() == StatusCode::OK {
            Ok(response.into_body())
        } else {
            Err(DiscoveryError::Status {
                path: path.to_string(),
                status: response.status(),
            })
        }
    }

    /// Waits until the connection is ready for another request, but not beyond the deadline.
    pub(super) async fn ready(&mut self, deadline: Instant) -> Result<(), DiscoveryError> {
        with_deadline(
            deadline,
            DiscoveryCallStep::ReadSnapshot,
            self.sender.ready(),
        )
        .await
    }
}

/// Reads the complete body of a snapshot by the deadline. Fails if it exceeds [`MAX_DOCUMENT_BYTES`].
pub(super) async fn read_snapshot(
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, DiscoveryError> {
    let reading = Limited::new(body, MAX_DOCUMENT_BYTES).collect();
    let collected = with_deadline(deadline, DiscoveryCallStep::ReadSnapshot, reading).await?;
    Ok(collected.to_bytes())
}

/// Runs a step of a call up to its deadline, and converts its error or time-out to a [`DiscoveryError`].
async fn with_deadline<T, E>(
    deadline: Instant,
    step: DiscoveryCallStep,
    operation: impl Future<Output = Result<T, E>>,
) -> Result<T, DiscoveryError>
where
    E: Into<Box<dyn StdError + Send + Sync>>,
{
    match timeout_at(deadline, operation).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(DiscoveryError::Failed {
            step,
            source: error.into(),
        }),
        Err(_) => Err(DiscoveryError::TimedOut(step)),
    }
}
