//! Tests of the decision engine through its public API, without sockets or clocks.

mod concurrency_permits;
mod fleet_quotas;
mod gossip;
mod gossip_compatibility;
mod hard_limits;
mod load_balancing;
mod load_shedding;
mod priority_tiers;
mod quota_leases;
mod quota_owner;
mod request_lifecycle;
mod retries;
mod retry_budget;
mod slow_start;
mod slow_start_fleet;
mod support;
mod tenant_eviction;
mod uptime;
