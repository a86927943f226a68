//! Commands, as clients send them: arrays of bulk strings.

use super::ProtocolError;
use super::primitives::{MAX_VALUE_LEN, parse_bulk, parse_length};
use std::ops::Range;

/// Parts of a command that are kept. A command with more parts is read to its end, so that it can be rejected as
/// unknown without closing the connection.
pub const MAX_KEPT_PARTS: usize = 5;
/// A command with more parts than this is a protocol error.
const MAX_PARTS: usize = 64;
/// The longest command, in bytes: one part may be a whole value, and the others are short in every useful command.
pub const MAX_COMMAND_LEN: usize = MAX_VALUE_LEN + 8 * 1024;

/// A whole command, whose parts lie in the bytes received.
#[derive(Debug, PartialEq, Eq)]
pub struct Command<'a> {
    bytes: &'a [u8],
    parts: [Range<usize>; MAX_KEPT_PARTS],
    part_count: usize,
}

impl<'a> Command<'a> {
    /// The bytes of the whole command.
    #[must_use]
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// The number of parts, including those beyond [`MAX_KEPT_PARTS`].
    #[must_use]
    pub fn part_count(&self) -> usize {
        self.part_count
    }

    /// The place of a part within [`bytes`](Self::bytes); empty where there is no such part.
    #[must_use]
    pub fn part_range(&self, index: usize) -> Range<usize> {
        self.parts.get(index).cloned().unwrap_or_default()
    }

    /// The bytes of a part; empty where there is no such part.
    #[must_use]
    pub fn part(&self, index: usize) -> &'a [u8] {
        &self.bytes[self.part_range(index)]
    }
}

/// Parses the command at the beginning of the bytes; `None` while only a part of it has been received.
///
/// # Errors
/// When the bytes are not an array of bulk strings, or exceed a limit. Where the next command begins is then unknown.
pub fn parse_command(bytes: &[u8]) -> Result<Option<Command<'_>>, ProtocolError> {
    let Some(header) = parse_length(bytes, 0, b'*')? else {
        return Ok(None);
    };
    let part_count = header
        .value
        .filter(|count| (1..=MAX_PARTS).contains(count))
        .ok_or(ProtocolError::InvalidPartCount)?;
    let mut parts: [Range<usize>; MAX_KEPT_PARTS] = Default::default();
    let mut position = header.next;
    for index in 0..part_count {
        let Some(part) = parse_bulk(bytes, position)? else {
            return if bytes.len() > MAX_COMMAND_LEN {
                Err(ProtocolError::CommandTooLong)
            } else {
                Ok(None)
            };
        };
        let range = part.value.ok_or(ProtocolError::NullPart)?;
        if let Some(kept) = parts.get_mut(index) {
            *kept = range;
        }
        position = part.next;
    }
    if position > MAX_COMMAND_LEN {
        return Err(ProtocolError::CommandTooLong);
    }
    Ok(Some(Command {
        bytes: &bytes[..position],
        parts,
        part_count,
    }))
}
