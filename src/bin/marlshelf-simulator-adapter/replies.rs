//! The output lines of the simulator protocol.
//!
//! The simulator defines the kinds and keys of the protocol. Where they differ from the names used here, a
//! `rename` attribute states them. The order of the fields is the order of the keys in the output.

use crate::errors::FrameError;
use serde::Serialize;

/// An output line: an action of an instance, or the end of a reply.
#[derive(Serialize)]
#[serde(tag = "kind")]
pub enum Reply<'a> {
    /// Forwards a request to an endpoint, which starts an attempt.
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
    /// Fails a request.
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
        /// The number from the frame that began the batch.
        #[serde(rename = "n")]
        number: u64,
    },
}

impl Reply<'_> {
    /// Appends this line and a line feed to the reply of a batch.
    pub fn append_to(&self, output: &mut Vec<u8>) -> Result<(), FrameError> {
        serde_json::to_writer(&mut *output, self).map_err(FrameError::Reply)?;
        output.push(b'\n');
        Ok(())
    }
}
