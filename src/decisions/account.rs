//! Which account a request is charged to, and which gateway owns the account.

use crate::decisions::gossip::TenantKey;
use crate::events::{GatewayId, PlanIndex, Request};

/// The account of a tenant on a plan, and the gateway that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AccountId {
    pub tenant: TenantKey,
    pub plan: PlanIndex,
    pub owner: GatewayId,
}

impl AccountId {
    /// The account that a request is charged to, in a fleet of this many gateways.
    ///
    /// The owner is one gateway of the tenant's shard. The name of the tenant alone selects it, so one
    /// gateway owns the accounts of all plans of a tenant.
    pub(crate) fn of(request: &Request, gateway_count: u32) -> AccountId {
        let tenant = TenantKey::new(&request.tenant, request.plan);
        let shard_size = u64::from(shard_size(request, gateway_count));
        let offset = (tenant.name_hash() % shard_size) as u32;
        AccountId {
            tenant,
            plan: request.plan,
            owner: GatewayId((request.shard_start.0 + offset) % gateway_count),
        }
    }
}

/// The number of gateways that serve the tenant of a request: the whole fleet if the request does not state
/// it.
pub(crate) fn shard_size(request: &Request, gateway_count: u32) -> u32 {
    if request.shard_size == 0 {
        gateway_count
    } else {
        request.shard_size.min(gateway_count)
    }
}
