//! The actions that one event leads to, in their order.

use super::gossip::{Datagram, QuotaRequestId};
use crate::events::{Action, EndpointName, RequestId, TimerToken};
use crate::units::{Milliseconds, Timestamp};

/// The token of the gossip timer. Greater tokens are those of requests: this one plus the number of the quota request.
const GOSSIP_TIMER: TimerToken = TimerToken(1);

/// What a timer was set for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// Gossip is due.
    Gossip,
    /// The wait of a request has ended, or the lease of its permit is to be renewed.
    Request(QuotaRequestId),
}

impl TimerPurpose {
    /// What the timer with this token was set for.
    pub(crate) fn of(token: TimerToken) -> TimerPurpose {
        match token {
            GOSSIP_TIMER => TimerPurpose::Gossip,
            _ => TimerPurpose::Request(QuotaRequestId(token.0.saturating_sub(GOSSIP_TIMER.0))),
        }
    }
}

/// Collects the actions of one event.
#[derive(Default)]
pub(crate) struct ActionSink {
    actions: Vec<Action>,
}

impl ActionSink {
    /// Starts an attempt.
    pub(crate) fn forward(
        &mut self,
        request: RequestId,
        endpoint: EndpointName,
        deadline: Timestamp,
    ) {
        self.actions.push(Action::Forward {
            request,
            endpoint,
            deadline,
        });
    }

    /// Answers that the request was rejected.
    pub(crate) fn reject(&mut self, request: RequestId, retry_after: Milliseconds) {
        self.actions.push(Action::Reject {
            request,
            retry_after,
        });
    }

    /// Answers that the request has failed.
    pub(crate) fn fail(&mut self, request: RequestId) {
        self.actions.push(Action::Fail { request });
    }

    /// Sets a timer for a request.
    pub(crate) fn set_request_timer(&mut self, request: QuotaRequestId, delay: Milliseconds) {
        self.set_timer(TimerToken(GOSSIP_TIMER.0 + request.0), delay);
    }

    /// Sets the gossip timer.
    pub(crate) fn set_gossip_timer(&mut self, delay: Milliseconds) {
        self.set_timer(GOSSIP_TIMER, delay);
    }

    fn set_timer(&mut self, token: TimerToken, delay: Milliseconds) {
        self.actions.push(Action::SetTimer {
            token,
            delay,
        });
    }

    /// Sends a datagram.
    pub(crate) fn send(&mut self, Datagram { to, text }: Datagram) {
        self.actions.push(Action::SendGossip { to, text });
    }

    /// Removes and returns the actions.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
