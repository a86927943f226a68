//! Protocol errors in received bytes.

use thiserror::Error;

/// Error for bytes that are not valid RESP or exceed one of its limits.
///
/// The text of each variant is part of the wire protocol. The client receives it after the prefix
/// `-ERR protocol error: `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line ends with LF instead of CR LF.
    #[error("a line without CR LF")]
    MissingCarriageReturn,
    /// A line with a length or an error exceeds 1024 bytes.
    #[error("a line is too long")]
    LineTooLong,
    /// An element does not start with the expected type byte.
    #[error("an unexpected type")]
    UnexpectedType,
    /// A length is neither -1 nor a decimal number of at most ten digits.
    #[error("a length is no number")]
    InvalidLength,
    /// A bulk string exceeds [`MAX_VALUE_LEN`](super::MAX_VALUE_LEN).
    #[error("a value is too long")]
    ValueTooLong,
    /// A bulk string is not followed by CR LF.
    #[error("a value does not end where it should")]
    MissingValueTerminator,
    /// A command array is null, empty or has more than 64 parts.
    #[error("a command with no parts or too many")]
    InvalidPartCount,
    /// A command exceeds [`MAX_COMMAND_LEN`](super::MAX_COMMAND_LEN).
    #[error("a command is too long")]
    CommandTooLong,
    /// A command part is a null bulk string.
    #[error("a part is null")]
    NullPart,
    /// An endpoint's reply array does not have three elements.
    #[error("an answer that has not three parts")]
    InvalidReplyLength,
    /// The value of an endpoint's reply is a null bulk string.
    #[error("an answer without a value")]
    NullReplyValue,
    /// What follows the value of an endpoint's reply shows that the length of the value may be wrong.
    #[error("an answer whose value has a length that does not fit")]
    UnconfirmedValueLength,
}
