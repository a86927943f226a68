//! The lines that the adapter answers with, as they are serialized.
//!
//! Kinds and keys of the wire are the simulator's and appear only in the `rename` attributes here. The order of the
//! fields is the order of the keys in the output.

use crate::errors::FrameError;
use serde::Serialize;

/// One line of the output.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Reply<'a> {
    /// Starts an attempt.
    #[serde(rename = "Deliver")]
    Forward {
        #[serde(rename = "GatekeeperId")]
        instance: &'a str,
        #[serde(rename = "RequestId")]
        request: u64,
        #[serde(rename = "Worker")]
        endpoint: &'a str,
        #[serde(rename = "NotPast")]
        deadline_ms: f64,
    },
    /// Rejects a request.
    #[serde(rename = "Busy")]
    Reject {
        #[serde(rename = "GatekeeperId")]
        instance: &'a str,
        #[serde(rename = "RequestId")]
        request: u64,
        #[serde(rename = "Pause")]
        retry_after_ms: f64,
    },
    /// Answers a request with a failure.
    #[serde(rename = "Lose")]
    Fail {
        #[serde(rename = "GatekeeperId")]
        instance: &'a str,
        #[serde(rename = "RequestId")]
        request: u64,
    },
    /// Sends a gossip message.
    #[serde(rename = "Signal")]
    SendGossip {
        #[serde(rename = "GatekeeperId")]
        instance: &'a str,
        #[serde(rename = "NeighbourId")]
        to: u32,
        #[serde(rename = "Content")]
        text: &'a str,
    },
    /// Sets a timer.
    SetTimer {
        #[serde(rename = "GatekeeperId")]
        instance: &'a str,
        #[serde(rename = "Nonce")]
        token: u64,
        #[serde(rename = "After")]
        delay_ms: f64,
    },
    /// Ends the reply to a batch.
    #[serde(rename = "Ok")]
    EndBatch {
        /// The number of the batch.
        #[serde(rename = "n")]
        number: u64,
    },
}

impl Reply<'_> {
    /// Appends this line to the output of a batch.
    pub fn append_to(&self, output: &mut Vec<u8>) -> Result<(), FrameError> {
        serde_json::to_writer(&mut *output, self).map_err(FrameError::Reply)?;
        output.push(b'\n');
        Ok(())
    }
}
