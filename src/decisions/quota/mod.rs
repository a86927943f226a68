//! Fleet-wide quotas of tenants.
//!
//! Each account (a tenant on one plan) is owned by one gateway. The owner keeps the token bucket and the
//! concurrency permits of the account ([`QuotaOwner`]). Every gateway that serves the tenant is a client of
//! the owner ([`QuotaClient`]). The owner is also a client of itself and decides without sending a message.
//! [`Quotas`] holds the owner and client state of all accounts that this gateway knows.

mod client;
mod client_side;
mod expiring_map;
mod owner;
mod owner_side;
mod permit_lease;
mod settlement;
mod tenants;

use crate::decisions::account::{AccountId, shard_size};
use crate::decisions::context::{EventContext, EventSnapshot};
use crate::events::TenantStatistics;
use crate::settings::Settings;
use crate::units::Milliseconds;
use client::{QuotaClient, UnconfirmedUsage};
use owner::QuotaOwner;
use std::sync::Arc;
use tenants::{BucketSnapshot, Tenants};

pub(crate) use client::{LeaseDecision, LeaseRequest};
pub(crate) use client_side::{FreedPermit, LocalCheck};
pub(crate) use owner::QueuedDecision;
pub(crate) use permit_lease::schedule_renewal;
pub(crate) use settlement::{Settlement, UnusedGrant};

/// Time constant of the exponential decay of the measured demand. It is long enough to register tenants with
/// few requests and short enough to follow traffic that moves to other gateways.
const DEMAND_WINDOW: Milliseconds = Milliseconds(2000.0);
/// Fraction of a hard limit that the gateways divide among themselves and use without a lease. The
/// owner leases the rest.
const FALLBACK_FRACTION: f64 = 0.25;

/// Client and owner state of the quotas of all known tenants.
pub(crate) struct Quotas {
    settings: Arc<Settings>,
    tenants: Tenants,
    unconfirmed_usage: UnconfirmedUsage,
}

impl Quotas {
    /// Creates the state of a gateway that knows no tenant. `seed` determines which tenants are evicted if
    /// there are too many.
    pub(crate) fn new(settings: Arc<Settings>, seed: u64) -> Quotas {
        Quotas {
            tenants: Tenants::new(&settings, seed),
            settings,
            unconfirmed_usage: UnconfirmedUsage::default(),
        }
    }

    /// Drops tenants that have been idle for long, and others while there are too many, together with their
    /// unreported usage.
    pub(crate) fn evict_tenants(&mut self, context: &mut EventContext) {
        for tenant in self.tenants.evict(context) {
            self.unconfirmed_usage.remove(tenant);
        }
    }

    pub(crate) fn tenant_statistics(&self) -> TenantStatistics {
        self.tenants.statistics()
    }
}
