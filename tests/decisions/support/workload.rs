//! A workload of requests from a fleet's tenants, generated from a seed.

use super::quota_fleet::GATEWAYS;
use marlshelf::{GatewayId, Milliseconds, PlanIndex, Settings, Timestamp, Tokens};
use marlshelf_simulation::{ClientRequest, ScheduledRequest, Shard};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The end of a generated workload, which begins at time 0.
const WORKLOAD_END: Timestamp = Timestamp(40_000.0);
/// The number of tenants in a generated workload.
const TENANTS: usize = 48;
/// The mean cost of a request in a generated workload.
const MEAN_COST: Tokens = Tokens(3.0);
/// The highest estimated cost of a request, in tokens.
const MAX_COST: f64 = 6.0;
/// The time after which a tenant's preferred gateway changes. Half of the requests arrive at it.
const PREFERRED_GATEWAY_TIME: Milliseconds = Milliseconds(5000.0);

/// The requests of a simulation and the plans of the tenants.
pub struct Workload {
    /// The plan of each tenant, by tenant index.
    pub plans_of_tenants: Vec<PlanIndex>,
    /// The requests in the order of arrival.
    pub requests: Vec<ScheduledRequest>,
}

/// Returns a tenant's request template of the lowest cost and work. The caller sets its cost and gateway.
pub fn request_of_tenant(tenant_index: usize, plan: PlanIndex, shard: Shard) -> ClientRequest {
    ClientRequest {
        tenant: format!("c{tenant_index}").into(),
        tenant_index,
        shard,
        plan,
        actual_cost: Some(Tokens(1.0)),
        ..ClientRequest::to_gateway(shard.start)
    }
}

/// Generates a workload in which most tenants use part of their quota, some nearly all of it, and one in eight
/// three times as much.
pub fn generate_workload(seed: u64, settings: &Settings) -> Workload {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let plan_of = |tenant: usize| PlanIndex(tenant % settings.plans.len());
    let mut requests = Vec::new();
    for tenant in 0..TENANTS {
        let plan = plan_of(tenant);
        let size = random.random_range(GATEWAYS / 2..=GATEWAYS);
        let start = GatewayId(random.random_range(0..GATEWAYS));
        let utilization = match random.random_range(0..8) {
            0 => 3.0,
            1 => 0.95,
            _ => random.random_range(0.25..0.5),
        };
        let tokens_per_second = settings.plan(plan).refill_rate * utilization;
        let mean_interval = MEAN_COST.time_at(tokens_per_second);
        let request = request_of_tenant(tenant, plan, Shard { start, size });
        add_requests(&mut requests, &mut random, &request, mean_interval);
    }
    requests.sort_by(|a, b| a.at.as_f64().total_cmp(&b.at.as_f64()));
    Workload {
        plans_of_tenants: (0..TENANTS).map(plan_of).collect(),
        requests,
    }
}

/// Adds a day of requests based on `template`, as a Poisson process with this mean interval.
fn add_requests(
    requests: &mut Vec<ScheduledRequest>,
    random: &mut Pcg64Mcg,
    template: &ClientRequest,
    mean_interval: Milliseconds,
) {
    let shard = template.shard;
    let mut at = Timestamp::ZERO;
    let mut preferred = 0;
    let mut preferred_until = Timestamp::ZERO;
    loop {
        at += -mean_interval * (1.0 - random.random::<f64>()).ln();
        if at >= WORKLOAD_END {
            return;
        }
        if at >= preferred_until {
            preferred = random.random_range(0..shard.size);
            preferred_until = at + PREFERRED_GATEWAY_TIME;
        }
        let any = random.random_range(0..shard.size);
        let offset = if random.random() { preferred } else { any };
        let actual_cost = f64::from(random.random_range(1..=5u32));
        let estimated_cost = (actual_cost * random.random_range(0.5..1.6f64)).round();
        let request = ClientRequest {
            gateway: GatewayId((shard.start.0 + offset) % GATEWAYS),
            cost: Tokens(estimated_cost.clamp(1.0, MAX_COST)),
            actual_cost: Some(Tokens(actual_cost)),
            ..template.clone()
        };
        requests.push(ScheduledRequest { at, request });
    }
}
