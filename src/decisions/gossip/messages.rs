//! The typed messages that gateways exchange about the quota of a tenant.

use crate::events::{GatewayId, PlanIndex};
use crate::units::{Timestamp, Tokens, TokensPerSecond};
use fnv::FnvHasher;
use std::hash::Hasher;

/// The bits of a key that are the hash of the tenant's name.
const NAME_BITS: u32 = 40;
const NAME_MASK: u64 = (1 << NAME_BITS) - 1;

/// A tenant and its plan: 40 bits of the FNV-1a hash of the name, and the plan's number above them. Each plan
/// of a tenant has an account of its own, so that requests on one plan do not use up the quota of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant on a plan.
    pub(crate) fn new(name: &str, plan: PlanIndex) -> TenantKey {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let name_hash = (hash ^ (hash >> NAME_BITS)) & NAME_MASK;
        TenantKey(name_hash | (plan.0 as u64) << NAME_BITS)
    }

    /// The hash of the tenant's name, which is the same for all its plans.
    pub(crate) fn name_hash(self) -> u64 {
        self.0 & NAME_MASK
    }
}

/// The number of a quota request. The gateway that sends it never uses it twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct QuotaRequestId(pub u64);

/// A granted quota request, identified in the whole fleet. Where the plan limits concurrency, it is a permit
/// as well.
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
    /// The cost; 0 where prefetched tokens already cover it.
    pub cost: Tokens,
    /// Tokens to lease in advance, for later requests.
    pub prefetch: Tokens,
    /// The demand at the gateway since the last quota request that it sent.
    pub demand: Tokens,
    /// Whether it needs one of the permits that all gateways of the shard share.
    pub needs_permit: bool,
    /// Until when it may wait for a permit.
    pub expires_at: Timestamp,
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

/// The owner's decision on a quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaDecision {
    /// The request is to be rejected.
    Denied,
    /// The request may be forwarded.
    Granted {
        /// The tokens that are granted, those leased in advance among them; 0 where the request was granted
        /// before.
        cost: Tokens,
    },
    /// The request waits for a permit.
    Queued,
}

/// The state of the owner's account, which goes with each of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct OwnerState {
    /// The rate at which all gateways together were asked for tokens.
    pub demand: TokensPerSecond,
    /// The rate at which the owner granted tokens.
    pub granted: TokensPerSecond,
    /// The tokens in the bucket; negative while it is overdrawn.
    pub tokens: Tokens,
}

/// The owner's response to a quota request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaResponse {
    pub request: QuotaRequestId,
    pub decision: QuotaDecision,
    pub state: OwnerState,
}

/// A message about one tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum GossipMessage {
    /// To the owner: a quota request.
    RequestQuota {
        plan: PlanIndex,
        request: QuotaRequest,
    },
    /// To the owner: tokens to charge, or to return where negative, and a permit to release.
    SettleUsage {
        plan: PlanIndex,
        cost: Tokens,
        permit: Option<QuotaRequestId>,
    },
    /// To the owner: tokens used while it did not respond, and the last request that used any.
    ReportUnconfirmedUsage {
        plan: PlanIndex,
        last_request: QuotaRequestId,
        cost: Tokens,
    },
    /// To the owner: the permit is still in use.
    RenewPermit {
        plan: PlanIndex,
        permit: QuotaRequestId,
    },
    /// From the owner: its decision on a request.
    QuotaResponse(QuotaResponse),
}

impl GossipMessage {
    /// The plan of a message to the owner; `None` for the owner's response.
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
