//! What passes between this gateway and the owners of quotas, of which it may be one itself.
//!
//! A decision of an owner may admit a request, and a request that is rejected after all returns its grant,
//! which may lead the owner to further decisions. That is why this is a part of the coordinator.

use super::Decisions;
use super::account::AccountId;
use super::gossip::{
    GossipMessage, QuotaDecision, QuotaRequest, QuotaRequestId, QuotaResponse, TenantKey,
};
use super::quota::{QueuedDecision, Settlement, Unused, schedule_renewal};
use super::requests::{LateGrant, QuotaGrant, ReceivedRequest};
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
        let Some(holder) = self
            .requests
            .permit_holder_due_for_renewal(permit, self.context.now)
        else {
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
        response: QuotaResponse,
    ) {
        let QuotaResponse {
            request,
            decision,
            state,
        } = response;
        self.quotas.set_owner_state(tenant, state, self.context.now);
        self.on_quota_decision(tenant, owner, request, decision);
    }

    fn on_quota_decision(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        decision: QuotaDecision,
    ) {
        let Some(pending) = self.requests.remove_pending(id) else {
            return self.on_late_decision(tenant, owner, id, decision);
        };
        match decision {
            QuotaDecision::Granted { cost } => {
                let received = pending.received;
                // A repeated grant contains no tokens.
                if cost > Tokens::ZERO {
                    let prefetched = Unused::tokens(cost - received.request.cost);
                    self.return_to_owner(tenant, owner, prefetched);
                }
                self.admit(received, QuotaGrant::Granted(id));
            }
            QuotaDecision::Denied => self.reject(&pending.received.request),
            QuotaDecision::Queued => self
                .requests
                .insert_pending(pending.on_queued(), &mut self.context),
        }
    }

    /// A grant that arrives when the request no longer waits for it confirms that request, if it was
    /// forwarded without one. Otherwise the grant is returned.
    fn on_late_decision(
        &mut self,
        tenant: TenantKey,
        owner: GatewayId,
        id: QuotaRequestId,
        decision: QuotaDecision,
    ) {
        let QuotaDecision::Granted { cost: tokens } = decision else {
            return;
        };
        match self.requests.apply_late_grant(id) {
            LateGrant::Confirms => {
                schedule_renewal(id, &mut self.context);
            }
            LateGrant::Repeated => {}
            LateGrant::Unused => {
                let permit = Some(id);
                self.return_to_owner(tenant, owner, Unused { tokens, permit });
            }
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
