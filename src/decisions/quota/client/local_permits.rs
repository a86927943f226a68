//! Concurrency permits that each gateway of a shard has for itself.

/// The requests of a tenant in flight at this gateway, and the limit on them. There is a limit where the plan
/// has enough permits for each gateway of the shard to get at least one of its own.
#[derive(Default)]
pub(super) struct LocalPermits {
    in_flight: u32,
    limit: Option<u32>,
}

impl LocalPermits {
    /// Divides the permits of a plan (0 for no limit) evenly among the gateways. Returns whether there are
    /// fewer permits than gateways, so that the gateways have to share them.
    pub(super) fn divide(&mut self, permits: u32, shard_size: u32) -> bool {
        let shared = permits > 0 && permits < shard_size;
        self.limit = (permits > 0 && !shared).then(|| permits / shard_size);
        shared
    }

    /// The most requests in flight, if this gateway has permits of its own.
    pub(super) fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// The number of requests in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The limit, if it is reached.
    pub(super) fn used_up(&self) -> Option<u32> {
        self.limit.filter(|limit| self.in_flight >= *limit)
    }

    /// Counts a request that is forwarded.
    pub(super) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that has ended.
    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
