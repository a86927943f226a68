//! The ways in which received bytes can violate the protocol.

use thiserror::Error;

/// Bytes that are not valid RESP, or that exceed one of its limits.
///
/// The text of a variant is part of the wire protocol: a client reads it behind `-ERR protocol error: `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line ends with a line feed alone.
    #[error("a line without CR LF")]
    MissingCarriageReturn,
    /// A line exceeds the longest that a length or an error may take.
    #[error("a line is too long")]
    LineTooLong,
    /// A value does not begin with the type byte that belongs in its place.
    #[error("an unexpected type")]
    UnexpectedType,
    /// A length is not a decimal number of at most ten digits, nor -1.
    #[error("a length is no number")]
    InvalidLength,
    /// A bulk string exceeds [`MAX_VALUE_LEN`](super::MAX_VALUE_LEN).
    #[error("a value is too long")]
    ValueTooLong,
    /// A bulk string is not followed by CR LF.
    #[error("a value does not end where it should")]
    MissingValueTerminator,
    /// The array of a command is empty, null or longer than any that is read.
    #[error("a command with no parts or too many")]
    InvalidPartCount,
    /// A command exceeds [`MAX_COMMAND_LEN`](super::MAX_COMMAND_LEN).
    #[error("a command is too long")]
    CommandTooLong,
    /// A part of a command is a null bulk string.
    #[error("a part is null")]
    NullPart,
    /// The array of an endpoint's reply does not have three elements.
    #[error("an answer that has not three parts")]
    InvalidReplyLength,
    /// The value of an endpoint's reply is a null bulk string.
    #[error("an answer without a value")]
    NullReplyValue,
}
