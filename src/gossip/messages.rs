//! The typed messages that gateways exchange about the quota of a tenant.

use crate::events::GatewayId;
use crate::events::PlanIndex;
use fnv::FnvHasher;
use std::hash::Hasher;

/// The bits of a key that the tenant's name gives.
const NAME_BITS: u32 = 40;
const NAME_MASK: u64 = (1 << NAME_BITS) - 1;

/// A tenant and its plan: 40 bits of the FNV-1a hash of the name, and the plan's number above them. Each plan of a
/// tenant has an account of its own, so that requests on one plan do not use up the quota of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant on a plan.
    pub(crate) fn new(name: &str, plan: PlanIndex) -> TenantKey {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let name_part = (hash ^ (hash >> NAME_BITS)) & NAME_MASK;
        TenantKey(name_part | (plan.0 as u64) << NAME_BITS)
    }

    /// Which gateway of a shard of this size, counted from its start, owns the quotas of the tenant. The name
    /// alone decides, so one gateway owns the accounts of all its plans.
    pub(crate) fn owner_offset(self, shard_size: u32) -> u32 {
        ((self.0 & NAME_MASK) % u64::from(shard_size)) as u32
    }
}

/// The number of a quota request. The gateway that sends it never uses it twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct QuotaRequestId(pub u64);

/// A granted quota request in the fleet. Where the plan limits concurrency, it stands for a permit as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PermitId {
    pub gateway: GatewayId,
    pub request: QuotaRequestId,
}

/// A gateway asks the owner of a tenant's quota to admit a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequest {
    pub gateway: GatewayId,
    pub id: QuotaRequestId,
    /// The cost in tokens; 0 where prefetched tokens already cover it.
    pub cost: f64,
    /// Tokens asked for in advance, for requests to come.
    pub prefetch: f64,
    /// Whether it needs one of the permits that all gateways of the shard share.
    pub needs_permit: bool,
    /// Until when it may wait for a permit.
    pub expires_at_ms: f64,
}

impl QuotaRequest {
    /// The identity under which the owner remembers it.
    pub(crate) fn permit_id(&self) -> PermitId {
        PermitId {
            gateway: self.gateway,
            request: self.id,
        }
    }
}

/// What the owner decides on a quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    Denied,
    /// So many tokens are granted; 0 where the request was granted before.
    Granted {
        cost: f64,
    },
    /// It waits for a permit.
    Queued,
}

/// The owner's account as of its last response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct OwnerState {
    /// Tokens a second that all gateways were asked for.
    pub demand: f64,
    /// Tokens a second that the owner granted.
    pub granted: f64,
    /// Tokens left in the bucket; below zero while it is overdrawn.
    pub tokens: f64,
}

/// A message about one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipMessage {
    /// To the owner: a quota request, and the demand in tokens since the last one.
    RequestQuota {
        plan: PlanIndex,
        request: QuotaRequest,
        demand: f64,
    },
    /// To the owner: tokens to charge, or below zero to return, and a permit to release.
    SettleUsage {
        plan: PlanIndex,
        cost: f64,
        permit: Option<QuotaRequestId>,
    },
    /// To the owner: tokens used while it was not heard from, and the last request among them.
    ReportUnconfirmedUsage {
        plan: PlanIndex,
        last_request: QuotaRequestId,
        cost: f64,
    },
    /// To the owner: the permit is still in use.
    RenewPermit {
        plan: PlanIndex,
        permit: QuotaRequestId,
    },
    /// From the owner: its decision on a request.
    QuotaResponse {
        request: QuotaRequestId,
        decision: QuotaDecision,
        state: OwnerState,
    },
}

impl GossipMessage {
    /// The plan of a message to the owner; `None` for its response.
    pub(crate) fn plan(&self) -> Option<PlanIndex> {
        match *self {
            GossipMessage::RequestQuota { plan, .. }
            | GossipMessage::SettleUsage { plan, .. }
            | GossipMessage::ReportUnconfirmedUsage { plan, .. }
            | GossipMessage::RenewPermit { plan, .. } => Some(plan),
            GossipMessage::QuotaResponse { .. } => None,
        }
    }
}
