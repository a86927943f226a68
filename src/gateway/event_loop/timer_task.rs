//! Task that waits for the event loop's timers and dispatches expired ones.

use crate::gateway::event_loop::timers::{NextTimer, Timer};
use crate::gateway::event_loop::{EventLoop, EventLoopHandle};
use crate::{AttemptResult, Event};
use std::time::Instant;
use tokio::time::sleep_until;

/// Fires the timers of an event loop as they expire. Never returns.
pub async fn run_timers(event_loop: EventLoopHandle) {
    let wake_up = event_loop.borrow().timers.wake_up();
    loop {
        let next = fire_expired(&mut event_loop.borrow_mut());
        match next {
            Some(instant) => {
                tokio::select! {
                    () = sleep_until(instant.into()) => {}
                    () = wake_up.notified() => {}
                }
            }
            None => wake_up.notified().await,
        }
    }
}

/// Fires all expired timers and returns the expiry of the next one.
fn fire_expired(event_loop: &mut EventLoop) -> Option<Instant> {
    loop {
        let is_pending = |timer: &Timer| event_loop.forwarder.is_pending(timer);
        match event_loop.timers.next(Instant::now(), is_pending) {
            NextTimer::Expired(timer) => fire(event_loop, timer),
            NextTimer::ExpiresAt(instant) => return Some(instant),
            NextTimer::Empty => return None,
        }
    }
}

fn fire(event_loop: &mut EventLoop, timer: Timer) {
    match timer {
        Timer::Engine { token } => event_loop.notify_engine(Event::TimerFired { token }),
        Timer::AttemptDeadline { attempt } => {
            event_loop.abort_attempt(attempt.request, AttemptResult::TimedOut);
        }
        Timer::AnswerDeadline { request } => event_loop.answer_deadline_passed(request),
        Timer::ReapIdleConnections => event_loop.reap_idle_connections(),
    }
}
