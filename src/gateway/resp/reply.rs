//! Replies, as endpoints send them: an error line, or an array of a value, its metered use and a load report.

use super::ProtocolError;
use super::primitives::{parse_bulk, parse_length, parse_line};
use std::ops::Range;

/// The elements of a successful reply: value, metered use, load report.
const REPLY_ELEMENTS: usize = 3;

/// An endpoint's reply, as places in the bytes received.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request was served.
    Served {
        /// The value's whole bulk string, header and terminator included, as the client is to receive it.
        value: Range<usize>,
        /// The key-value fields of the metered use, where there are any.
        used: Option<Range<usize>>,
        /// The key-value fields of the load report, where there is one.
        report: Option<Range<usize>>,
    },
    /// An error line, without its type byte and terminator.
    Error(Range<usize>),
}

/// Parses the reply at the beginning of the bytes, and returns it with its length in bytes; `None` while only a part
/// of it has been received.
///
/// The length is 0 where it cannot be determined, because the value is valid but what follows it is malformed. The
/// value is then still good for the client, but the connection cannot be used again.
///
/// # Errors
/// When the bytes are neither an error line nor an array of three elements that begins with a value.
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
