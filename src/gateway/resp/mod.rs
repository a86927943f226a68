//! The subset of RESP2 that clients and endpoints speak.
//!
//! Parsing is bounded and copies nothing: a parsed [`Command`] or [`Reply`] refers to places in the bytes received.
//! Every parser returns `Ok(None)` while the bytes hold only the beginning of a message, and is called again with
//! the same bytes once more have arrived.

mod command;
mod encode;
mod error;
mod primitives;
mod reply;

pub use command::{Command, MAX_COMMAND_LEN, MAX_KEPT_PARTS, parse_command};
pub use encode::{put_bulk, put_digits, put_number};
pub use error::ProtocolError;
pub use primitives::MAX_VALUE_LEN;
pub use reply::{Reply, parse_reply};
