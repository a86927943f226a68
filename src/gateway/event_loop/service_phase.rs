//! Whether the event loop serves without an end in sight or has to have answered everything by a deadline.

use std::time::Instant;

/// The phase of the event loop. It changes once, when the process is asked to end.
#[derive(Clone, Copy)]
pub(super) enum ServicePhase {
    /// Requests have as much time as their clients give them.
    Serving,
    /// The process is killed soon after the deadline, by which everything has to be answered.
    ShuttingDown { deadline: Instant },
}

impl ServicePhase {
    /// The deadline of a request whose client waits until `client_deadline`. No request outlasts the kill (test
    /// `request_that_would_outlast_the_shutdown_timeout_is_answered_before_the_exit`).
    pub fn limit(self, client_deadline: Instant) -> Instant {
        match self {
            ServicePhase::Serving => client_deadline,
            ServicePhase::ShuttingDown { deadline } => client_deadline.min(deadline),
        }
    }

    /// Whether the deadline of a shutdown has passed, so that no request can be answered any more.
    pub fn has_ended(self, now: Instant) -> bool {
        match self {
            ServicePhase::Serving => false,
            ServicePhase::ShuttingDown { deadline } => now >= deadline,
        }
    }
}
