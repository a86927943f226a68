//! Callbacks with which a test or tool records a run.

use crate::ClientRequest;
use marlshelf::{Action, AttemptResult, GatewayId, RequestId, Timestamp};

/// Receives callbacks during a run.
///
/// An observer cannot influence the run and draws no random numbers, so a run has the same result with any
/// observer. The implementation for `()` records nothing.
#[expect(
    unused_variables,
    reason = "the default implementations ignore their arguments"
)]
pub trait Observer {
    /// Called when a client sends a request, before the gateway handles the request.
    fn on_request(&mut self, now: Timestamp, id: RequestId, request: &ClientRequest) {}

    /// Called when a gateway returns an action, before the action is executed.
    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {}

    /// Called when an attempt starts. The attempt may still end without having been sent.
    fn on_attempt_start(&mut self, now: Timestamp, id: RequestId, request: &ClientRequest) {}

    /// Called when an attempt ends, before its gateway is notified.
    fn on_attempt_end(
        &mut self,
        now: Timestamp,
        id: RequestId,
        request: &ClientRequest,
        result: AttemptResult,
    ) {
    }
}

impl Observer for () {}
