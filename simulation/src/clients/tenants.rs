//! Clients of many tenants that share one Poisson process of arrivals, with surges, idle periods, early disconnects and
//! retries.

use super::{Arrival, ArrivalSource, ClientDeadline, ClientRequest, ClientRetry, Clients, Shard};
use marlshelf::{
    ClassIndex, GatewayId, Milliseconds, PlanIndex, Settings, TenantName, Timestamp, Tokens,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// When the first new request arrives.
const FIRST_ARRIVAL: Timestamp = Timestamp(1.0);
/// The number of tenants that keep sending while the others are idle.
const NEVER_IDLE_TENANTS: usize = 4;
/// How long a tenant prefers the same gateway.
const STICKY_PERIOD: Milliseconds = Milliseconds(4000.0);
/// How far apart two consecutive preferred gateways of a tenant are.
const STICKY_STEP: u32 = 7;
/// How often a client sends a request at most, its retries included.
const MAX_SENDS: u32 = 3;
/// The longest retry delay that a client accepts from a gateway.
const MAX_RETRY_AFTER: Milliseconds = Milliseconds(5000.0);
/// The range, in milliseconds, of what a client adds to the retry delay.
const RETRY_JITTER_MS: Range<f64> = 30.0..300.0;
/// The latency objective on which a client's deadline depends if its class does not exist.
const DEFAULT_LATENCY_OBJECTIVE: Milliseconds = Milliseconds(500.0);
/// The range of a client's timeout, as a multiple of the latency objective.
const TIMEOUT_OBJECTIVES: Range<f64> = 0.8..2.5;
/// The latest time of an early disconnect, as a multiple of the latency objective.
const LATEST_EARLY_DISCONNECT: f64 = 1.5;
/// How long after its deadline a client disconnects.
const DISCONNECT_DELAY: Milliseconds = Milliseconds(5.0);
/// The smallest cost of a request, in tokens.
const MIN_COST: f64 = 0.5;
/// The least upper bound of the costs, for settings that allow smaller ones only.
const LEAST_MAX_COST: Tokens = Tokens(1.0);

/// A period with more requests than usual.
#[derive(Clone, Debug)]
pub struct Surge {
    /// When it begins and ends.
    pub period: Range<Timestamp>,
    /// The factor on the request rate.
    pub factor: f64,
}

/// A period in which all tenants but the first few send nothing.
#[derive(Clone, Debug)]
pub struct IdlePeriod {
    /// When it begins, and when the first idle tenant would send again.
    pub period: Range<Timestamp>,
    /// The time from the return of one tenant to the return of the next.
    pub return_interval: Milliseconds,
}

/// What the clients do.
#[derive(Clone, Debug)]
pub struct TenantTraffic {
    /// The number of tenants; tenant `k` has plan `k % plans`.
    pub tenants: usize,
    /// Requests per second of all tenants together, without client retries.
    pub requests_per_second: f64,
    /// A period of more requests.
    pub surge: Option<Surge>,
    /// A period in which most tenants are idle.
    pub idle: Option<IdlePeriod>,
    /// The shard sizes of the tenants, assigned in turn; 0 stands for all gateways.
    pub shard_sizes: Vec<u32>,
    /// The fraction of requests that go to the gateway which the tenant currently prefers.
    pub sticky_ratio: f64,
    /// The fraction of clients that disconnect early.
    pub disconnect_ratio: f64,
    /// The fraction of clients that retry after a final answer other than a success.
    pub retry_ratio: f64,
    /// The fraction of requests whose class or plan does not exist.
    pub invalid_ratio: f64,
}

struct Tenant {
    name: TenantName,
    plan: PlanIndex,
    shard: Shard,
}

/// Clients of many tenants.
pub struct TenantClients {
    tenants: Vec<Tenant>,
    gateway_count: u32,
    latency_objectives: Vec<Milliseconds>,
    max_cost: Tokens,
    traffic: TenantTraffic,
}

impl TenantClients {
    /// The clients of a fleet with these settings. The shards of the tenants are drawn from `random`.
    #[must_use]
    pub fn new(
        traffic: &TenantTraffic,
        settings: &Settings,
        random: &mut Pcg64Mcg,
    ) -> TenantClients {
        let plan_count = settings.plans.len();
        let shard_sizes = &traffic.shard_sizes;
        let tenants = (0..traffic.tenants)
            .map(|index| Tenant {
                name: format!("tenant-{index}").into(),
                plan: PlanIndex(index % plan_count),
                shard: Shard {
                    start: GatewayId(random.random_range(0..settings.gateway_count)),
                    size: shard_sizes[index / plan_count % shard_sizes.len()],
                },
            })
            .collect();
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        TenantClients {
            tenants,
            gateway_count: settings.gateway_count,
            latency_objectives: objectives.collect(),
            max_cost: settings.max_request_cost.max(LEAST_MAX_COST),
            traffic: traffic.clone(),
        }
    }

    /// The time from one new request to the next.
    fn arrival_interval(&self, now: Timestamp, random: &mut Pcg64Mcg) -> Milliseconds {
        let factor = match &self.traffic.surge {
            Some(surge) if surge.period.contains(&now) => surge.factor,
            _ => 1.0,
        };
        let requests_per_second = self.traffic.requests_per_second * factor;
        Milliseconds(-1000.0 / requests_per_second * (1.0 - random.random::<f64>()).ln())
    }

    /// A new request, unless its tenant is idle.
    fn new_request(&self, now: Timestamp, random: &mut Pcg64Mcg) -> Option<ClientRequest> {
        // Tenants of low numbers send more.
        let tenant_index = (self.tenants.len() as f64 * random.random::<f64>().powi(2)) as usize;
        let tenant = &self.tenants[tenant_index];
        let class_count = self.latency_objectives.len();
        let mut class = ClassIndex(random.random_range(0..class_count));
        let mut plan = tenant.plan;
        let cost = (random.random_range(MIN_COST..self.max_cost.as_f64()) * 10.0).round() / 10.0;
        if random.random::<f64>() < self.traffic.invalid_ratio {
            if random.random() {
                class = ClassIndex(class_count + 3);
            } else {
                plan = PlanIndex(plan.0 + 1000);
            }
        }
        let gateway = self.select_gateway(tenant.shard, now, random);
        (!self.is_idle(tenant_index, now)).then(|| ClientRequest {
            tenant: tenant.name.clone(),
            tenant_index,
            shard: tenant.shard,
            class,
            plan,
            cost: Tokens(cost),
            actual_cost: None,
            work: 0.4 + 0.2 * cost + 0.15 * class.0 as f64,
            retries: 0,
            gateway,
        })
    }

    fn is_idle(&self, tenant: usize, now: Timestamp) -> bool {
        let Some(idle) = &self.traffic.idle else {
            return false;
        };
        let returns_at = idle.period.end + idle.return_interval * tenant as f64;
        tenant >= NEVER_IDLE_TENANTS && (idle.period.start..returns_at).contains(&now)
    }

    /// The gateway that receives the next request of a tenant with this shard.
    fn select_gateway(&self, shard: Shard, now: Timestamp, random: &mut Pcg64Mcg) -> GatewayId {
        let shard_size = if shard.size == 0 {
            self.gateway_count
        } else {
            shard.size.min(self.gateway_count)
        };
        let sticky_periods = (now - Timestamp::ZERO).ratio_to(STICKY_PERIOD) as u32;
        let preferred = sticky_periods * STICKY_STEP % shard_size;
        let other = random.random_range(0..shard_size);
        let is_sticky = random.random::<f64>() < self.traffic.sticky_ratio;
        let offset = if is_sticky { preferred } else { other };
        GatewayId((shard.start.0 + offset) % self.gateway_count)
    }
}

impl Clients for TenantClients {
    fn first_arrivals(&mut self, _random: &mut Pcg64Mcg) -> Vec<Timestamp> {
        vec![FIRST_ARRIVAL]
    }

    fn arrive(&mut self, _source: ArrivalSource, now: Timestamp, random: &mut Pcg64Mcg) -> Arrival {
        let next_at = now + self.arrival_interval(now, random);
        Arrival {
            request: self.new_request(now, random),
            next_at: Some(next_at),
        }
    }

    /// A client disconnects shortly after its deadline, or early.
    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> ClientDeadline {
        let objective = self.latency_objectives.get(request.class.0);
        let objective = objective.copied().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let deadline = now + objective * random.random_range(TIMEOUT_OBJECTIVES);
        let is_early = random.random::<f64>() < self.traffic.disconnect_ratio;
        let disconnect_at = if is_early {
            let latest = objective * LATEST_EARLY_DISCONNECT;
            now + Milliseconds(random.random_range(0.0..latest.as_f64()))
        } else {
            deadline + DISCONNECT_DELAY
        };
        ClientDeadline {
            deadline,
            disconnect_at: Some(disconnect_at),
        }
    }

    fn retry(
        &mut self,
        request: &ClientRequest,
        retry_after: Milliseconds,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> Option<ClientRetry> {
        let is_willing = random.random::<f64>() < self.traffic.retry_ratio;
        let retries = request.retries + 1;
        if !is_willing || retries >= MAX_SENDS {
            return None;
        }
        let pause = retry_after.min(MAX_RETRY_AFTER);
        let at = now + pause + Milliseconds(random.random_range(RETRY_JITTER_MS));
        let request = ClientRequest {
            retries,
            gateway: self.select_gateway(request.shard, at, random),
            ..request.clone()
        };
        Some(ClientRetry { at, request })
    }
}
