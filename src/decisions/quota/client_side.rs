//! The accounts that this gateway uses: its requests need tokens and permits of their owners.

use super::{AccountId, Conditions, LeaseDecision, LeaseRequest, QuotaClient, Quotas, Settlement};
use crate::decisions::gossip::{GossipMessage, OwnerState, QuotaRequestId, TenantKey};
use crate::events::{GatewayId, Request};
use crate::units::{Milliseconds, Timestamp, Tokens, TokensPerSecond};
use rand::Rng;

/// The outcome of [`Quotas::check_locally`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LocalCheck {
    /// All permits of this gateway's own are in use.
    NoFreePermit,
    /// This gateway's part of the hard limit does not cover the request.
    OverHardLimit,
    /// The request may be forwarded.
    Passed {
        /// The tokens to charge to this gateway's part of the hard limit.
        hard_limit_cost: Tokens,
    },
}

impl Quotas {
    /// Decides how a request that has just arrived gets its tokens.
    pub(crate) fn request(
        &mut self,
        account: AccountId,
        request: &Request,
        conditions: Conditions,
        rng: &mut impl Rng,
    ) -> LeaseDecision {
        let now = conditions.now;
        let tenant = self.tenants.touch(account, &self.settings, now, rng);
        tenant
            .client
            .request(account, request, &self.settings, conditions)
    }

    /// What the owner is asked for again, when the first message or the response to it was lost.
    pub(crate) fn repeated_lease_request(&self, account: AccountId, cost: Tokens) -> LeaseRequest {
        LeaseRequest {
            cost,
            prefetch: Tokens::ZERO,
            demand: Tokens::ZERO,
            needs_permit: self.shares_permits(account),
        }
    }

    /// Records the owner's state that came with a response.
    pub(crate) fn set_owner_state(&mut self, tenant: TenantKey, state: OwnerState, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.client.set_owner_state(state, now);
        }
    }

    /// Decides whether a request is forwarded although its owner has not responded, given a random number between 0
    /// and 1. Its cost is recorded, to be reported when other gateways are heard from again.
    pub(crate) fn admit_unconfirmed(
        &mut self,
        account: AccountId,
        id: QuotaRequestId,
        request: &Request,
        draw: f64,
    ) -> bool {
        let plan = self.settings.plan(account.plan);
        let Some(tenant) = self.tenants.get_mut(account.tenant) else {
            return false;
        };
        if !tenant.client.admits_unconfirmed(request, plan, draw) {
            return false;
        }
        let cost = request.cost * plan.over_quota_penalty.min(1.0);
        if self.settings.gossip_enabled && cost > Tokens::ZERO {
            self.unconfirmed_usage.add(account, id, cost);
        }
        true
    }

    /// Removes the recorded usage of requests that were forwarded without a response. Returns the reports of it to
    /// the owners.
    pub(crate) fn take_unconfirmed_reports(
        &mut self,
    ) -> impl Iterator<Item = (AccountId, GossipMessage)> + use<> {
        self.unconfirmed_usage.take_reports()
    }

    /// Keeps tokens that were granted and not used for later requests, if it can. Returns what is to be settled
    /// otherwise, with the permit of the request.
    pub(crate) fn return_unused(
        &mut self,
        key: TenantKey,
        owner: GatewayId,
        unused: Tokens,
        permit: Option<QuotaRequestId>,
        now: Timestamp,
    ) -> Option<Settlement> {
        let tenant = self.tenants.get_mut(key)?;
        let shares_permits = tenant.shares_permits(&self.settings);
        let may_keep = !shares_permits && owner != self.settings.gateway;
        if may_keep && tenant.client.keep_unused(unused, now) {
            return None;
        }
        let is_settled = unused > Tokens::ZERO || shares_permits && permit.is_some();
        is_settled.then_some(Settlement {
            account: AccountId {
                tenant: key,
                plan: tenant.plan,
                owner,
            },
            cost: -unused,
            permit,
        })
    }

    /// Checks a request that its quota covers against what this gateway may do without the owner. `covered` says
    /// whether the owner has granted the tokens.
    pub(crate) fn check_locally(
        &self,
        account: AccountId,
        cost: Tokens,
        covered: bool,
    ) -> LocalCheck {
        let client = self
            .tenants
            .get(account.tenant)
            .map(|tenant| &tenant.client);
        if client.is_some_and(QuotaClient::local_permits_used_up) {
            return LocalCheck::NoFreePermit;
        }
        let has_hard_limit = self.settings.plan(account.plan).hard_limit_rate > TokensPerSecond::ZERO;
        if !has_hard_limit || covered && self.settings.gossip_enabled {
            let hard_limit_cost = Tokens::ZERO;
            return LocalCheck::Passed { hard_limit_cost };
        }
        if client.is_some_and(|client| client.hard_limit_covers(cost)) {
            let hard_limit_cost = cost;
            return LocalCheck::Passed { hard_limit_cost };
        }
        LocalCheck::OverHardLimit
    }

    /// Counts a request that is forwarded, and charges `hard_limit_cost` to this gateway's part of the hard limit.
    pub(crate) fn start_request(&mut self, account: AccountId, hard_limit_cost: Tokens) {
        if let Some(tenant) = self.tenants.get_mut(account.tenant) {
            tenant.client.start_request(hard_limit_cost);
        }
    }

    /// Counts a request that has ended. Returns whether this gateway has permits of its own for the account.
    pub(crate) fn end_request(&mut self, account: AccountId) -> bool {
        let Some(tenant) = self.tenants.get_mut(account.tenant) else {
            return false;
        };
        tenant.client.end_request();
        tenant.client.local_permit_limit().is_some()
    }

    /// The number of permits that this gateway has of its own for an account, if it has any.
    pub(crate) fn local_permit_limit(&self, account: AccountId) -> Option<u32> {
        self.tenants
            .get(account.tenant)?
            .client
            .local_permit_limit()
    }

    /// Whether the gateways of the account's shard share the permits of its plan.
    pub(crate) fn shares_permits(&self, account: AccountId) -> bool {
        let limits_concurrency = self.settings.plan(account.plan).max_concurrency > 0;
        limits_concurrency && self.local_permit_limit(account).is_none()
    }

    /// How long the client of a rejected request should wait before it retries; 0 for no advice. It is advised only
    /// where the tokens that the request needs will not be available within its latency objective: for a shorter
    /// time the client's own backoff serves better.
    pub(crate) fn retry_after(&self, request: &Request, now: Timestamp) -> Milliseconds {
        let class = self.settings.classes.get(request.class.0);
        let objective = class.map_or(Milliseconds::ZERO, |class| {
            class.latency_objective
        });
        match self.tokens_available_in(request, now) {
            Some(available_in) if available_in > objective => available_in.ceil(),
            _ => Milliseconds::ZERO,
        }
    }

    /// The duration until the bucket of a request's tenant covers its cost, as far as this gateway knows; `None` if
    /// the tenant is unknown or its rate is not limited. Negative if the bucket covers it already.
    fn tokens_available_in(&self, request: &Request, now: Timestamp) -> Option<Milliseconds> {
        let key = TenantKey::new(&request.tenant, request.plan);
        let tenant = self.tenants.get(key)?;
        let refill_rate = self.settings.plan(tenant.plan).refill_rate;
        let known = tenant.known_tokens();
        let missing = request.cost - known.tokens;
        let available_at = known.as_of + missing.time_at(refill_rate);
        (refill_rate > TokensPerSecond::ZERO).then(|| available_at - now)
    }
}
