//! Final responses that the gateway generates itself.

use crate::Milliseconds;
use crate::gateway::resp;

/// Response to a failed request. It does not tell whether the request was executed.
pub(super) const FAILED: &[u8] = b"-ERR failed\r\n";

/// Returns the response to a rejected request, with the suggested retry delay if that is at least one
/// millisecond.
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
