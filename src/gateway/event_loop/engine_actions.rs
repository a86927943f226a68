//! Dispatches the engine's actions.

use crate::Action;
use crate::gateway::event_loop::EventLoop;
use crate::gateway::event_loop::timers::Timer;
use std::time::Instant;

/// Executes one action. `now` is the time of the event that caused it.
pub(super) fn execute(event_loop: &mut EventLoop, action: Action, now: Instant) {
    match action {
        Action::Forward {
            request,
            endpoint,
            deadline,
        } => {
            let deadline = event_loop.clock.instant(deadline);
            event_loop.start_attempt(request, endpoint, now, deadline);
        }
        Action::Reject {
            request,
            retry_after,
            reason,
        } => event_loop.reject(request, retry_after, reason),
        Action::Fail { request } => event_loop.fail(request),
        Action::SendGossip { to, text } => {
            if let Some(gossip) = &event_loop.gossip {
                gossip.send(to, &text);
            }
        }
        Action::SetTimer { token, delay } => {
            let expires_at = event_loop.clock.timestamp(now) + delay;
            if let Some(expires_at) = event_loop.clock.instant(expires_at) {
                event_loop.schedule(expires_at, Timer::Engine { token });
            }
        }
    }
}
