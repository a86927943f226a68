//! The tenants that a gateway knows.

use super::{AccountId, ClientLedger, ExpiringMap, OwnerLedger};
use crate::events::PlanIndex;
use crate::gossip::TenantKey;

/// A tenant on one plan: its ledger where this gateway owns the quota, and as this gateway uses it.
pub(crate) struct Tenant {
    pub plan: PlanIndex,
    pub owner: OwnerLedger,
    pub client: ClientLedger,
}

/// The tokens of a tenant as far as a gateway knows them.
pub(crate) struct KnownTokens {
    pub tokens: f64,
    pub as_of_ms: f64,
}

impl Tenant {
    /// The tokens in the bucket: as the owner last reported them, or as in the ledger of this gateway.
    pub(crate) fn known_tokens(&self) -> KnownTokens {
        match self.client.owner_state() {
            Some(received) => KnownTokens {
                tokens: received.state.tokens,
                as_of_ms: received.at_ms,
            },
            None => KnownTokens {
                tokens: self.owner.tokens(),
                as_of_ms: self.owner.updated_at_ms(),
            },
        }
    }
}

/// All tenants, by key. Those that have been idle for long are dropped.
pub(crate) type Tenants = ExpiringMap<TenantKey, Tenant>;

impl Tenants {
    /// Whether this gateway has concurrency permits of its own for an account.
    pub(crate) fn has_local_permits(&self, account: AccountId) -> bool {
        let tenant = self.get(&account.tenant);
        tenant.is_some_and(|tenant| tenant.client.permits.limit().is_some())
    }
}
