//! The actions that one event leads to, and the gossip that waits to go with them.

use super::AccountId;
use super::gossip_outbox::{GossipOutbox, OutboxLimits};
use crate::events::{Action, EndpointName, GatewayId, RequestId, TimerToken};
use crate::gossip::{GossipMessage, QuotaRequestId, TenantKey, encode};
use crate::units::{Milliseconds, Timestamp};

/// The token of the gossip timer. Those above it are the numbers of quota requests, counted on from it.
const GOSSIP_TIMER: TimerToken = TimerToken(1);

/// What a timer was set for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// Gossip is due.
    Gossip,
    /// The wait of a request is over, or its permit is to be renewed.
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

/// Collects the actions of one event in their order.
pub(crate) struct ActionSink {
    now_ms: f64,
    actions: Vec<Action>,
    outbox: GossipOutbox,
}

impl ActionSink {
    /// No actions and no gossip yet.
    pub(crate) fn new(limits: OutboxLimits) -> ActionSink {
        ActionSink {
            now_ms: 0.0,
            actions: Vec::new(),
            outbox: GossipOutbox::new(limits),
        }
    }

    /// The time of the event that is being handled.
    pub(crate) fn set_time(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
    }

    /// Begins an attempt.
    pub(crate) fn forward(&mut self, request: RequestId, endpoint: EndpointName, deadline_ms: f64) {
        self.actions.push(Action::Forward {
            request,
            endpoint,
            deadline: Timestamp(deadline_ms),
        });
    }

    /// Answers that the request was rejected.
    pub(crate) fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        self.actions.push(Action::Reject {
            request,
            retry_after: Milliseconds(retry_after_ms),
        });
    }

    /// Answers that the request has failed.
    pub(crate) fn fail(&mut self, request: RequestId) {
        self.actions.push(Action::Fail { request });
    }

    /// Sets a timer for a request.
    pub(crate) fn set_request_timer(&mut self, request: QuotaRequestId, delay_ms: f64) {
        self.actions.push(Action::SetTimer {
            token: TimerToken(GOSSIP_TIMER.0 + request.0),
            delay: Milliseconds(delay_ms),
        });
    }

    /// Puts a message into the next datagram to a gateway, which goes after `delay_ms` at the latest.
    pub(crate) fn send_gossip(
        &mut self,
        to: GatewayId,
        tenant: TenantKey,
        message: &GossipMessage,
        delay_ms: f64,
    ) {
        let item = encode(tenant, message, self.now_ms);
        if let Some(datagram) = self.outbox.enqueue(to, item, self.now_ms + delay_ms) {
            self.actions.push(Action::SendGossip {
                to: datagram.to,
                text: datagram.text,
            });
        }
    }

    /// Sends a message to the owner of an account.
    pub(crate) fn send_to_owner(
        &mut self,
        account: AccountId,
        message: &GossipMessage,
        delay_ms: f64,
    ) {
        self.send_gossip(account.owner, account.tenant, message, delay_ms);
    }

    /// The gossip timer has fired.
    pub(crate) fn gossip_timer_fired(&mut self) {
        self.outbox.timer_fired();
    }

    /// Sends the gossip that is due, as far as the peers can take it in, and sets the timer for the rest.
    pub(crate) fn flush_gossip(&mut self) {
        self.outbox.accrue_allowance(self.now_ms);
        while let Some(datagram) = self.outbox.take_due(self.now_ms) {
            self.actions.push(Action::SendGossip {
                to: datagram.to,
                text: datagram.text,
            });
        }
        if let Some(delay_ms) = self.outbox.next_timer_ms(self.now_ms) {
            self.actions.push(Action::SetTimer {
                token: GOSSIP_TIMER,
                delay: Milliseconds(delay_ms),
            });
        }
    }

    /// Takes the actions of the event.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
