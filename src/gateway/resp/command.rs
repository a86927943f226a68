//! Parser for client commands, which are arrays of bulk strings.

use super::ProtocolError;
use super::primitives::{MAX_VALUE_LEN, parse_bulk, parse_length};
use std::ops::Range;

/// Maximum number of parts whose positions are recorded. A command with more parts is still parsed to its
/// end, so it can be rejected as unknown without closing the connection.
pub const MAX_KEPT_PARTS: usize = 5;
/// Maximum number of parts in a command. More is a protocol error.
const MAX_PARTS: usize = 64;
/// Maximum length of a command in bytes. One part may have the maximum value length; the other parts of
/// any supported command are short.
pub const MAX_COMMAND_LEN: usize = MAX_VALUE_LEN + 8 * 1024;

/// A complete command, borrowed from the input buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Command<'a> {
    bytes: &'a [u8],
    parts: [Range<usize>; MAX_KEPT_PARTS],
    part_count: usize,
}

impl<'a> Command<'a> {
    /// The encoded command, without any bytes that follow it in the input buffer.
    #[must_use]
    pub fn bytes(&self) -> &'a [u8] {
        self.bytes
    }

    /// The number of parts, including those beyond [`MAX_KEPT_PARTS`].
    #[must_use]
    pub fn part_count(&self) -> usize {
        self.part_count
    }

    /// Position of a part within [`bytes`](Self::bytes). Empty if the part does not exist or its position
    /// was not recorded.
    #[must_use]
    pub fn part_range(&self, index: usize) -> Range<usize> {
        self.parts.get(index).cloned().unwrap_or_default()
    }

    /// Content of a part. Empty if the part does not exist or its position was not recorded.
    #[must_use]
    pub fn part(&self, index: usize) -> &'a [u8] {
        &self.bytes[self.part_range(index)]
    }
}

/// Parses the command at the start of `bytes`. Returns `None` if the command is incomplete.
///
/// # Errors
/// Returns an error if the bytes are not an array of bulk strings or exceed a limit. The start of the
/// next command is then unknown.
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
