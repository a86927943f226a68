//! The final answers that the gateway gives itself, without an endpoint.

use crate::Milliseconds;
use crate::gateway::resp;

/// The answer to a request that failed. It does not say whether the request was executed.
pub(super) const FAILED: &[u8] = b"-ERR failed\r\n";

/// The answer to a rejected request, with the time after which a retry is useful if that is a millisecond or more.
pub(super) fn rejection(retry_after: Milliseconds) -> Vec<u8> {
    let mut line = b"-BUSY".to_vec();
    let retry_after_ms = retry_after.as_f64() as u64;
    if retry_after_ms >= 1 {
        line.push(b' ');
        resp::put_digits(&mut line, retry_after_ms);
    }
    line.extend_from_slice(b"\r\n");
    line
}
