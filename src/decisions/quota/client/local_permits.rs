//! Concurrency permits divided among the gateways of a shard.

/// A tenant's requests in flight at this gateway and the local limit on them. The limit is set only if the
/// plan has at least one permit per gateway of the shard.
#[derive(Default)]
pub(super) struct LocalPermits {
    in_flight: u32,
    limit: Option<u32>,
}

impl LocalPermits {
    /// Divides the plan's permits (0 means no limit) evenly among the gateways. Returns true if there are
    /// fewer permits than gateways, in which case the gateways share them through the owner.
    pub(super) fn update_limit(&mut self, permits: u32, shard_size: u32) -> bool {
        let shared = permits > 0 && permits < shard_size;
        self.limit = (permits > 0 && !shared).then(|| permits / shard_size);
        shared
    }

    /// Returns the local concurrency limit; `None` if there is no limit or the permits are shared.
    pub(super) fn limit(&self) -> Option<u32> {
        self.limit
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the local limit if it is reached.
    pub(super) fn exhausted_limit(&self) -> Option<u32> {
        self.limit.filter(|limit| self.in_flight >= *limit)
    }

    pub(super) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
