//! Questions that tests ask of the actions an engine returned.

use marlshelf::{Action, Milliseconds, TimerToken, Timestamp};

/// The token of the timer that every engine sets for its gossip outbox. All other tokens belong to requests.
pub const GOSSIP_TIMER: u64 = 1;

/// A timer that an engine asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timer {
    pub token: u64,
    pub delay_ms: f64,
}

/// What a list of actions holds.
pub trait Actions {
    /// The endpoint of the first attempt that is started.
    fn forwarded_to(&self) -> Option<String>;
    /// When the first attempt that is started has to be abandoned.
    fn attempt_deadline_ms(&self) -> Option<f64>;
    fn is_rejected(&self) -> bool;
    fn is_failed(&self) -> bool;
    /// The first timer.
    fn timer(&self) -> Option<Timer>;
    /// The first timer that belongs to a request.
    fn request_timer(&self) -> Option<Timer>;
    /// The texts of all gossip datagrams.
    fn gossip(&self) -> Vec<String>;
}

impl Actions for [Action] {
    fn forwarded_to(&self) -> Option<String> {
        self.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(endpoint.to_string()),
            _ => None,
        })
    }

    fn attempt_deadline_ms(&self) -> Option<f64> {
        self.iter().find_map(|action| match action {
            Action::Forward {
                deadline: Timestamp(deadline_ms),
                ..
            } => Some(*deadline_ms),
            _ => None,
        })
    }

    fn is_rejected(&self) -> bool {
        self.iter()
            .any(|action| matches!(action, Action::Reject { .. }))
    }

    fn is_failed(&self) -> bool {
        self.iter()
            .any(|action| matches!(action, Action::Fail { .. }))
    }

    fn timer(&self) -> Option<Timer> {
        self.iter().find_map(timer_of)
    }

    fn request_timer(&self) -> Option<Timer> {
        self.iter()
            .filter_map(timer_of)
            .find(|timer| timer.token > GOSSIP_TIMER)
    }

    fn gossip(&self) -> Vec<String> {
        self.iter()
            .filter_map(|action| match action {
                Action::SendGossip { text, .. } => Some(text.clone()),
                _ => None,
            })
            .collect()
    }
}

fn timer_of(action: &Action) -> Option<Timer> {
    match *action {
        Action::SetTimer {
            token: TimerToken(token),
            delay: Milliseconds(delay_ms),
        } => Some(Timer { token, delay_ms }),
        _ => None,
    }
}
