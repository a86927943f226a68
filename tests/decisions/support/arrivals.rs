//! Requests of a fleet's tenants over time, generated from a seed.

use super::quota_fleet::{DAY_MS, GATEWAYS};
use marlshelf::Settings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of tenants of a quiet day.
const TENANTS: usize = 48;
/// The mean cost of a request of a quiet day.
const MEAN_COST: f64 = 3.0;
/// Half of a tenant's requests arrive at one gateway, which changes after this time.
const PREFERRED_GATEWAY_MS: f64 = 5000.0;

/// A tenant, and the shard of gateways that its requests arrive at.
pub struct Tenant {
    pub plan: usize,
    pub shard_start: u32,
    pub shard_size: u32,
}

/// A request that arrives at a gateway.
pub struct Arrival {
    pub at_ms: f64,
    pub gateway: usize,
    pub tenant: usize,
    pub estimated_cost: f64,
    pub actual_cost: f64,
}

/// All requests of a simulation, in the order of arrival.
pub struct Workload {
    pub tenants: Vec<Tenant>,
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    pub fn tenant_of(&self, arrival: &Arrival) -> &Tenant {
        &self.tenants[arrival.tenant]
    }
}

/// A quiet day: most tenants use a part of their quota, some nearly all, one in eight three times as much.
pub fn quiet_day(seed: u64, settings: &Settings) -> Workload {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut workload = Workload {
        tenants: Vec::new(),
        arrivals: Vec::new(),
    };
    for index in 0..TENANTS {
        let plan = index % settings.plans.len();
        let shard_size = rng.random_range(GATEWAYS / 2..=GATEWAYS);
        let shard_start = rng.random_range(0..GATEWAYS);
        let utilization = match rng.random_range(0..8) {
            0 => 3.0,
            1 => 0.95,
            _ => rng.random_range(0.25..0.5),
        };
        let tenant = Tenant {
            plan,
            shard_start,
            shard_size,
        };
        let tokens_per_second = utilization * settings.plans[plan].refill_rate.as_f64();
        let mean_interval_ms = 1000.0 * MEAN_COST / tokens_per_second;
        add_arrivals(
            &mut workload.arrivals,
            &mut rng,
            index,
            &tenant,
            mean_interval_ms,
        );
        workload.tenants.push(tenant);
    }
    workload
        .arrivals
        .sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    workload
}

fn add_arrivals(
    arrivals: &mut Vec<Arrival>,
    rng: &mut Pcg64Mcg,
    index: usize,
    tenant: &Tenant,
    mean_interval_ms: f64,
) {
    let mut at_ms = 0.0;
    let mut preferred = 0;
    let mut preferred_until_ms = 0.0;
    loop {
        at_ms += -mean_interval_ms * (1.0 - rng.random::<f64>()).ln();
        if at_ms >= DAY_MS {
            return;
        }
        if at_ms >= preferred_until_ms {
            preferred = rng.random_range(0..tenant.shard_size);
            preferred_until_ms = at_ms + PREFERRED_GATEWAY_MS;
        }
        let any = rng.random_range(0..tenant.shard_size);
        let offset = if rng.random() { preferred } else { any };
        let actual_cost = f64::from(rng.random_range(1..=5u32));
        let estimated_cost = (actual_cost * rng.random_range(0.5..1.6f64)).round();
        arrivals.push(Arrival {
            at_ms,
            gateway: ((tenant.shard_start + offset) % GATEWAYS) as usize,
            tenant: index,
            estimated_cost: estimated_cost.clamp(1.0, 6.0),
            actual_cost,
        });
    }
}
