//! The first attempt of a request whose quota is decided: hard limit, permits of this gateway, load
//! shedding and the choice of an endpoint.

use super::Decisions;
use super::load_shedding::{RequestOutcome, SheddingDecision};
use crate::events::EndpointName;
use crate::records::{PendingRequest, WaitingFor};
use crate::units::Timestamp;

impl Decisions {
    /// Forwards a request that its quota covers, once this gateway's own permits, the hard limit, the load
    /// shedder and the endpoints allow it.
    pub(super) fn admit(&mut self, pending: PendingRequest) {
        let tenant = self.tenants.get(&pending.account.tenant);
        if tenant.is_some_and(|tenant| tenant.client.permits.used_up()) {
            return self.wait_for_local_permit(pending);
        }
        // Only now, as other requests of the tenant may have been forwarded while this one waited.
        let covers = tenant
            .is_some_and(|tenant| tenant.client.hard_limit_allotment() >= pending.request.cost.0);
        let over_hard_limit = self.uses_hard_limit_allotment(&pending) && !covers;
        let endpoint = if over_hard_limit {
            None
        } else {
            self.first_endpoint(&pending)
        };
        match endpoint {
            Some(endpoint) => self.forward_first(pending, &endpoint),
            None => self.turn_down(&pending, over_hard_limit),
        }
    }

    fn wait_for_local_permit(&mut self, mut pending: PendingRequest) {
        pending.waits_until_ms = self.wait_limit_ms(&pending);
        pending.waiting_for = WaitingFor::Permit;
        let key = pending.account.tenant;
        let place = self.requests.count_waiting_for_permit(key) + 1;
        let permits = self
            .tenants
            .get(&key)
            .and_then(|tenant| tenant.client.permits.limit())
            .unwrap_or(1);
        let wait_ms =
            self.load_balancer.mean_latency().as_f64() * place as f64 / f64::from(permits);
        if self.now_ms + wait_ms <= pending.waits_until_ms {
            return self.park(pending);
        }
        self.return_lease(&pending);
        self.reject(&pending.request);
    }

    /// Whether a request counts against this gateway's own part of a hard limit.
    fn uses_hard_limit_allotment(&self, pending: &PendingRequest) -> bool {
        let leased = self.settings.gossip_enabled && pending.authorization.covers_cost();
        self.settings.plan(pending.account.plan).hard_limit_rate.0 > 0.0 && !leased
    }

    fn first_endpoint(&mut self, pending: &PendingRequest) -> Option<EndpointName> {
        let (now, endpoint_count) = (Timestamp(self.now_ms), self.load_balancer.endpoint_count());
        let decision = self
            .load_shedder
            .decide(pending.tier, endpoint_count, now, &mut self.rng);
        match decision {
            SheddingDecision::Shed => None,
            SheddingDecision::Forward => self.load_balancer.choose_for_first_attempt(
                pending.request.class,
                now,
                &mut self.rng,
            ),
        }
    }

    /// Rejects a request that was shed, or for which no endpoint has capacity.
    fn turn_down(&mut self, pending: &PendingRequest, over_hard_limit: bool) {
        // A client's retry that is rejected here was counted with the first request.
        if !pending.request.is_retry && !over_hard_limit {
            self.load_shedder.record(
                pending.tier,
                RequestOutcome::Unserved,
                Timestamp(self.now_ms),
            );
        }
        if pending.authorization.permit().is_some() || pending.waits_for_permit() {
            self.return_lease(pending);
        }
        self.reject(&pending.request);
    }

    fn forward_first(&mut self, pending: PendingRequest, endpoint: &EndpointName) {
        let uses_allotment = self.uses_hard_limit_allotment(&pending);
        if let Some(tenant) = self.tenants.get_mut(&pending.account.tenant) {
            tenant.client.charge_hard_limit(if uses_allotment {
                pending.request.cost.0
            } else {
                0.0
            });
            tenant.client.permits.acquire();
        }
        let limits_concurrency = self.settings.plan(pending.account.plan).max_concurrency > 0;
        if limits_concurrency && pending.authorization.permit() == Some(pending.quota_request) {
            self.set_renewal_timer(pending.quota_request);
        }
        let id = pending.request.id;
        self.requests.begin(pending);
        self.forward(id, endpoint);
    }
}
