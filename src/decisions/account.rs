//! The account that a request is charged to, and the gateway that owns the account.

use crate::decisions::gossip::TenantKey;
use crate::events::{GatewayId, PlanIndex, Request};

/// Identifies the account of a tenant on a plan, and the gateway that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AccountId {
    pub tenant: TenantKey,
    pub plan: PlanIndex,
    pub owner: GatewayId,
}

impl AccountId {
    /// Returns the account that a request is charged to.
    ///
    /// The owner is selected from the tenant's shard by the hash of the tenant's name alone, so one gateway
    /// owns the accounts of all plans of a tenant.
    pub(crate) fn for_request(request: &Request, gateway_count: u32) -> AccountId {
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

/// Returns the number of gateways in the request's shard: the whole fleet if the request has a shard size of
/// 0.
pub(crate) fn shard_size(request: &Request, gateway_count: u32) -> u32 {
    if request.shard_size == 0 {
        gateway_count
    } else {
        request.shard_size.min(gateway_count)
    }
}
