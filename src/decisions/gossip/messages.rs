//! Typed messages that gateways exchange about tenants' quotas.

use crate::events::{GatewayId, PlanIndex};
use crate::units::{Timestamp, Tokens, TokensPerSecond};
use fnv::FnvHasher;
use std::hash::Hasher;

/// Number of low bits of a tenant key that hold the hash of the tenant's name.
const NAME_BITS: u32 = 40;
const NAME_MASK: u64 = (1 << NAME_BITS) - 1;

/// A tenant on a plan: the low 40 bits hold the FNV-1a hash of the tenant's name folded to 40 bits, and the
/// bits above hold the plan index. Each plan of a tenant has its own account, so that requests on one plan do
/// not use up the quota of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TenantKey(pub u64);

impl TenantKey {
    pub(crate) fn new(name: &str, plan: PlanIndex) -> TenantKey {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let name_hash = (hash ^ (hash >> NAME_BITS)) & NAME_MASK;
        TenantKey(name_hash | (plan.0 as u64) << NAME_BITS)
    }

    /// Returns the hash of the tenant's name, which is the same for all plans of the tenant.
    pub(crate) fn name_hash(self) -> u64 {
        self.0 & NAME_MASK
    }
}

/// Id of a quota request, unique among the requests of the gateway that sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct QuotaRequestId(pub u64);

/// Fleet-wide id of a granted quota request. If the plan limits concurrency, it also identifies the permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PermitId {
    pub gateway: GatewayId,
    pub request: QuotaRequestId,
}

/// A gateway's request to the owner of a quota to admit a client request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequest {
    pub gateway: GatewayId,
    pub id: QuotaRequestId,
    /// Cost of the client request; 0 if prefetched tokens already cover it.
    pub cost: Tokens,
    /// Tokens to lease in advance, for later requests.
    pub prefetch: Tokens,
    /// Demand at the gateway since its last quota request for this account.
    pub demand: Tokens,
    /// Whether the request needs a permit from the pool that the gateways of the shard share.
    pub needs_permit: bool,
    /// When the request stops waiting for a permit.
    pub expires_at: Timestamp,
}

impl QuotaRequest {
    /// Returns the id under which the owner remembers the request.
    pub(crate) fn permit_id(&self) -> PermitId {
        PermitId {
            gateway: self.gateway,
            request: self.id,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    /// The gateway must reject the client request.
    Denied,
    /// The gateway may forward the client request.
    Granted {
        /// The granted tokens, including the prefetch; 0 in the response to a retransmitted request that was
        /// already granted.
        cost: Tokens,
    },
    /// The request is queued for a permit.
    Queued,
}

/// State of the account at its owner, sent with each response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct OwnerState {
    /// Rate at which all gateways together requested tokens.
    pub demand: TokensPerSecond,
    /// Rate at which the owner granted tokens.
    pub granted: TokensPerSecond,
    /// Level of the token bucket; negative if it is overdrawn.
    pub tokens: Tokens,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaResponse {
    pub request: QuotaRequestId,
    pub decision: QuotaDecision,
    pub state: OwnerState,
}

/// A message about the account of one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipMessage {
    /// To the owner: requests tokens or a permit.
    RequestQuota {
        plan: PlanIndex,
        request: QuotaRequest,
    },
    /// To the owner: charges tokens (returns them if negative) and releases the permit, if any.
    SettleUsage {
        plan: PlanIndex,
        cost: Tokens,
        permit: Option<QuotaRequestId>,
    },
    /// To the owner: tokens used while it did not respond, with the id of the last request that used some.
    ReportUnconfirmedUsage {
        plan: PlanIndex,
        last_request: QuotaRequestId,
        cost: Tokens,
    },
    /// To the owner: extends the lease of a permit that is still in use.
    RenewPermit {
        plan: PlanIndex,
        permit: QuotaRequestId,
    },
    /// From the owner: its decision on a quota request.
    QuotaResponse(QuotaResponse),
}

impl GossipMessage {
    /// Returns the plan of a message to the owner, or `None` for the owner's response.
    pub(crate) fn plan(&self) -> Option<PlanIndex> {
        match *self {
            GossipMessage::RequestQuota { plan, .. }
            | GossipMessage::SettleUsage { plan, .. }
            | GossipMessage::ReportUnconfirmedUsage { plan, .. }
            | GossipMessage::RenewPermit { plan, .. } => Some(plan),
            GossipMessage::QuotaResponse(_) => None,
        }
    }
}
