//! What a test or a tool records of a run.

use crate::ClientRequest;
use marlshelf::{Action, AttemptResult, GatewayId, RequestId, Timestamp};

/// Watches a run. It changes nothing and draws no random numbers, so that a run is the same with any observer.
///
/// `()` is the observer that records nothing.
#[expect(unused_variables, reason = "the default does nothing")]
pub trait Observer {
    /// A client has sent a request, which its gateway receives next.
    fn on_request(&mut self, now: Timestamp, id: RequestId, request: &ClientRequest) {}

    /// A gateway has returned an action, which is carried out next.
    fn on_action(&mut self, now: Timestamp, gateway: GatewayId, action: &Action) {}

    /// An attempt of a request starts.
    fn on_attempt_start(&mut self, now: Timestamp, id: RequestId, request: &ClientRequest) {}

    /// An attempt of a request has ended, of which its gateway is notified next.
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
