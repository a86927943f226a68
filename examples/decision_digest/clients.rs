//! Tenants and their clients: who sends what, when, and through which gateway.

use crate::scenario::{Scenario, Traffic};
use frostvale::Name;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// How many tenants go on while the others are idle.
const NEVER_IDLE: usize = 4;
/// How long a tenant prefers the same gateway, in milliseconds.
const STICKY_TIME: f64 = 4000.0;
/// The most requests that a client sends for one purpose.
const MOST_TRIES: u32 = 3;

/// One tenant.
struct Tenant {
    name: Name,
    plan: usize,
    first: u32,
    spread: u32,
}

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// The index of the tenant.
    pub tenant: usize,
    /// The class, which may not exist.
    pub class: usize,
    /// The plan, which may not exist.
    pub plan: usize,
    /// The units that the request counts.
    pub units: f64,
    /// How many times it was sent before.
    pub tries: u32,
    /// The gateway that takes it.
    pub gateway: usize,
}

/// All clients of a scenario.
pub struct Clients {
    tenants: Vec<Tenant>,
    gateways: u32,
    classes: usize,
    largest: f64,
    traffic: Traffic,
}

impl Clients {
    /// The clients that a scenario describes.
    pub fn new(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Clients {
        let (traffic, gateways) = (&scenario.traffic, scenario.settings.gateways);
        let plans = scenario.settings.plans.len();
        let tenants = (0..traffic.tenants)
            .map(|index| Tenant {
                name: format!("tenant-{index}").into(),
                plan: index % plans,
                first: rng.random_range(0..gateways),
                spread: traffic.spreads[index / plans % traffic.spreads.len()],
            })
            .collect();
        Clients {
            tenants,
            gateways,
            classes: scenario.settings.classes.len(),
            largest: scenario.settings.largest.max(1.0),
            traffic: traffic.clone(),
        }
    }

    /// The name, the first gateway and the number of gateways of a tenant.
    pub fn placement(&self, tenant: usize) -> (Name, u32, u32) {
        let tenant = &self.tenants[tenant];
        (tenant.name.clone(), tenant.first, tenant.spread)
    }

    /// The time from one request to the next.
    pub fn gap(&self, now: f64, rng: &mut Pcg64Mcg) -> f64 {
        let surge = match self.traffic.surge {
            Some((from, to, factor)) if (from..to).contains(&now) => factor,
            _ => 1.0,
        };
        -1000.0 / (self.traffic.rate * surge) * (1.0 - rng.random::<f64>()).ln()
    }

    /// A new request, unless its tenant is idle.
    pub fn call(&self, now: f64, rng: &mut Pcg64Mcg) -> Option<Call> {
        // Tenants of low numbers send more.
        let tenant = (self.tenants.len() as f64 * rng.random::<f64>().powi(2)) as usize;
        let mut class = rng.random_range(0..self.classes);
        let mut plan = self.tenants[tenant].plan;
        let units = (rng.random_range(0.5..self.largest) * 10.0).round() / 10.0;
        if rng.random::<f64>() < self.traffic.invalid {
            if rng.random() {
                class = self.classes + 3;
            } else {
                plan += 1000;
            }
        }
        let gateway = self.gateway(tenant, now, rng);
        let idle = match self.traffic.idle {
            Some((from, to, step)) => {
                tenant >= NEVER_IDLE && (from..to + step * tenant as f64).contains(&now)
            }
            None => false,
        };
        (!idle).then_some(Call {
            tenant,
            class,
            plan,
            units,
            tries: 0,
            gateway,
        })
    }

    /// The gateway that takes a tenant's next request.
    fn gateway(&self, tenant: usize, now: f64, rng: &mut Pcg64Mcg) -> usize {
        let tenant = &self.tenants[tenant];
        let spread = if tenant.spread == 0 {
            self.gateways
        } else {
            tenant.spread.min(self.gateways)
        };
        let preferred = (now / STICKY_TIME) as u32 * 7 % spread;
        let other = rng.random_range(0..spread);
        let sticky = rng.random::<f64>() < self.traffic.sticky;
        let offset = if sticky { preferred } else { other };
        ((tenant.first + offset) % self.gateways) as usize
    }

    /// When and how a client tries again after an answer that is not a success.
    pub fn retry(
        &self,
        call: &Call,
        pause: f64,
        now: f64,
        rng: &mut Pcg64Mcg,
    ) -> Option<(f64, Call)> {
        let again = rng.random::<f64>() < self.traffic.retries && call.tries + 1 < MOST_TRIES;
        again.then(|| {
            let at = now + pause.min(5000.0) + rng.random_range(30.0..300.0);
            let gateway = self.gateway(call.tenant, at, rng);
            let tries = call.tries + 1;
            (
                at,
                Call {
                    tries,
                    gateway,
                    ..call.clone()
                },
            )
        })
    }
}
