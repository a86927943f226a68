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
/// A value whose length does not fit ends at a line end that is not its own, and the elements behind it
/// cannot be parsed. Malformed elements are therefore tolerated only if the value has no line end in it and
/// is followed by the header of an element. Then its length cannot be too large, and it is too small only if
/// the endpoint's value itself contains a line end and such a header.
///
/// # Errors
/// Returns an error if the bytes are neither an error line nor an array of three elements that starts
/// with a value, or if the length of the value may be wrong.
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
    let content = value.value.ok_or(ProtocolError::NullReplyValue)?;
    let Some(figures) = parse_figures(bytes, value.next)? else {
        return Ok(None);
    };
    if figures.end.is_none() && contains_line_end(&bytes[content]) {
        return Err(ProtocolError::UnconfirmedValueLength);
    }
    Ok(Some(ParsedReply {
        reply: Reply::Served {
            value: header.next..value.next,
            used: figures.used,
            report: figures.report,
        },
        length: figures.end,
    }))
}

/// The elements of a reply after its value.
struct Figures {
    used: Option<Range<usize>>,
    report: Option<Range<usize>>,
    /// The position after the last element; `None` if an element is malformed.
    end: Option<usize>,
}

/// Parses the elements after the value, as far as they are well-formed.
///
/// # Errors
/// Returns an error if no element starts at `start`.
fn parse_figures(bytes: &[u8], start: usize) -> Result<Option<Figures>, ProtocolError> {
    let used = match parse_bulk(bytes, start) {
        Ok(Some(used)) => used,
        Ok(None) => return Ok(None),
        Err(_) => {
            return Ok(parse_element_header(bytes, start)?.map(|()| Figures {
                used: None,
                report: None,
                end: None,
            }));
        }
    };
    let (report, end) = match parse_bulk(bytes, used.next) {
        Ok(Some(report)) => (report.value, Some(report.next)),
        Ok(None) => return Ok(None),
        Err(_) => (None, None),
    };
    Ok(Some(Figures {
        used: used.value,
        report,
        end,
    }))
}

/// Parses the header of a bulk string, an array or an integer. Returns `None` if it is incomplete.
fn parse_element_header(bytes: &[u8], start: usize) -> Result<Option<()>, ProtocolError> {
    let header = match bytes.get(start) {
        Some(&type_byte @ (b'$' | b'*' | b':')) => parse_length(bytes, start, type_byte),
        Some(_) => Err(ProtocolError::UnexpectedType),
        None => Ok(None),
    };
    match header {
        Ok(complete) => Ok(complete.map(|_| ())),
        Err(_) => Err(ProtocolError::UnconfirmedValueLength),
    }
}

fn contains_line_end(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\r\n")
}
