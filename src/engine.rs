//! Decision engine of one gateway: dispatches events to the decision components and returns their actions.

use crate::decisions::{AccountId, Decisions, GossipMessage, TenantKey, TimerPurpose, decode};
use crate::events::{Action, Event, GatewayId, TenantStatistics};
use crate::settings::{Settings, SettingsError};
use crate::units::Timestamp;
use std::sync::Arc;

/// Event-driven decision engine of one gateway. It performs no I/O and reads no clock.
pub struct DecisionEngine {
    decisions: Decisions,
    gateway: GatewayId,
    plan_count: usize,
    now: Timestamp,
}

impl DecisionEngine {
    /// Creates the engine of a gateway that has just started. `seed` determines all of its random numbers.
    ///
    /// # Errors
    /// Returns the first error that [`Settings::validate`] finds.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(DecisionEngine {
            gateway: settings.gateway,
            plan_count: settings.plans.len(),
            now: Timestamp::ZERO,
            decisions: Decisions::new(Arc::new(settings), seed),
        })
    }

    /// Handles an event that happened at `now` and returns the actions to execute, in order.
    ///
    /// If `now` is earlier than the time of the previous event, the time of the previous event is used.
    pub fn handle_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.decisions.set_time(self.now);
        match event {
            Event::EndpointsChanged { kind, endpoints } => {
                self.decisions.on_endpoints_changed(kind, endpoints);
            }
            Event::RequestReceived(request) => self.decisions.on_request(request),
            Event::AttemptFinished(outcome) => self.decisions.on_attempt_finished(&outcome),
            Event::ClientDisconnected { request } => {
                self.decisions.on_client_disconnected(request);
            }
            Event::GossipReceived { from, text } => self.on_gossip(from, &text),
            Event::TimerFired { token } => match TimerPurpose::of(token) {
                TimerPurpose::Gossip => self.decisions.on_gossip_timer(),
                TimerPurpose::Request(request) => self.decisions.on_request_timer(request),
            },
            Event::HealthChecked { .. } => {}
        }
        self.decisions.finish_event()
    }

    /// Returns how many tenants have quota state here. [`Settings::tenant_memory_bytes`] limits their number.
    #[must_use]
    pub fn tenant_statistics(&self) -> TenantStatistics {
        self.decisions.tenant_statistics()
    }

    fn on_gossip(&mut self, from: GatewayId, text: &str) {
        self.decisions.on_gossip();
        for (tenant, message) in decode(text, from, self.now) {
            match message {
                GossipMessage::QuotaResponse(response) => {
                    self.decisions.on_quota_response(tenant, from, response);
                }
                message => self.on_message_to_owner(from, tenant, message),
            }
        }
    }

    fn on_message_to_owner(&mut self, from: GatewayId, tenant: TenantKey, message: GossipMessage) {
        let Some(plan) = message.plan().filter(|plan| plan.0 < self.plan_count) else {
            return;
        };
        let account = AccountId {
            tenant,
            plan,
            owner: self.gateway,
        };
        match message {
            GossipMessage::RequestQuota { request, .. } => {
                self.decisions.on_quota_request(account, request);
            }
            message => self.decisions.on_usage_message(account, from, message),
        }
    }
}
