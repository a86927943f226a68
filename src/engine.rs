//! The decision engine of one gateway: takes in events, hands them to the decisions, and returns the actions.

use crate::decisions::Decisions;
use crate::events::{Action, Event, GatewayId};
use crate::gossip::{GossipMessage, PermitId, TenantKey, decode};
use crate::records::{AccountId, TimerPurpose};
use crate::settings::{Settings, SettingsError};
use crate::units::Timestamp;
use std::sync::Arc;

/// The decisions of one gateway, driven by events. It does no input or output and reads no clock.
pub struct DecisionEngine {
    decisions: Decisions,
    gateway: GatewayId,
    plan_count: usize,
    now_ms: f64,
}

impl DecisionEngine {
    /// A gateway that has just started and knows nothing yet. All its random numbers come from `seed`.
    ///
    /// # Errors
    /// When the settings hold a figure that cannot be acted on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(DecisionEngine {
            gateway: settings.gateway,
            plan_count: settings.plans.len(),
            now_ms: 0.0,
            decisions: Decisions::new(Arc::new(settings), seed),
        })
    }

    /// Takes in one event, at this time, and returns what is to be done, in that order. The time
    /// never runs backwards: an earlier one than that of the last event counts as the same.
    pub fn handle_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now.as_f64());
        self.decisions.set_time(self.now_ms);
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

    fn on_gossip(&mut self, from: GatewayId, text: &str) {
        self.decisions.report_unconfirmed_usage();
        for (tenant, message) in decode(text, from, self.now_ms) {
            match message {
                GossipMessage::QuotaResponse {
                    request,
                    decision,
                    state,
                } => {
                    self.decisions.on_owner_state(tenant, state);
                    self.decisions
                        .on_quota_decision(tenant, from, request, decision);
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
        let permit_of = |request| PermitId {
            gateway: from,
            request,
        };
        match message {
            GossipMessage::RequestQuota {
                request, demand, ..
            } => {
                self.decisions.on_quota_request(account, request, demand);
            }
            GossipMessage::SettleUsage { cost, permit, .. } => {
                self.decisions
                    .settle_owned(account, cost, permit.map(permit_of));
            }
            GossipMessage::ReportUnconfirmedUsage {
                last_request, cost, ..
            } => {
                let ledger = self.decisions.owned(account);
                ledger.charge_unconfirmed(permit_of(last_request), cost);
            }
            GossipMessage::RenewPermit { permit, .. } => {
                self.decisions.owned(account);
                self.decisions.renew_owned(account, permit_of(permit));
            }
            GossipMessage::QuotaResponse { .. } => {}
        }
    }
}
