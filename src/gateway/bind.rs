//! The addresses of this gatekeeper, which its former life may still hold.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an address that is in use is waited for. A former life answers for some seconds what it has taken, and
/// its peers; whoever is not ready after this time counts as failed to start.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(30);
/// How often it is tried.
const AGAIN: Duration = Duration::from_millis(50);

/// Takes an address, as soon as nobody else has it. `what` says for the log what it is there for.
///
/// # Errors
/// When it is still in use after `WAIT_MOST`, or can't be had at all.
pub async fn bind_with_retry<T>(
    what: &str,
    at: SocketAddr,
    bind: impl AsyncFn(SocketAddr) -> Result<T>,
) -> std::result::Result<T, String> {
    let ends = Instant::now() + BIND_TIMEOUT;
    let mut complained = false;
    loop {
        match bind(at).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < ends => {
                if !std::mem::replace(&mut complained, true) {
                    let most = BIND_TIMEOUT.as_secs();
                    eprintln!(
                        "marlshelf-gateway: cannot {what} yet: {at} is in use; trying for up to {most} s"
                    );
                }
                sleep(AGAIN).await;
            }
            ended => return ended.map_err(|e| format!("cannot {what} at {at}: {e}")),
        }
    }
}
