//! Exchange of quota requests, decisions and settlements between this gateway and the owners of quotas, which
//! may be this gateway itself.
//!
//! The coordinator handles these exchanges because they form a cycle with its other decisions: an owner's
//! decision may admit a request, a request rejected after admission returns its grant, and a returned grant
//! may make the owner decide on further requests.

use super::Decisions;
use super::account::AccountId;
use super::gossip::{
    GossipMessage, QuotaDecision, QuotaRequest, QuotaRequestId, QuotaResponse, TenantKey,
};
use super::quota::{FreedPermit, QueuedDecision, Settlement, UnusedGrant, schedule_renewal};
use super::requests::{LateGrant, QuotaGrant, ReceivedRequest};
use crate::events::{GatewayId, RejectReason};
use crate::units::Tokens;

impl Decisions {
    /// Settles usage that differs from the grant, and carries out any decisions on queued requests that
    /// result.
    pub(super) fn settle(&mut self, settlement: Settlement) {
        let decisions = self.quotas.settle(&settlement, &mut self.context);
        self.respond_to_queued(settlement.account, decisions);
    }

    /// Gives back the tokens and the permit of a request that is not forwarded. The tokens may be kept
    /// locally for later requests.
    pub(super) fn return_unused(
        &mut self,
        received: &ReceivedRequest,
        permit: Option<QuotaRequestId>,
    ) {
        let AccountId { tenant, owner, .. } = received.account;
        let unused = UnusedGrant {
            tokens: received.request.cost,
            permit,
        };
        self.return_to_owner(tenant, owner, unused);
    }

    fn return_to_owner(&mut self, tenant: TenantKey, owner: GatewayId, unused: UnusedGrant) {
        let settlement = self
            .quotas
            .return_unused(tenant, owner, unused, self.context.now);
        if let Some(settlement) = settlement {
            self.settle(settlement);
        }
    }

    /// Renews the lease of a permit if the request that holds it is still in flight.
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

    /// Reports unconfirmed usage when gossip arrives, since its arrival suggests that other gateways can be
    /// reached again.
    pub(crate) fn on_gossip(&mut self) {
        self.quotas.report_unconfirmed_usage(&mut self.context);
    }

    /// Handles an owner's response to a quota request of this gateway.
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
                // The response to a retransmitted request that was already granted has a cost of 0.
                if cost > Tokens::ZERO {
                    let prefetched = UnusedGrant::without_permit(cost - received.request.cost);
                    self.return_to_owner(tenant, owner, prefetched);
                }
                self.admit(received, QuotaGrant::Granted(id));
            }
            QuotaDecision::Denied => {
                self.reject(&pending.received.request, RejectReason::QuotaExceeded);
            }
            QuotaDecision::Queued => self
                .requests
                .insert_pending(pending.on_queued(), &mut self.context),
        }
    }

    /// Handles a decision for a request that no longer waits for one. A grant confirms the request if it was
    /// forwarded without a grant. Otherwise the grant is returned to the owner, unless it repeats one that is
    /// in use.
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
                self.return_to_owner(tenant, owner, UnusedGrant { tokens, permit });
            }
        }
    }

    /// Handles a quota request from another gateway for an account that this gateway owns.
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

    /// Handles another gateway's report of its usage of an account that this gateway owns.
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

    /// Reuses the permit of a finished request for the tenant's next waiting request.
    pub(super) fn reuse_permit(&mut self, account: AccountId, grant: QuotaGrant) {
        match self.quotas.end_request(account, grant) {
            FreedPermit::None => {}
            FreedPermit::Local => {
                if let Some(next) = self.requests.remove_oldest_awaiting_permit(account.tenant) {
                    let grant = next.grant_with_local_permit(self.settings.gateway);
                    self.admit(next.received, grant);
                }
            }
            FreedPermit::Shared(permit) => self.transfer_permit(account, permit),
        }
    }

    /// Transfers a shared permit to the tenant's next request at this gateway, or releases it if no request
    /// waits. Releasing it and asking the owner again would leave the permit unused for the duration of the
    /// message exchange.
    fn transfer_permit(&mut self, account: AccountId, permit: QuotaRequestId) {
        let Some(next) = self.requests.remove_oldest(account.tenant) else {
            return self.settle(Settlement::for_permit(account, permit));
        };
        let received = next.received;
        let cost = received.request.cost;
        self.settle(Settlement::for_tokens(received.account, cost));
        self.admit(received, QuotaGrant::InheritedPermit(permit));
    }
}
