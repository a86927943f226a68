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

/// A complete reply and its position in the input buffer, which starts with it.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedReply {
    /// The reply.
    pub reply: Reply,
    /// The length in bytes, or `None` if the elements after the value are malformed. The value can be sent to
    /// the client, but the start of the next reply is unknown, so the connection cannot be reused.
    pub length: Option<usize>,
}

/// Parses the reply at the start of `bytes`. Returns `None` if the reply is incomplete.
///
/// # Errors
/// Returns an error if the bytes are neither an error line nor an array of three elements that starts
/// with a value.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<ParsedReply>, ProtocolError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'-') => Ok(parse_line(bytes, 1)?.map(|line| ParsedReply {
            reply: Reply::Error(1..line.value),
            length: Some(line.next),
        })),
        Some(_) => parse_served(bytes),
    }
}

fn parse_served(bytes: &[u8]) -> Result<Option<ParsedReply>, ProtocolError> {
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
    let served = |used, report, length| {
        Ok(Some(ParsedReply {
            reply: Reply::Served {
                value: header.next..value.next,
                used,
                report,
            },
            length,
        }))
    };
    let used = match parse_bulk(bytes, value.next) {
        Ok(Some(used)) => used,
        Ok(None) => return Ok(None),
        Err(_) => return served(None, None, None),
    };
    match parse_bulk(bytes, used.next) {
        Ok(Some(report)) => served(used.value, report.value, Some(report.next)),
        Ok(None) => Ok(None),
        Err(_) => served(used.value, None, None),
    }
}
