//! Binds the addresses of the gateway, which its previous incarnation may still use.

use crate::gateway::log::{self, LogEvent};
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// How long to wait for an address that is in use. The previous incarnation takes some seconds to answer its
/// clients and its peers; a gateway that is not ready after this time counts as failed to start.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What an address is bound for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketPurpose {
    /// Connections of clients.
    Clients,
    /// Gossip datagrams of other gateways.
    Gossip,
}

impl fmt::Display for SocketPurpose {
    /// Writes what the gateway cannot do without the address.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SocketPurpose::Clients => "listen",
            SocketPurpose::Gossip => "receive gossip",
        })
    }
}

/// An address could not be bound.
#[derive(Debug, Error)]
#[error("cannot {purpose} at {address}: {source}")]
pub struct BindError {
    /// What the address is for.
    pub purpose: SocketPurpose,
    /// The address.
    pub address: SocketAddr,
    /// The last error of the operating system.
    pub source: io::Error,
}

/// Binds an address, and waits up to [`BIND_TIMEOUT`] while another process uses it. Cancelling the future gives
/// up the attempt and leaves nothing bound.
///
/// # Errors
/// When the address is still in use after [`BIND_TIMEOUT`], or at once when it cannot be bound for another reason.
pub async fn bind_with_retry<T>(
    purpose: SocketPurpose,
    address: SocketAddr,
    bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> Result<T, BindError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut wait_logged = false;
    loop {
        let source = match bind(address).await {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        let may_become_free = source.kind() == ErrorKind::AddrInUse && Instant::now() < deadline;
        if !may_become_free {
            return Err(BindError {
                purpose,
                address,
                source,
            });
        }
        if !wait_logged {
            wait_logged = true;
            log::event(&LogEvent::AddressInUse {
                purpose: &purpose,
                address,
                timeout: BIND_TIMEOUT,
            });
        }
        sleep(BIND_RETRY_INTERVAL).await;
    }
}
