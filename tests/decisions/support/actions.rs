//! Queries on the actions that an engine returned.

use marlshelf::{Action, Milliseconds, TimerToken, Timestamp};

/// The token of the gossip outbox timer, which every engine sets. All other tokens belong to requests.
pub const GOSSIP_TIMER: u64 = 1;

/// A timer that an engine has requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timer {
    pub token: u64,
    pub delay_ms: f64,
}

/// Queries on a list of actions.
pub trait Actions {
    /// Returns the endpoint of the first attempt that the actions start.
    fn forwarded_to(&self) -> Option<String>;
    /// Returns the deadline of the first attempt that the actions start.
    fn attempt_deadline_ms(&self) -> Option<f64>;
    fn is_rejected(&self) -> bool;
    fn is_failed(&self) -> bool;
    /// Returns the first timer.
    fn timer(&self) -> Option<Timer>;
    /// Returns the first timer that belongs to a request.
    fn request_timer(&self) -> Option<Timer>;
    /// Returns the texts of all gossip datagrams.
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
