//! Clients of many tenants, whose requests arrive in one Poisson process. The model includes surges, idle
//! periods, early disconnects and retries.

use super::{Arrival, ArrivalSource, ClientDeadline, ClientRequest, ClientRetry, Clients, Shard};
use marlshelf::{
    ClassIndex, GatewayId, Milliseconds, PlanIndex, Settings, TenantName, Timestamp, Tokens,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// Time of the first arrival.
const FIRST_ARRIVAL: Timestamp = Timestamp(1.0);
/// Number of tenants that stay active during an idle period.
const ALWAYS_ACTIVE_TENANTS: usize = 4;
/// Time after which a tenant's preferred gateway changes.
const STICKY_PERIOD: Milliseconds = Milliseconds(4000.0);
/// Distance, in gateways, from one preferred gateway of a tenant to the next.
const STICKY_STEP: u32 = 7;
/// Maximum number of times that a client sends a request, including retries.
const MAX_SENDS: u32 = 3;
/// Upper limit on the retry delay that a client takes from a gateway's response.
const MAX_RETRY_AFTER: Milliseconds = Milliseconds(5000.0);
/// Range of the random delay that a client adds before a retry, in milliseconds.
const RETRY_JITTER_MS: Range<f64> = 30.0..300.0;
/// Latency objective used for requests whose class does not exist.
const DEFAULT_LATENCY_OBJECTIVE: Milliseconds = Milliseconds(500.0);
/// Range of the client timeout, as a multiple of the latency objective.
const TIMEOUT_FACTOR: Range<f64> = 0.8..2.5;
/// Upper bound of the time until an early disconnect, as a multiple of the latency objective.
const MAX_EARLY_DISCONNECT_FACTOR: f64 = 1.5;
/// Time from a client's deadline to its disconnect.
const DISCONNECT_DELAY: Milliseconds = Milliseconds(5.0);
/// Minimum cost of a request, in tokens.
const MIN_COST: f64 = 0.5;
/// Lower limit of the maximum request cost, for settings that specify a smaller maximum or none.
const MIN_MAX_COST: Tokens = Tokens(1.0);

/// A period with a higher request rate.
#[derive(Clone, Debug)]
pub struct Surge {
    /// Start and end of the surge.
    pub period: Range<Timestamp>,
    /// Factor by which the request rate is multiplied.
    pub factor: f64,
}

/// A period in which all tenants except the first four send nothing.
#[derive(Clone, Debug)]
pub struct IdlePeriod {
    /// Start of the idle period, and the time from which the tenants return one after another.
    pub period: Range<Timestamp>,
    /// Tenant `k` returns `k` intervals after the end of `period`.
    pub return_interval: Milliseconds,
}

/// Parameters of the generated traffic. Ratios are between 0 and 1.
#[derive(Clone, Debug)]
pub struct TenantTraffic {
    /// Number of tenants. Tenant `k` has plan `k % plans`.
    pub tenants: usize,
    /// Request rate of all tenants together, without retries.
    pub requests_per_second: f64,
    /// Period with a higher request rate.
    pub surge: Option<Surge>,
    /// Period in which most tenants are idle.
    pub idle: Option<IdlePeriod>,
    /// Shard sizes, assigned in turn to groups of tenants with one tenant per plan. 0 means all gateways.
    pub shard_sizes: Vec<u32>,
    /// Fraction of requests sent to the tenant's preferred gateway. The others go to a random gateway of the
    /// shard.
    pub sticky_ratio: f64,
    /// Fraction of clients that disconnect early.
    pub disconnect_ratio: f64,
    /// Fraction of clients that retry a rejected or failed request.
    pub retry_ratio: f64,
    /// Fraction of requests with a class or plan that does not exist.
    pub invalid_ratio: f64,
}

struct Tenant {
    name: TenantName,
    plan: PlanIndex,
    shard: Shard,
}

/// Generates the traffic that a [`TenantTraffic`] describes.
pub struct TenantClients {
    tenants: Vec<Tenant>,
    gateway_count: u32,
    latency_objectives: Vec<Milliseconds>,
    max_cost: Tokens,
    traffic: TenantTraffic,
}

impl TenantClients {
    /// Creates the clients of a fleet with these settings. Draws the first gateway of each shard from
    /// `random`.
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
            max_cost: settings.max_request_cost.max(MIN_MAX_COST),
            traffic: traffic.clone(),
        }
    }

    /// Draws the time until the next arrival from an exponential distribution.
    fn arrival_interval(&self, now: Timestamp, random: &mut Pcg64Mcg) -> Milliseconds {
        let factor = match &self.traffic.surge {
            Some(surge) if surge.period.contains(&now) => surge.factor,
            _ => 1.0,
        };
        let requests_per_second = self.traffic.requests_per_second * factor;
        Milliseconds(-1000.0 / requests_per_second * (1.0 - random.random::<f64>()).ln())
    }

    /// Draws a new request. Returns `None` if its tenant is idle.
    fn new_request(&self, now: Timestamp, random: &mut Pcg64Mcg) -> Option<ClientRequest> {
        // Tenants with a low index send more requests: the index grows with the square of the random number.
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
        tenant >= ALWAYS_ACTIVE_TENANTS && (idle.period.start..returns_at).contains(&now)
    }

    /// Selects the gateway of a request: the one that the tenant prefers now, or a random one of its shard.
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

    /// Draws the deadline. The client disconnects shortly after its deadline, or early at a random time.
    fn client_deadline(
        &mut self,
        request: &ClientRequest,
        now: Timestamp,
        random: &mut Pcg64Mcg,
    ) -> ClientDeadline {
        let objective = self.latency_objectives.get(request.class.0);
        let objective = objective.copied().unwrap_or(DEFAULT_LATENCY_OBJECTIVE);
        let deadline = now + objective * random.random_range(TIMEOUT_FACTOR);
        let is_early = random.random::<f64>() < self.traffic.disconnect_ratio;
        let disconnect_at = if is_early {
            let latest = objective * MAX_EARLY_DISCONNECT_FACTOR;
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
        let is_selected = random.random::<f64>() < self.traffic.retry_ratio;
        let retries = request.retries + 1;
        if !is_selected || retries >= MAX_SENDS {
            return None;
        }
        let delay = retry_after.min(MAX_RETRY_AFTER);
        let at = now + delay + Milliseconds(random.random_range(RETRY_JITTER_MS));
        let request = ClientRequest {
            retries,
            gateway: self.select_gateway(request.shard, at, random),
            ..request.clone()
        };
        Some(ClientRetry { at, request })
    }
}
