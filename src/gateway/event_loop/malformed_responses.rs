//! Counts the responses that could not be read, for the log.

use crate::EndpointName;
use crate::gateway::endpoints::EndpointProtocolError;
use crate::gateway::log::{self, LogEvent};

/// The malformed responses since the last line about them in the log. A line for each would flood it.
#[derive(Default)]
pub(super) struct MalformedResponses {
    count: u32,
    last: Option<MalformedResponse>,
}

struct MalformedResponse {
    endpoint: EndpointName,
    error: EndpointProtocolError,
}

impl MalformedResponses {
    /// Counts a response of this endpoint.
    pub fn record(&mut self, endpoint: EndpointName, error: EndpointProtocolError) {
        self.count += 1;
        self.last = Some(MalformedResponse { endpoint, error });
    }

    /// Writes a line to the log if there were any since the last one.
    pub fn log(&mut self) {
        let MalformedResponses { count, last } = std::mem::take(self);
        if let Some(last) = last {
            log::event(&LogEvent::MalformedResponses {
                count,
                last_endpoint: &last.endpoint,
                last_error: &last.error,
            });
        }
    }
}
