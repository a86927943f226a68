//! Counts malformed endpoint responses for the log.

use crate::EndpointName;
use crate::gateway::endpoints::EndpointProtocolError;
use crate::gateway::log::{self, LogEvent};

/// Malformed responses since the last log line about them. They are aggregated because one line per
/// response would flood the log.
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
    /// Counts a malformed response and remembers it as the last one.
    pub fn record(&mut self, endpoint: EndpointName, error: EndpointProtocolError) {
        self.count += 1;
        self.last = Some(MalformedResponse { endpoint, error });
    }

    /// Logs the count and the last error if there were malformed responses, and resets the count.
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
