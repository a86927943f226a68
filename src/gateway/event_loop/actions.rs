//! Carries out the actions of the decision engine.

use crate::gateway::event_loop::Gateway;
use crate::gateway::event_loop::timers::Timer;
use crate::gateway::resp;
use crate::{Action, Milliseconds, RequestId};

/// The final answer to a request that failed. It does not say whether the request was executed.
pub(super) const FAILED_ANSWER: &[u8] = b"-ERR failed\r\n";

impl Gateway {
    /// Carries out one action. `now_ms` is the time of the event that led to it.
    pub(super) fn execute(&mut self, action: Action, now_ms: f64) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => self.start_attempt(request, endpoint, deadline.as_f64(), now_ms),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(request, &rejection(retry_after)),
            Action::Fail { request } => self.answer(request, FAILED_ANSWER),
            Action::SendGossip { to, text } => {
                if let Some(gossip) = &self.gossip {
                    gossip.send(to, &text);
                }
            }
            Action::SetTimer { token, delay } => {
                self.schedule(now_ms + delay.as_f64(), Timer::Engine { token });
            }
        }
    }

    /// Gives a request its final answer, one that no endpoint made.
    fn answer(&mut self, id: RequestId, line: &[u8]) {
        if let Some(client) = self.requests.take_client(id) {
            client.answer(id, line);
        }
        self.requests.remove_if_finished(id);
    }
}

/// The final answer to a rejected request, with the time after which a retry is useful if that is a millisecond or
/// more.
fn rejection(retry_after: Milliseconds) -> Vec<u8> {
    let mut line = b"-BUSY".to_vec();
    let retry_after_ms = retry_after.as_f64();
    if retry_after_ms >= 1.0 {
        line.push(b' ');
        resp::put_digits(&mut line, retry_after_ms as u64);
    }
    line.extend_from_slice(b"\r\n");
    line
}
