//! The quotas of tenants, which hold for all gateways together.
//!
//! Each account (a tenant on one plan) has one gateway as its owner. The owner keeps the token bucket and the
//! permits of the account ([`QuotaOwner`]); each gateway that serves the tenant is a client of it
//! ([`QuotaClient`]). Both sides may be the same gateway, which then decides without sending a message.
//! [`Quotas`] holds both sides of all accounts that this gateway knows.

mod client;
mod client_side;
mod expiring_map;
mod owner;
mod owner_side;
mod permit_lease;
mod settlement;
mod tenants;

use crate::decisions::account::{AccountId, shard_size};
use crate::decisions::context::Conditions;
use crate::settings::Settings;
use crate::units::{Milliseconds, Timestamp};
use client::{QuotaClient, UnconfirmedUsage};
use expiring_map::ExpiringMap;
use owner::QuotaOwner;
use std::sync::Arc;
use tenants::{KnownTokens, Tenants};

pub(crate) use client::{LeaseDecision, LeaseRequest};
pub(crate) use client_side::{FreedPermit, LocalCheck};
pub(crate) use owner::QueuedDecision;
pub(crate) use permit_lease::schedule_renewal;
pub(crate) use settlement::{Settlement, Unused};

/// The time constant of the demand for a quota: long enough to count tenants with few requests, short enough
/// to follow tenants whose traffic moves to other gateways.
const DEMAND_WINDOW: Milliseconds = Milliseconds(2000.0);
/// The fraction of a hard limit that the gateways divide among themselves and use without asking the owner,
/// which leases the rest.
const FALLBACK_FRACTION: f64 = 0.25;

/// Both sides of the quotas of all tenants that this gateway knows.
pub(crate) struct Quotas {
    settings: Arc<Settings>,
    tenants: Tenants,
    unconfirmed_usage: UnconfirmedUsage,
}

impl Quotas {
    /// No tenants yet.
    pub(crate) fn new(settings: Arc<Settings>) -> Quotas {
        Quotas {
            settings,
            tenants: Tenants::new(),
            unconfirmed_usage: UnconfirmedUsage::default(),
        }
    }

    /// Drops tenants that have been idle for long.
    pub(crate) fn evict_idle(&mut self, now: Timestamp) {
        if self.tenants.evict_idle(now) {
            let tenants = &self.tenants;
            self.unconfirmed_usage
                .retain(|tenant| tenants.get(tenant).is_some());
        }
    }
}
