//! What the two sides of a quota, its owner and its clients, are handed and hand back.

use super::{PendingRequest, requests::shard_size};
use crate::settings::{Plan, Settings};

/// What the owner of a quota goes by at one moment.
pub(crate) struct OwnerTerms {
    pub plan: Plan,
    /// Tokens that stay in the bucket beside the cost of a request, unless it is full.
    pub reserve: f64,
    pub mean_latency_ms: f64,
    pub gossip_enabled: bool,
    pub now_ms: f64,
}

/// What a client of a quota goes by for one request.
pub(crate) struct ClientTerms<'a> {
    pub plan: &'a Plan,
    /// The number of gateways that serve the tenant.
    pub shard_size: u32,
    pub owner_is_local: bool,
    pub gossip_enabled: bool,
    pub mean_latency_ms: f64,
    pub now_ms: f64,
}

impl<'a> ClientTerms<'a> {
    /// The terms of a request.
    pub(crate) fn new(
        settings: &'a Settings,
        pending: &PendingRequest,
        mean_latency_ms: f64,
        now_ms: f64,
    ) -> ClientTerms<'a> {
        ClientTerms {
            plan: settings.plan(pending.account.plan),
            shard_size: shard_size(&pending.request, settings.gateway_count),
            owner_is_local: pending.account.owner == settings.gateway,
            gossip_enabled: settings.gossip_enabled,
            mean_latency_ms,
            now_ms,
        }
    }
}

/// How a request that is not rejected at once gets its tokens.
pub(crate) struct LeasePlan {
    /// Whether prefetched tokens cover it.
    pub uses_prefetched: bool,
    /// Tokens to lease in advance.
    pub prefetch: f64,
    /// Prefetched tokens that are too old to be kept, to be returned to the owner.
    pub expired: f64,
    /// Whether it needs one of the permits that the gateways of the shard share.
    pub needs_permit: bool,
}

/// The requests of a tenant that are in flight here, and the most that may be, where the permits are enough for each
/// gateway of the shard to have some of its own.
#[derive(Default)]
pub(crate) struct LocalPermits {
    in_flight: u32,
    limit: Option<u32>,
}

impl LocalPermits {
    /// Divides permits (0 for no limit) evenly over the gateways. Returns whether there are too few, so that the
    /// gateways have to share them.
    pub(crate) fn divide(&mut self, permits: u32, shard_size: u32) -> bool {
        let shared = permits > 0 && permits < shard_size;
        self.limit = (permits > 0 && !shared).then(|| permits / shard_size);
        shared
    }

    /// The most requests in flight, where this gateway has permits of its own.
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether all permits of this gateway's own are in use.
    pub(crate) fn used_up(&self) -> bool {
        self.limit.is_some_and(|limit| self.in_flight >= limit)
    }

    /// Counts a request that is forwarded.
    pub(crate) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that has ended.
    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
