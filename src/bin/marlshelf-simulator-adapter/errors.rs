//! Why the adapter ends with failure.

use marlshelf::SettingsError;
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input cannot be read.
    #[error("line {line_number}: cannot read the input: {error}")]
    Read {
        /// The number of the line that could not be read, from 1.
        line_number: u64,
        /// The cause.
        error: io::Error,
    },
    /// A line of the input is not a frame that can be acted on.
    #[error("line {line_number}: {error}")]
    Frame {
        /// The number of the line, from 1.
        line_number: u64,
        /// What is wrong with the frame.
        error: FrameError,
    },
    /// The input has ended before the end of a batch.
    #[error("line {line_number}: the input ends inside a batch")]
    EndInsideBatch {
        /// The number of the last line, from 1.
        line_number: u64,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(io::Error),
}

/// Why a frame cannot be acted on.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The line is not JSON, or not a frame of a known kind with the fields of this kind.
    #[error("cannot parse the frame: {0}")]
    Malformed(serde_json::Error),
    /// A batch begins before the last one has ended.
    #[error("a batch begins inside a batch")]
    NestedBatch,
    /// A frame other than the beginning of a batch comes between two batches.
    #[error("a frame outside a batch")]
    OutsideBatch,
    /// A gateway is to be started with settings that it cannot use.
    #[error("cannot start {instance}: {error}")]
    Settings {
        /// The name of the gateway.
        instance: Arc<str>,
        /// What is wrong with the settings.
        error: SettingsError,
    },
    /// An event is for a gateway that has not been started, or has been stopped.
    #[error("an event for {0}, which has not been started")]
    UnknownInstance(Arc<str>),
    /// A frame refers to an endpoint list that has not been sent.
    #[error("there is no endpoint list with the number {0}")]
    UnknownEndpointList(u32),
    /// An action cannot be serialized.
    #[error("cannot write an action: {0}")]
    Reply(serde_json::Error),
}
