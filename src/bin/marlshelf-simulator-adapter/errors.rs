//! The errors that end the adapter.

use marlshelf::SettingsError;
use std::io;
use std::sync::Arc;
use thiserror::Error;

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Reading the input failed, or the line is not UTF-8.
    #[error("line {line_number}: cannot read input: {error}")]
    Read {
        /// The number of the line, from 1.
        line_number: u64,
        /// The error of the read.
        error: io::Error,
    },
    /// A line of the input could not be handled as a frame.
    #[error("line {line_number}: {error}")]
    Frame {
        /// The number of the line, from 1.
        line_number: u64,
        /// The reason.
        error: FrameError,
    },
    /// The input ended before the end of a batch.
    #[error("line {line_number}: input ended inside a batch")]
    EndInsideBatch {
        /// The number of the last line of the input, from 1.
        line_number: u64,
    },
    /// Writing the output failed, usually because the simulator has closed it.
    #[error("cannot write output: {0}")]
    Write(io::Error),
}

/// The reason why a frame could not be handled.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The line is not valid JSON, or not a known kind of frame with its required fields.
    #[error("cannot parse the frame: {0}")]
    Malformed(serde_json::Error),
    /// A batch begins before the previous one has ended.
    #[error("a batch began before the previous batch ended")]
    NestedBatch,
    /// A frame other than the beginning of a batch arrives between two batches.
    #[error("received a frame outside a batch")]
    OutsideBatch,
    /// The settings of an instance to start are invalid.
    #[error("cannot start {instance}: {error}")]
    Settings {
        /// The name of the instance.
        instance: Arc<str>,
        /// The first fault that validation has found.
        error: SettingsError,
    },
    /// The instance of an event has not been started, or has been stopped.
    #[error("received a frame for {0}, which is not running")]
    UnknownInstance(Arc<str>),
    /// A frame refers to an endpoint list that has not been received.
    #[error("unknown endpoint list {0}")]
    UnknownEndpointList(u32),
    /// Serializing a reply failed.
    #[error("cannot serialize a reply: {0}")]
    Reply(serde_json::Error),
}
