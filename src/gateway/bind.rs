//! Binds the listening addresses, retrying while the previous process of the gateway still holds them or the
//! system lacks a resource.

use crate::gateway::log::{self, LogEvent};
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// How long binding is retried. A previous process that is shutting down holds
/// the address for some seconds, until it has answered its clients and peers. A gateway that is not ready
/// after this time counts as failed to start.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The purpose of a listening socket, as named in log lines and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketPurpose {
    /// A TCP listener for client connections.
    Clients,
    /// A UDP socket for gossip from other gateways.
    Gossip,
}

impl fmt::Display for SocketPurpose {
    /// Writes the verb phrase that completes a message of the form "cannot ...".
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SocketPurpose::Clients => "listen",
            SocketPurpose::Gossip => "receive gossip",
        })
    }
}

/// The error that [`bind_with_retry`] returns.
#[derive(Debug, Error)]
#[error("cannot {purpose} at {address}: {source}")]
pub struct BindError {
    /// The purpose of the socket that could not be bound.
    pub purpose: SocketPurpose,
    /// The configured address.
    pub address: SocketAddr,
    /// The operating system's error from the last attempt.
    pub source: io::Error,
}

/// Binds `address` with `bind`, retrying for up to [`BIND_TIMEOUT`] while another process uses it or the system
/// has no descriptor or memory for it. Dropping the future cancels the retries and leaves nothing bound.
///
/// # Errors
/// Fails with the last error after [`BIND_TIMEOUT`], and immediately on any other error.
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
        if !is_temporary(&source) || Instant::now() >= deadline {
            return Err(BindError {
                purpose,
                address,
                source,
            });
        }
        if !wait_logged {
            wait_logged = true;
            log_wait(purpose, address, &source);
        }
        sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// Whether an error to bind may pass by itself.
fn is_temporary(error: &io::Error) -> bool {
    let shortages = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM];
    error.kind() == ErrorKind::AddrInUse
        || error
            .raw_os_error()
            .is_some_and(|code| shortages.contains(&code))
}

fn log_wait(purpose: SocketPurpose, address: SocketAddr, error: &io::Error) {
    let (purpose, timeout) = (&purpose, BIND_TIMEOUT);
    if error.kind() == ErrorKind::AddrInUse {
        log::event(&LogEvent::AddressInUse {
            purpose,
            address,
            timeout,
        });
    } else {
        log::event(&LogEvent::BindDelayed {
            purpose,
            address,
            error,
        });
    }
}
