//! Tenants and their clients: which requests they send, when, and to which gateway.

use crate::scenario::{Scenario, Traffic};
use marlshelf::EndpointName;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The number of tenants that keep sending while the others are idle.
const NEVER_IDLE_TENANTS: usize = 4;
/// How long a tenant prefers the same gateway.
const STICKY_PERIOD_MS: f64 = 4000.0;
/// How often a client sends a request at most, its retries included.
const MAX_SENDS: u32 = 3;
/// The longest retry delay that a client accepts from a gateway.
const MAX_RETRY_AFTER_MS: f64 = 5000.0;

/// One tenant.
struct Tenant {
    name: EndpointName,
    plan: usize,
    shard_start: u32,
    /// 0 stands for all gateways.
    shard_size: u32,
}

/// The gateways that a tenant uses.
pub struct TenantShard {
    /// The tenant's name.
    pub tenant: EndpointName,
    /// The number of the first gateway.
    pub start: u32,
    /// The number of gateways; 0 stands for all.
    pub size: u32,
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The index of the tenant.
    pub tenant: usize,
    /// The index of the class, which may not exist.
    pub class: usize,
    /// The index of the plan, which may not exist.
    pub plan: usize,
    /// The cost in tokens.
    pub cost: f64,
    /// How often the client has sent it before.
    pub retries: u32,
    /// The index of the gateway that receives it.
    pub gateway: usize,
}

/// A request that a client will send again.
pub struct ClientRetry {
    /// When it reaches its gateway, in milliseconds.
    pub at_ms: f64,
    /// The request.
    pub request: ClientRequest,
}

/// All clients of a scenario.
pub struct Clients {
    tenants: Vec<Tenant>,
    gateway_count: u32,
    class_count: usize,
    max_cost: f64,
    traffic: Traffic,
}

impl Clients {
    /// The clients that a scenario describes.
    pub fn new(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Clients {
        let traffic = &scenario.traffic;
        let gateway_count = scenario.settings.gateway_count;
        let plan_count = scenario.settings.plans.len();
        let tenants = (0..traffic.tenants)
            .map(|index| Tenant {
                name: format!("tenant-{index}").into(),
                plan: index % plan_count,
                shard_start: rng.random_range(0..gateway_count),
                shard_size: traffic.shard_sizes[index / plan_count % traffic.shard_sizes.len()],
            })
            .collect();
        Clients {
            tenants,
            gateway_count,
            class_count: scenario.settings.classes.len(),
            max_cost: scenario.settings.max_request_cost.as_f64().max(1.0),
            traffic: traffic.clone(),
        }
    }

    /// The gateways that a tenant uses.
    pub fn shard(&self, tenant: usize) -> TenantShard {
        let tenant = &self.tenants[tenant];
        TenantShard {
            tenant: tenant.name.clone(),
            start: tenant.shard_start,
            size: tenant.shard_size,
        }
    }

    /// The time from one new request to the next, in milliseconds.
    pub fn arrival_interval_ms(&self, now_ms: f64, rng: &mut Pcg64Mcg) -> f64 {
        let factor = match &self.traffic.surge {
            Some(surge) if surge.period_ms.contains(&now_ms) => surge.factor,
            _ => 1.0,
        };
        let requests_per_second = self.traffic.requests_per_second * factor;
        -1000.0 / requests_per_second * (1.0 - rng.random::<f64>()).ln()
    }

    /// A new request, unless its tenant is idle.
    pub fn new_request(&self, now_ms: f64, rng: &mut Pcg64Mcg) -> Option<ClientRequest> {
        // Tenants of low numbers send more.
        let tenant = (self.tenants.len() as f64 * rng.random::<f64>().powi(2)) as usize;
        let mut class = rng.random_range(0..self.class_count);
        let mut plan = self.tenants[tenant].plan;
        let cost = (rng.random_range(0.5..self.max_cost) * 10.0).round() / 10.0;
        if rng.random::<f64>() < self.traffic.invalid_ratio {
            if rng.random() {
                class = self.class_count + 3;
            } else {
                plan += 1000;
            }
        }
        let gateway = self.select_gateway(tenant, now_ms, rng);
        (!self.is_idle(tenant, now_ms)).then_some(ClientRequest {
            tenant,
            class,
            plan,
            cost,
            retries: 0,
            gateway,
        })
    }

    fn is_idle(&self, tenant: usize, now_ms: f64) -> bool {
        let Some(idle) = &self.traffic.idle else {
            return false;
        };
        let returns_at_ms = idle.period_ms.end + idle.return_interval_ms * tenant as f64;
        tenant >= NEVER_IDLE_TENANTS && (idle.period_ms.start..returns_at_ms).contains(&now_ms)
    }

    /// The gateway that receives a tenant's next request.
    fn select_gateway(&self, tenant: usize, now_ms: f64, rng: &mut Pcg64Mcg) -> usize {
        let tenant = &self.tenants[tenant];
        let shard_size = if tenant.shard_size == 0 {
            self.gateway_count
        } else {
            tenant.shard_size.min(self.gateway_count)
        };
        let preferred = (now_ms / STICKY_PERIOD_MS) as u32 * 7 % shard_size;
        let other = rng.random_range(0..shard_size);
        let is_sticky = rng.random::<f64>() < self.traffic.sticky_ratio;
        let offset = if is_sticky { preferred } else { other };
        ((tenant.shard_start + offset) % self.gateway_count) as usize
    }

    /// The client's retry after a final answer other than a success, if the client retries at all.
    pub fn retry(
        &self,
        request: &ClientRequest,
        retry_after_ms: f64,
        now_ms: f64,
        rng: &mut Pcg64Mcg,
    ) -> Option<ClientRetry> {
        let is_willing = rng.random::<f64>() < self.traffic.retry_ratio;
        let retries = request.retries + 1;
        if !is_willing || retries >= MAX_SENDS {
            return None;
        }
        let pause_ms = retry_after_ms.min(MAX_RETRY_AFTER_MS);
        let at_ms = now_ms + pause_ms + rng.random_range(30.0..300.0);
        let gateway = self.select_gateway(request.tenant, at_ms, rng);
        let request = ClientRequest {
            retries,
            gateway,
            ..request.clone()
        };
        Some(ClientRetry { at_ms, request })
    }
}
