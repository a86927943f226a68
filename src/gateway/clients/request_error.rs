//! Reasons to reject a request as invalid.

use std::fmt;
use thiserror::Error;

/// Why a command is not a valid request. The connection stays open.
///
/// The text is part of the wire protocol: the client reads it behind `-ERR `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The command has too few or too many parts.
    #[error("wrong number of arguments")]
    WrongArgumentCount,
    /// The tenant is not a number of 33 bits in 16 hexadecimal digits.
    #[error("bad customer")]
    InvalidTenant,
    /// The request id is not a number in 16 hexadecimal digits.
    #[error("bad id")]
    InvalidId,
    /// A request with this id is active.
    #[error("this id is open already")]
    DuplicateId,
    /// The fields are not a list of names and values.
    #[error("bad fields")]
    InvalidFields,
    /// The value of a field is invalid.
    #[error("bad {0}")]
    InvalidField(Field),
    /// A field is given more than once.
    #[error("a field stands twice")]
    RepeatedField,
    /// A required field is not given.
    #[error("missing {0}")]
    MissingField(Field),
    /// Idempotent classes are requested by one command and all others by another.
    #[error("not the command of this class")]
    WrongCommandForClass,
}

/// A field of a request. It is displayed by its name on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The class of the request.
    Class,
    /// The tenant's plan.
    Plan,
    /// The client's deadline.
    Deadline,
    /// The cost in tokens.
    Cost,
    /// The first gateway of the tenant's shard.
    ShardStart,
    /// The number of gateways in the tenant's shard.
    ShardSize,
    /// The idempotency key.
    IdempotencyKey,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Field::Class => "c",
            Field::Plan => "t",
            Field::Deadline => "d",
            Field::Cost => "units",
            Field::ShardStart => "first",
            Field::ShardSize => "spread",
            Field::IdempotencyKey => "k",
        })
    }
}
