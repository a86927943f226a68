//! What passes between this gateway and the owners of quotas, of which it may be one itself.
//!
//! A decision of an owner may admit a request, and a request that is rejected after all returns its grant,
//! which may lead the owner to further decisions. That is why this is a part of the coordinator.

use super::Decisions;
use super::account::AccountId;
use super::gossip::{
    GossipMessage, OwnerState, QuotaDecision, QuotaRequest, QuotaRequestId, TenantKey,
};
use super::quota::{QueuedDecision, Settlement, Unused, schedule_renewal};
use super::requests::{LateGrant, PendingRequest, QuotaGrant, ReceivedRequest};
use crate::events::GatewayId;
use crate::units::Tokens;

impl Decisions {
    /// Settles usage that differs from what the owner granted.
    pub(super) fn settle(&mut self, settlement: Settlement) {
        let decisions = self.quotas.settle(&settlement, &mut self.context);
        self.respond_to_queued(settlement.account, decisions);
    }

    /// Keeps the tokens of a request that is not forwarded for later requests, or returns them with its
    /// permit.
    pub(super) fn return_unused(
        &mut self,
        received: &ReceivedRequest,
        permit: Option<QuotaRequestId>,
    ) {
        let AccountId { tenant, owner, .. } = received.account;
        let unused = Unused {
            tokens: received.request.cost,
            permit,
        };
        self.return_to_owner(tenant, owner, unused);
    }

    fn return_to_owner(&mut self, tenant: TenantKey, owner: GatewayId, unused: Unused) {
        let settlement = self
            .quotas
            .return_unused(tenant, owner, unused, self.context.now);
        if let Some(settlement) = settlement {
            self.settle(settlement);
        }
    }

    /// Renews the lease of a permit, if a request in flight still uses it.
    pub(super) fn renew_permit(&mut self, permit: QuotaRequestId) {
        let Some(holder) = self.requests.permit_holder_due(permit, self.context.now) else {
            return;
        };
        let account = holder.received.account;
        if let Some(next) = self.quotas.renew_permit(account, permit, &mut self.context) {
            holder.renew_permit_at = next;
        }
    }

    /// Gossip has arrived, so that other gateways can probably be reached again.
    pub(crate) fn on_gossip(&mut self) {
        self.quotas.report_unconfirmed_usage(&mut self.context);
    }

    /// The owner has responded to a quota request of this gateway.
    pub(crate) fn on_quota_response(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        decision: QuotaDecision,
        state: OwnerState,
    ) {
        self.quotas.set_owner_state(tenant, state, self.context.now);
        self.on_quota_decision(tenant, owner, id, decision);
    }

    fn on_quota_decision(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        decision: QuotaDecision,
    ) {
        match (self.requests.remove_pending(id), decision) {
            (Some(PendingRequest { received, .. }), QuotaDecision::Granted { cost }) => {
                // A repeated grant contains no tokens.
                if cost > Tokens::ZERO {
                    let prefetched = Unused::tokens(cost - received.request.cost);
                    self.return_to_owner(tenant, owner, prefetched);
                }
                self.admit(received, QuotaGrant::Granted(id));
            }
            (Some(pending), QuotaDecision::Denied) => self.reject(&pending.received.request),
            (Some(pending), QuotaDecision::Queued) => {
                self.requests.wait(pending.on_queued(), &mut self.context);
            }
            (None, QuotaDecision::Granted { cost }) => match self.requests.confirm(id) {
                LateGrant::Confirms => {
                    schedule_renewal(id, &mut self.context);
                }
                LateGrant::Repeated => {}
                LateGrant::Unused => self.return_to_owner(
                    tenant,
                    owner,
                    Unused {
                        tokens: cost,
                        permit: Some(id),
                    },
                ),
            },
            (None, _) => {}
        }
    }

    /// Another gateway asks this one, as the owner of an account, for tokens or a permit.
    pub(crate) fn on_quota_request(&mut self, account: AccountId, request: QuotaRequest) {
        let decision = self.decide_as_owner(account, request);
        self.respond(account, &request, decision);
    }

    pub(super) fn decide_as_owner(
        &mut self,
        account: AccountId,
        request: QuotaRequest,
    ) -> QuotaDecision {
        let decisions = self.quotas.grant_queued(account, &mut self.context);
        self.respond_to_queued(account, decisions);
        self.quotas.decide(account, request, &self.context)
    }

    /// Another gateway reports its use of an account that this one owns.
    pub(crate) fn on_usage_message(
        &mut self,
        account: AccountId,
        from: GatewayId,
        message: GossipMessage,
    ) {
        let decisions = self
            .quotas
            .on_usage_message(account, from, message, &mut self.context);
        self.respond_to_queued(account, decisions);
    }

    fn respond_to_queued(&mut self, account: AccountId, decisions: Vec<QueuedDecision>) {
        for QueuedDecision { request, decision } in decisions {
            self.respond(account, &request, decision);
        }
    }

    fn respond(&mut self, account: AccountId, request: &QuotaRequest, decision: QuotaDecision) {
        if request.gateway == self.settings.gateway {
            self.on_quota_decision(account.tenant, account.owner, request.id, decision);
        } else {
            self.quotas
                .send_decision(account, request, decision, &mut self.context);
        }
    }
}
