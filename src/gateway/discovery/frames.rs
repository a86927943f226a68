//! Splits the bytes of a watch into frames.
//!
//! A frame is an empty line, which is a keep-alive, or one JSON document. Documents usually stand on one line,
//! but may be indented and span several. The bytes may arrive cut at any place.

use super::EndpointUpdate;
use super::document::{DocumentError, MAX_DOCUMENT_BYTES};
use serde_json::Value;
use thiserror::Error;

/// One message of a watch.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// An empty line: discovery is alive, and nothing has changed.
    KeepAlive,
    /// A change of the endpoint list.
    Update(EndpointUpdate),
}

/// Why the bytes of a watch are not a frame. The rest of the watch cannot be read after it.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame is longer than any that is read.
    #[error("frame exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
    /// The frame is not an endpoint list.
    #[error("malformed frame: {0}")]
    Document(#[from] DocumentError),
}

/// Assembles frames from the pieces in which they arrive.
#[derive(Default)]
pub struct FrameDecoder {
    /// What has arrived of the current frame.
    pending: Vec<u8>,
}

impl FrameDecoder {
    /// Takes a piece that holds at most one line end, at its own end, and returns the frame that it completes.
    ///
    /// # Errors
    /// When the bytes received so far cannot be the beginning of a frame, or are too many.
    pub fn decode(&mut self, piece: &[u8]) -> Result<Option<Frame>, FrameError> {
        let is_first_line = !self.pending.contains(&b'\n');
        self.pending.extend_from_slice(piece);
        if self.pending.len() > MAX_DOCUMENT_BYTES {
            return Err(FrameError::TooLong);
        }
        if !piece.ends_with(b"\n") {
            return Ok(None);
        }
        if self.pending.trim_ascii().is_empty() {
            self.pending.clear();
            return Ok(Some(Frame::KeepAlive));
        }
        let line_is_blank = self.last_line().trim_ascii().is_empty();
        // Only a closing brace can complete a document, so that not every line of it makes the whole be parsed
        // again. A blank line inside a document is an error, which the parser reports.
        let may_be_complete = self.pending.trim_ascii().ends_with(b"}");
        if !is_first_line && !line_is_blank && !may_be_complete {
            return Ok(None);
        }
        self.parse_pending(line_is_blank)
    }

    /// The line that has just ended, without its line end.
    fn last_line(&self) -> &[u8] {
        let without_end = &self.pending[..self.pending.len() - 1];
        without_end
            .rsplit(|byte| *byte == b'\n')
            .next()
            .unwrap_or_default()
    }

    fn parse_pending(&mut self, line_is_blank: bool) -> Result<Option<Frame>, FrameError> {
        match serde_json::from_slice::<Value>(self.pending.trim_ascii()) {
            Ok(document) => {
                self.pending.clear();
                Ok(Some(Frame::Update(EndpointUpdate::from_json(&document)?)))
            }
            Err(error) if error.is_eof() && !line_is_blank => Ok(None),
            Err(error) => Err(DocumentError::NotJson(error).into()),
        }
    }
}
