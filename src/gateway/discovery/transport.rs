//! Connections to discovery and HTTP calls on them. Each step has a deadline.

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

/// Opens connections to discovery.
pub trait Connect {
    /// An open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection. The caller limits the time, so an implementation need not.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Reaches discovery over TCP.
pub struct Tcp;

impl Connect for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// An HTTP/1.1 connection to discovery. Dropping it closes the connection.
pub(super) struct HttpConnection {
    /// The task that moves bytes. It ends when the connection is dropped, also in the middle of a call.
    _driver: JoinSet<()>,
    sender: SendRequest<Empty<Bytes>>,
    address: SocketAddr,
}

impl HttpConnection {
    /// Connects by the deadline.
    pub(super) async fn open<C: Connect>(
        connector: &C,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<HttpConnection, DiscoveryError> {
        let connecting = connector.connect(address);
        let stream = before(deadline, DiscoveryCallStep::Connect, connecting).await?;
        let handshaking = handshake(TokioIo::new(stream));
        let (sender, connection) =
            before(deadline, DiscoveryCallStep::Connect, handshaking).await?;
        let mut driver = JoinSet::new();
        driver.spawn_local(async move {
            // The call that waits on the connection reports how it ended.
            let _ = connection.await;
        });
        Ok(HttpConnection {
            _driver: driver,
            sender,
            address,
        })
    }

    /// Sends a request, waits for the head of the response by the deadline, and returns the body.
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
        let response = before(deadline, step, self.sender.send_request(request)).await?;
        if response.status() == StatusCode::OK {
            Ok(response.into_body())
        } else {
            Err(DiscoveryError::Status {
                path: path.to_string(),
                status: response.status(),
            })
        }
    }

    /// Waits until the connection can take another request, by the deadline.
    pub(super) async fn ready(&mut self, deadline: Instant) -> Result<(), DiscoveryError> {
        before(
            deadline,
            DiscoveryCallStep::ReadSnapshot,
            self.sender.ready(),
        )
        .await
    }
}

/// Reads the whole body of a snapshot by the deadline.
pub(super) async fn read_snapshot(
    body: Incoming,
    deadline: Instant,
) -> Result<Bytes, DiscoveryError> {
    let reading = Limited::new(body, MAX_DOCUMENT_BYTES).collect();
    let collected = before(deadline, DiscoveryCallStep::ReadSnapshot, reading).await?;
    Ok(collected.to_bytes())
}

/// Waits for a step of a call up to its deadline.
async fn before<T, E>(
    deadline: Instant,
    step: DiscoveryCallStep,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, DiscoveryError>
where
    E: Into<Box<dyn StdError + Send + Sync>>,
{
    match timeout_at(deadline, call).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(DiscoveryError::Failed {
            step,
            source: error.into(),
        }),
        Err(_) => Err(DiscoveryError::TimedOut(step)),
    }
}
