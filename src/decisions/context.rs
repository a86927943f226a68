//! What the components share while one event is handled: its time, the random numbers, and the actions that
//! it leads to.

use super::account::AccountId;
use super::gossip::{GossipMessage, GossipOutbox, QuotaRequestId, TenantKey};
use crate::events::{Action, EndpointName, GatewayId, RequestId, TimerToken};
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The token of the gossip timer. Greater tokens are those of requests: this one plus the number of the quota
/// request.
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

/// The time of an event, and the mean latency of the endpoints then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Conditions {
    pub now: Timestamp,
    pub mean_latency: Milliseconds,
}

/// The context in which one event is handled.
pub(crate) struct EventContext {
    pub now: Timestamp,
    /// The mean latency of answers from the endpoints.
    pub mean_latency: Milliseconds,
    /// The only source of random numbers. Decisions are reproducible with the same sequence of draws.
    pub rng: Pcg64Mcg,
    actions: Vec<Action>,
    outbox: GossipOutbox,
}

impl EventContext {
    /// A context without actions. All random numbers come from `seed`.
    pub(crate) fn new(settings: &Settings, mean_latency: Milliseconds, seed: u64) -> EventContext {
        EventContext {
            now: Timestamp::ZERO,
            mean_latency,
            rng: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
            outbox: GossipOutbox::new(settings),
        }
    }

    /// The time of the event, and the mean latency.
    pub(crate) fn conditions(&self) -> Conditions {
        Conditions {
            now: self.now,
            mean_latency: self.mean_latency,
        }
    }

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
        let token = TimerToken(GOSSIP_TIMER.0 + request.0);
        self.actions.push(Action::SetTimer { token, delay });
    }

    /// Sends a message to the owner of an account, with the next datagram that is sent to it within
    /// `max_delay`.
    pub(crate) fn send_to_owner(
        &mut self,
        account: AccountId,
        message: &GossipMessage,
        max_delay: Milliseconds,
    ) {
        self.send(account.owner, account.tenant, message, max_delay);
    }

    /// Sends a message about a tenant to a gateway, with the next datagram that is sent to it within
    /// `max_delay`.
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

    /// Records that the gossip timer has fired.
    pub(crate) fn on_gossip_timer(&mut self) {
        self.outbox.on_timer_fired();
    }

    /// Sends the gossip that is due, and returns the actions of the event.
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
