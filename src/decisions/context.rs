//! State that the components share while an event is handled: its time, the random number generator and the
//! resulting actions.

use super::account::AccountId;
use super::gossip::{GossipMessage, GossipOutbox, QuotaRequestId, TenantKey};
use crate::events::{Action, EndpointName, GatewayId, RejectReason, RequestId, TimerToken};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The token of the gossip timer. The token of a request timer is this value plus the quota request number.
const GOSSIP_TIMER: TimerToken = TimerToken(1);

/// The purpose of a timer, decoded from its token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimerPurpose {
    /// Send gossip that is due.
    Gossip,
    /// End the wait of a request, or renew its permit lease.
    Request(QuotaRequestId),
}

impl TimerPurpose {
    pub(crate) fn of(token: TimerToken) -> TimerPurpose {
        match token {
            GOSSIP_TIMER => TimerPurpose::Gossip,
            _ => TimerPurpose::Request(QuotaRequestId(token.0.saturating_sub(GOSSIP_TIMER.0))),
        }
    }
}

/// The time of an event and the mean endpoint latency at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EventSnapshot {
    pub now: Timestamp,
    pub mean_latency: Milliseconds,
}

/// The time, random numbers and accumulated actions of the event being handled.
pub(crate) struct EventContext {
    pub now: Timestamp,
    /// Mean latency of endpoint responses, over all endpoints and classes.
    pub mean_latency: Milliseconds,
    /// The only source of random numbers, so that decisions are reproducible for the same sequence of draws.
    pub rng: Pcg64Mcg,
    actions: Vec<Action>,
    outbox: GossipOutbox,
}

impl EventContext {
    /// Creates a context without actions, whose random numbers all come from `seed`.
    pub(crate) fn new(settings: &Settings, mean_latency: Milliseconds, seed: u64) -> EventContext {
        EventContext {
            now: Timestamp::ZERO,
            mean_latency,
            rng: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
            outbox: GossipOutbox::new(settings),
        }
    }

    /// Returns a copy of the time and the mean latency, for calls that must not borrow the whole context.
    pub(crate) fn snapshot(&self) -> EventSnapshot {
        EventSnapshot {
            now: self.now,
            mean_latency: self.mean_latency,
        }
    }

    /// Adds an action that starts an attempt, to be abandoned at `deadline`.
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

    /// Adds an action that rejects the request. A `retry_after` of zero gives the client no retry advice.
    pub(crate) fn reject(
        &mut self,
        request: RequestId,
        retry_after: Milliseconds,
        reason: RejectReason,
    ) {
        self.actions.push(Action::Reject {
            request,
            retry_after,
            reason,
        });
    }

    /// Adds an action that fails the request, which leaves open whether it has been executed.
    pub(crate) fn fail(&mut self, request: RequestId) {
        self.actions.push(Action::Fail { request });
    }

    /// Adds an action that sets a timer with the token of this quota request.
    pub(crate) fn set_request_timer(&mut self, request: QuotaRequestId, delay: Milliseconds) {
        let token = TimerToken(GOSSIP_TIMER.0 + request.0);
        self.actions.push(Action::SetTimer { token, delay });
    }

    /// Queues a message to the owner of an account. It is sent with the next datagram to that gateway, which
    /// becomes due within `max_delay`.
    pub(crate) fn send_to_owner(
        &mut self,
        account: AccountId,
        message: &GossipMessage,
        max_delay: Milliseconds,
    ) {
        self.send(account.owner, account.tenant, message, max_delay);
    }

    /// Queues a message about a tenant to a gateway. It is sent with the next datagram to that gateway, which
    /// becomes due within `max_delay`.
    pub(crate) fn send(
        &mut self,
        to: GatewayId,
        tenant: TenantKey,
        message: &GossipMessage,
        max_delay: Milliseconds,
    ) {
        let full = self
            .outbox
            .enqueue(to, tenant, message, max_delay, self.now);
        if let Some(datagram) = full {
            self.actions.push(datagram.into());
        }
    }

    /// Tells the outbox that its timer has fired, so that it can request another one.
    pub(crate) fn on_gossip_timer(&mut self) {
        self.outbox.on_timer_fired();
    }

    /// Sends due gossip, sets the next gossip timer and returns the accumulated actions.
    pub(crate) fn finish_event(&mut self) -> Vec<Action> {
        self.outbox.accrue_allowance(self.now);
        while let Some(datagram) = self.outbox.pop_due(self.now) {
            self.actions.push(datagram.into());
        }
        if let Some(delay) = self.outbox.next_timer(self.now) {
            let token = GOSSIP_TIMER;
            self.actions.push(Action::SetTimer { token, delay });
        }
        std::mem::take(&mut self.actions)
    }
}
