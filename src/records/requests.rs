//! Records of the requests that the decision engine has in hand. They only store.

use crate::decisions::load_shedding::PriorityTier;
use crate::decisions::retries::PossibleExecution;
use crate::events::{GatewayId, PlanIndex, Request};
use crate::gossip::{QuotaRequest, QuotaRequestId, TenantKey};

/// The account of a tenant on a plan, and the gateway that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AccountId {
    pub tenant: TenantKey,
    pub plan: PlanIndex,
    pub owner: GatewayId,
}

impl AccountId {
    /// The account that a request is charged to, in a fleet of this many gateways.
    pub(crate) fn of(request: &Request, gateway_count: u32) -> AccountId {
        let tenant = TenantKey::new(&request.tenant, request.plan);
        let offset = tenant.owner_offset(shard_size(request, gateway_count));
        let owner = GatewayId((request.shard_start.0 + offset) % gateway_count);
        AccountId {
            tenant,
            plan: request.plan,
            owner,
        }
    }
}

/// The number of gateways that serve the tenant of a request: all, where it names none.
pub(crate) fn shard_size(request: &Request, gateway_count: u32) -> u32 {
    if request.shard_size == 0 {
        gateway_count
    } else {
        request.shard_size.min(gateway_count)
    }
}

/// A request that is not forwarded yet, or what is known of it once it is.
pub(crate) struct PendingRequest {
    pub request: Request,
    pub account: AccountId,
    pub tier: PriorityTier,
    pub arrived_at_ms: f64,
    /// The number under which the owner knows the request.
    pub quota_request: QuotaRequestId,
    pub authorization: Authorization,
    pub waiting_for: WaitingFor,
    pub waits_until_ms: f64,
}

/// What a request waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitingFor {
    /// The owner's response.
    Response { resent: bool },
    /// A concurrency permit; the tokens are granted.
    Permit,
}

/// What a request may be forwarded on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Authorization {
    /// Nothing that the owner has confirmed: its response is awaited, or did not come in time.
    Unconfirmed,
    /// Tokens that the owner granted in advance.
    Prefetched,
    /// The owner's grant of the request, with its permit.
    Granted(QuotaRequestId),
    /// A permit that an earlier request of the tenant left; the tokens were reported as used.
    InheritedPermit(QuotaRequestId),
}

impl Authorization {
    /// The request under whose number the owner has leased the permit.
    pub(crate) fn permit(self) -> Option<QuotaRequestId> {
        match self {
            Authorization::Granted(permit) | Authorization::InheritedPermit(permit) => Some(permit),
            Authorization::Unconfirmed | Authorization::Prefetched => None,
        }
    }

    /// Whether the owner has granted the tokens.
    pub(crate) fn covers_cost(self) -> bool {
        matches!(self, Authorization::Granted(_) | Authorization::Prefetched)
    }
}

impl PendingRequest {
    /// A request that has just arrived, granted and waiting for nothing but a permit until it is decided on.
    pub(crate) fn new(
        request: Request,
        gateway_count: u32,
        tier: PriorityTier,
        quota_request: QuotaRequestId,
        now_ms: f64,
    ) -> PendingRequest {
        let account = AccountId::of(&request, gateway_count);
        PendingRequest {
            request,
            account,
            tier,
            arrived_at_ms: now_ms,
            quota_request,
            authorization: Authorization::Granted(quota_request),
            waiting_for: WaitingFor::Permit,
            waits_until_ms: now_ms,
        }
    }

    /// How long the request has been here.
    pub(crate) fn age_ms(&self, now_ms: f64) -> f64 {
        now_ms - self.arrived_at_ms
    }

    /// The request for its quota, without a prefetch.
    pub(crate) fn to_quota_request(
        &self,
        gateway: GatewayId,
        needs_permit: bool,
        expires_at_ms: f64,
    ) -> QuotaRequest {
        let (id, cost) = (self.quota_request, self.request.cost.0);
        QuotaRequest {
            gateway,
            id,
            cost,
            prefetch: 0.0,
            needs_permit,
            expires_at_ms,
        }
    }

    /// Whether the request waits in line for a permit.
    pub(crate) fn waits_for_permit(&self) -> bool {
        self.waiting_for == WaitingFor::Permit
    }
}

/// A request that has been forwarded and whose last attempt has not ended.
pub(crate) struct InFlightRequest {
    pub admitted: PendingRequest,
    pub attempts: u32,
    pub client_disconnected: bool,
    /// When the permit is next to be renewed.
    pub renew_permit_at_ms: f64,
    /// The first attempt that may have been executed.
    pub first_execution: Option<PossibleExecution>,
}

impl InFlightRequest {
    /// A request whose first attempt is about to begin.
    pub(crate) fn new(admitted: PendingRequest) -> InFlightRequest {
        InFlightRequest {
            admitted,
            attempts: 0,
            client_disconnected: false,
            renew_permit_at_ms: 0.0,
            first_execution: None,
        }
    }
}
