//! Decodes the byte stream of a watch into frames.
//!
//! A frame is either an empty line, which is a keep-alive, or a JSON document. A document is usually on one
//! line, but it may be indented and span several lines. The bytes may be split at any position.

use super::EndpointUpdate;
use super::document::{DocumentError, MAX_DOCUMENT_BYTES};
use serde_json::Value;
use thiserror::Error;

/// One message of a watch.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// An empty line, which shows that discovery is alive although the list has not changed.
    KeepAlive,
    /// A snapshot or delta of the endpoint list.
    Update(EndpointUpdate),
}

/// A malformed frame. The client cannot find the start of the next frame and must open a new watch.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame exceeds the maximum length of a document.
    #[error("frame exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
    /// The frame is neither empty nor a valid endpoint list.
    #[error("malformed frame: {0}")]
    Document(#[from] DocumentError),
}

/// Assembles frames from pieces of the byte stream.
#[derive(Default)]
pub struct FrameDecoder {
    /// The bytes of the current, incomplete frame.
    pending: Vec<u8>,
}

impl FrameDecoder {
    /// Appends a piece of the stream and returns the frame that it completes, if any. The piece must not
    /// contain a line feed except as its last byte.
    ///
    /// # Errors
    /// Fails if the bytes of the current frame are too long or cannot be the start of a valid frame.
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
        // Each attempt parses the whole document, so an indented document is parsed only after a line that
        // ends with a closing brace. A blank line inside a document is an error, which the parser reports.
        let may_be_complete = self.pending.trim_ascii().ends_with(b"}");
        if !is_first_line && !line_is_blank && !may_be_complete {
            return Ok(None);
        }
        self.parse_pending(line_is_blank)
    }

    /// Returns the line that was just completed, without its line feed.
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
