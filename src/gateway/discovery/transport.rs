//! Connections to discovery and HTTP requests on them, without time limits.

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

/// A transport on which to connect to discovery. Tests replace TCP with streams inside the process.
pub trait Connect {
    /// The byte stream of an open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection. Implementations need no timeout, because the caller tries again in time.
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
    /// Connects to `address` and performs the HTTP handshake.
    pub(super) async fn open<C: Connect>(
        connector: &C,
        address: SocketAddr,
    ) -> Result<HttpConnection, DiscoveryError> {
        let step = DiscoveryCallStep::Connect;
        let stream = complete(step.clone(), connector.connect(address)).await?;
        let (sender, connection) = complete(step, handshake(TokioIo::new(stream))).await?;
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

    /// Sends a GET request, waits for the response head, and returns the unread body.
    pub(super) async fn get(&mut self, path: &str) -> Result<Incoming, DiscoveryError> {
        let step = DiscoveryCallStep::Request(path.to_string());
        let request = Request::get(path)
            .header("host", self.address.to_string())
            .body(Empty::new())
            .map_err(|error| DiscoveryError::Failed {
                step: step.clone(),
                source: error.into(),
            })?;
        let response = complete(step, self.sender.send_request(request)).await?;
        if response.status() == StatusCode::OK {
            Ok(response.into_body())
        } else {
            Err(DiscoveryError::Status {
                path: path.to_string(),
                status: response.status(),
            })
        }
    }

    /// Waits until the connection is ready for another request.
    pub(super) async fn ready(&mut self) -> Result<(), DiscoveryError> {
        complete(DiscoveryCallStep::ReadSnapshot, self.sender.ready()).await
    }
}

/// Reads the complete body of a snapshot. Fails if it exceeds [`MAX_DOCUMENT_BYTES`].
pub(super) async fn read_snapshot(body: Incoming) -> Result<Bytes, DiscoveryError> {
    let reading = Limited::new(body, MAX_DOCUMENT_BYTES).collect();
    let collected = complete(DiscoveryCallStep::ReadSnapshot, reading).await?;
    Ok(collected.to_bytes())
}

/// Completes a step of a call, and converts its error to a [`DiscoveryError`].
async fn complete<T, E>(
    step: DiscoveryCallStep,
    operation: impl Future<Output = Result<T, E>>,
) -> Result<T, DiscoveryError>
where
    E: Into<Box<dyn StdError + Send + Sync>>,
{
    operation.await.map_err(|error| DiscoveryError::Failed {
        step,
        source: error.into(),
    })
}
