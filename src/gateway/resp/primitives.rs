//! Parsers for the elements of commands and replies: lines, lengths and bulk strings.

use super::ProtocolError;
use std::ops::Range;

/// Maximum length of a bulk string, in bytes.
pub const MAX_VALUE_LEN: usize = 64 * 1024;
/// Maximum length of a line with a length or an error, in bytes.
const MAX_LINE_LEN: usize = 1024;
/// Ten digits fit into an `i64` and can express every length that the protocol allows.
const MAX_LENGTH_DIGITS: usize = 10;

/// A parsed element and the position of the next one.
pub(super) struct Parsed<T> {
    pub(super) value: T,
    pub(super) next: usize,
}

/// Parses the line at `start`. The value is the position of its terminator.
pub(super) fn parse_line(
    bytes: &[u8],
    start: usize,
) -> Result<Option<Parsed<usize>>, ProtocolError> {
    let rest = bytes.get(start..).unwrap_or_default();
    let searched = &rest[..rest.len().min(MAX_LINE_LEN)];
    match searched.iter().position(|byte| *byte == b'\n') {
        Some(line_feed) if line_feed > 0 && searched[line_feed - 1] == b'\r' => Ok(Some(Parsed {
            value: start + line_feed - 1,
            next: start + line_feed + 1,
        })),
        Some(_) => Err(ProtocolError::MissingCarriageReturn),
        None if rest.len() >= MAX_LINE_LEN => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

/// Parses a type byte followed by a length. A length of -1 represents null and is returned as `None`.
pub(super) fn parse_length(
    bytes: &[u8],
    start: usize,
    type_byte: u8,
) -> Result<Option<Parsed<Option<usize>>>, ProtocolError> {
    match bytes.get(start) {
        None => return Ok(None),
        Some(byte) if *byte != type_byte => return Err(ProtocolError::UnexpectedType),
        Some(_) => {}
    }
    let Some(line) = parse_line(bytes, start + 1)? else {
        return Ok(None);
    };
    let digits = &bytes[start + 1..line.value];
    let value = match digits {
        b"-1" => None,
        _ => Some(parse_digits(digits)?),
    };
    Ok(Some(Parsed {
        value,
        next: line.next,
    }))
}

/// Parses an unsigned decimal number. Signs and spaces are rejected.
fn parse_digits(digits: &[u8]) -> Result<usize, ProtocolError> {
    let length_is_valid = (1..=MAX_LENGTH_DIGITS).contains(&digits.len());
    if !length_is_valid || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError::InvalidLength);
    }
    let number = digits
        .iter()
        .fold(0u64, |number, digit| number * 10 + u64::from(digit - b'0'));
    // A length that does not fit into `usize` exceeds every limit, as `usize::MAX` does.
    Ok(usize::try_from(number).unwrap_or(usize::MAX))
}

/// Parses a bulk string. The value is the position of its content, or `None` for the null bulk string.
pub(super) fn parse_bulk(
    bytes: &[u8],
    start: usize,
) -> Result<Option<Parsed<Option<Range<usize>>>>, ProtocolError> {
    let Some(header) = parse_length(bytes, start, b'$')? else {
        return Ok(None);
    };
    let Some(length) = header.value else {
        return Ok(Some(Parsed {
            value: None,
            next: header.next,
        }));
    };
    if length > MAX_VALUE_LEN {
        return Err(ProtocolError::ValueTooLong);
    }
    let end = header.next + length;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some(Parsed {
            value: Some(header.next..end),
            next: end + 2,
        })),
        Some(_) => Err(ProtocolError::MissingValueTerminator),
        None => Ok(None),
    }
}
