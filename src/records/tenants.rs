//! The tenants that a gateway knows.

use super::{AccountId, ClientLedger, ExpiringMap, OwnerLedger};
use crate::gossip::TenantKey;

/// A tenant on one plan: its ledger where this gateway owns the quota, and as this gateway uses it.
pub(crate) struct Tenant {
    pub plan: usize,
    pub owner: OwnerLedger,
    pub client: ClientLedger,
}

impl Tenant {
    /// The tokens in the bucket, as far as they are known here, and the time of which that is known.
    pub(crate) fn known_tokens(&self) -> (f64, f64) {
        match self.client.owner_state() {
            Some(received) => (received.state.tokens, received.at_ms),
            None => (self.owner.tokens(), self.owner.updated_at_ms()),
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
