//! Reasons why a client connection ends.

use super::connection_error::ConnectionError;
use crate::gateway::resp::ProtocolError;

/// Why a client connection ends. [`as_str`](Self::as_str) is its name in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client has closed its side of the connection or the connection broke.
    Disconnected,
    /// The gateway closes an idle connection: it has been idle for too long, was evicted, or the gateway
    /// shuts down.
    Idle,
    /// The input was rejected with an error.
    Rejected(ConnectionError),
    /// No further response can be delivered.
    OutputFailed(OutputFailure),
}

/// Why no further response can be delivered on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OutputFailure {
    /// A write failed.
    Write,
    /// There is no memory for the rest of a partly written response.
    OutOfMemory,
    /// The client has not read anything for too long.
    Stalled,
    /// The client disconnected before one of its pipelined requests was processed.
    Disconnected,
}

impl CloseReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            CloseReason::Disconnected | CloseReason::OutputFailed(OutputFailure::Disconnected) => {
                "disconnected"
            }
            CloseReason::Idle => "idle",
            CloseReason::Rejected(error) => rejection_name(error),
            CloseReason::OutputFailed(OutputFailure::Write) => "write_failed",
            CloseReason::OutputFailed(OutputFailure::OutOfMemory) => "response_out_of_memory",
            CloseReason::OutputFailed(OutputFailure::Stalled) => "reader_stalled",
        }
    }
}

fn rejection_name(error: ConnectionError) -> &'static str {
    match error {
        ConnectionError::OutOfMemory => "input_out_of_memory",
        ConnectionError::TableFull => "table_full",
        ConnectionError::RequestTimeout => "request_timeout",
        ConnectionError::Protocol(error) => match error {
            ProtocolError::MissingCarriageReturn => "missing_carriage_return",
            ProtocolError::LineTooLong => "line_too_long",
            ProtocolError::UnexpectedType => "unexpected_type",
            ProtocolError::InvalidLength => "invalid_length",
            ProtocolError::ValueTooLong => "value_too_long",
            ProtocolError::MissingValueTerminator => "missing_value_terminator",
            ProtocolError::InvalidPartCount => "invalid_part_count",
            ProtocolError::CommandTooLong => "command_too_long",
            ProtocolError::NullPart => "null_part",
            ProtocolError::InvalidReplyLength
            | ProtocolError::NullReplyValue
            | ProtocolError::UnconfirmedValueLength => "invalid_reply",
        },
    }
}
