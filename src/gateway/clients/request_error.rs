//! Validation errors of client requests.

use std::fmt;
use thiserror::Error;

/// Reason why a command is not a valid request. The connection stays open.
///
/// The text of each variant is part of the wire protocol. The client receives it after the prefix `-ERR `.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The command does not have four or five parts.
    #[error("wrong number of arguments")]
    WrongArgumentCount,
    /// The tenant key is not a 33-bit number written as 16 hexadecimal digits.
    #[error("bad customer")]
    InvalidTenant,
    /// The request id is not a number written as 16 hexadecimal digits.
    #[error("bad id")]
    InvalidId,
    /// Another request with the same id is active.
    #[error("this id is open already")]
    DuplicateId,
    /// The field list is not UTF-8 text of the form `name=value,name=value`.
    #[error("bad fields")]
    InvalidFields,
    /// The value of a field is malformed, out of range, or an unknown class or plan.
    #[error("bad {0}")]
    InvalidField(Field),
    /// A known field other than `r` occurs more than once.
    #[error("a field stands twice")]
    RepeatedField,
    /// A field that every request needs is missing, or the idempotency key of a keyed class.
    #[error("missing {0}")]
    MissingField(Field),
    /// The command does not match the idempotency of the class: `Q.ASK` is for idempotent classes and
    /// `Q.DO` for all others.
    #[error("not the command of this class")]
    WrongCommandForClass,
}

/// A request field. `Display` writes its name on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// `c`: name of the request's class.
    Class,
    /// `t`: name of the tenant's plan.
    Plan,
    /// `d`: the client's deadline, in milliseconds.
    Deadline,
    /// `units`: cost of the request, in tokens.
    Cost,
    /// `first`: index of the first gateway in the tenant's shard.
    ShardStart,
    /// `spread`: number of gateways in the tenant's shard.
    ShardSize,
    /// `k`: idempotency key, which may not be empty.
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
