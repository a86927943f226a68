//! Parser for endpoint replies: an error line, or an array of a value, its metered use and a load report.

use super::ProtocolError;
use super::primitives::{parse_bulk, parse_length, parse_line};
use std::ops::Range;

/// Number of elements in a successful reply: value, metered use and load report.
const REPLY_ELEMENTS: usize = 3;

/// An endpoint's reply, as positions in the input buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A successful reply.
    Served {
        /// The value as a complete bulk string with header and terminator, as it is sent to the client.
        value: Range<usize>,
        /// Key-value fields of the metered use, if present.
        used: Option<Range<usize>>,
        /// Key-value fields of the load report, if present.
        report: Option<Range<usize>>,
    },
    /// An error line, without its type byte and terminator.
    Error(Range<usize>),
}

/// Parses the reply at the start of `bytes`, and returns it with its length in bytes. Returns `None` if
/// the reply is incomplete.
///
/// The length is 0 if the value is valid but the elements after it are malformed. The value can still be
/// sent to the client, but the connection cannot be reused because the start of the next reply is
/// unknown.
///
/// # Errors
/// Returns an error if the bytes are neither an error line nor an array of three elements that starts
/// with a value.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'-') => {
            Ok(parse_line(bytes, 1)?.map(|line| (Reply::Error(1..line.value), line.next)))
        }
        Some(_) => parse_served(bytes),
    }
}

fn parse_served(bytes: &[u8]) -> Result<Option<(Reply, usize)>, ProtocolError> {
    let Some(header) = parse_length(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if header.value != Some(REPLY_ELEMENTS) {
        return Err(ProtocolError::InvalidReplyLength);
    }
    let Some(value) = parse_bulk(bytes, header.next)? else {
        return Ok(None);
    };
    value.value.ok_or(ProtocolError::NullReplyValue)?;
    let served = |used, report| Reply::Served {
        value: header.next..value.next,
        used,
        report,
    };
    let used = match parse_bulk(bytes, value.next) {
        Ok(Some(used)) => used,
        Ok(None) => return Ok(None),
        Err(_) => return Ok(Some((served(None, None), 0))),
    };
    Ok(match parse_bulk(bytes, used.next) {
        Ok(Some(report)) => Some((served(used.value, report.value), report.next)),
        Ok(None) => None,
        Err(_) => Some((served(used.value, None), 0)),
    })
}
