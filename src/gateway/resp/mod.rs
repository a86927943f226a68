//! The subset of RESP2 that clients and endpoints use.
//!
//! Parsers enforce length limits and copy nothing: a parsed [`Command`] or [`Reply`] refers to positions
//! in the input buffer. Every parser returns `Ok(None)` if the message is incomplete. The caller retries
//! with the same bytes after more have arrived.

mod command;
mod encode;
mod error;
mod primitives;
mod reply;

pub use command::{Command, MAX_COMMAND_LEN, MAX_KEPT_PARTS, parse_command};
pub use encode::{put_bulk, put_digits, put_number};
pub use error::ProtocolError;
pub use primitives::MAX_VALUE_LEN;
pub use reply::{ParsedReply, Reply, parse_reply};
