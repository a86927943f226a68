//! Service phase of the event loop: normal service, or shutdown with a deadline for all responses.

use std::time::Instant;

/// Service phase of the event loop. It changes once, when the process receives a shutdown request.
#[derive(Clone, Copy)]
pub(super) enum ServicePhase {
    /// Only the clients' deadlines limit requests.
    Serving,
    /// The process is shutting down. All requests must be answered by the deadline, because the process
    /// is killed soon after it.
    ShuttingDown { deadline: Instant },
}

impl ServicePhase {
    /// Returns the deadline of a request, given the client's. During a shutdown it is capped so that the
    /// request is answered before the process is killed (test
    /// `request_that_would_outlast_the_shutdown_timeout_is_answered_before_the_exit`).
    pub fn cap_deadline(self, client_deadline: Instant) -> Instant {
        match self {
            ServicePhase::Serving => client_deadline,
            ServicePhase::ShuttingDown { deadline } => client_deadline.min(deadline),
        }
    }

    /// Whether the shutdown deadline has passed. No request can be answered after it.
    pub fn is_past_deadline(self, now: Instant) -> bool {
        match self {
            ServicePhase::Serving => false,
            ServicePhase::ShuttingDown { deadline } => now >= deadline,
        }
    }
}
