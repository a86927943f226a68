//! A simulated fleet whose gateways share quotas over a network with delayed and lost gossip.

use super::workload::Workload;
use marlshelf::{Milliseconds, Plan, RequestClass, Settings, Tokens, TokensPerSecond};
use marlshelf_simulation::ledgers::QuotaAudit;
use marlshelf_simulation::{
    EndpointNames, EndpointPool, Fleet, FleetScenario, GatewaySeeds, GossipNetwork, RandomStream,
    Randomness, ResponseDelays, ScheduledClients, ServiceModel,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub const GATEWAYS: u32 = 40;
/// Duration of each attempt.
pub const LATENCY: Milliseconds = Milliseconds(150.0);
/// A plan of `quota_fleet_settings` with a token bucket only.
pub const QUOTA_PLAN: usize = 1;
/// The plan of `quota_fleet_settings` with a hard limit.
pub const HARD_LIMIT_PLAN: usize = 3;
/// Fraction of the gossip that is lost.
const GOSSIP_LOSS: f64 = 0.05;
const CLIENT_TIMEOUT: Milliseconds = Milliseconds(4000.0);
const ENDPOINTS: usize = 30;
/// More than an endpoint ever uses, so that all attempts take the same time.
const CORES: usize = 100;

/// Settings with a plan for each kind of limit.
pub fn quota_fleet_settings() -> Settings {
    let plan = |refill_rate, burst, weight, over_quota_penalty| Plan {
        refill_rate: TokensPerSecond(refill_rate),
        burst: Tokens(burst),
        weight,
        over_quota_penalty,
        ..Plan::default()
    };
    Settings {
        gateway_count: GATEWAYS,
        classes: vec![RequestClass {
            priority_weight: 1.0,
            latency_objective: Milliseconds(2000.0),
            late_answer_weight: 0.2,
            ..RequestClass::default()
        }],
        plans: vec![
            plan(1.6, 9.0, 0.5, 0.6),
            plan(2.0, 12.0, 0.7, 1.2),
            Plan {
                max_concurrency: 3,
                ..plan(5.0, 20.0, 1.3, 1.0)
            },
            Plan {
                hard_limit_rate: TokensPerSecond(28.0),
                hard_limit_burst: Tokens(60.0),
                hard_limit_slack: Tokens(6.0),
                ..plan(14.0, 30.0, 1.8, 0.0)
            },
        ],
        max_attempts: 3,
        gossip_enabled: true,
        max_request_cost: Tokens(6.0),
        gossip_intake_per_second: 60.0,
        initial_warmth: 0.2,
        warmup_duration: Milliseconds(10_000.0),
        ..Settings::default()
    }
}

/// Endpoints with a constant service time.
fn endpoints() -> EndpointPool {
    EndpointPool {
        count: ENDPOINTS,
        names: EndpointNames {
            initial: |index| format!("s{index}"),
            ..EndpointNames::default()
        },
        service: ServiceModel {
            cores: CORES,
            service_time: LATENCY,
            delays: ResponseDelays {
                network: Milliseconds::ZERO,
                ..ResponseDelays::default()
            },
            ..ServiceModel::default()
        },
        ..EndpointPool::default()
    }
}

/// Runs the workload through a fleet and returns the exact state of all quotas at the end.
pub fn run_quota_fleet<'a>(
    seed: u64,
    settings: &'a Settings,
    workload: &Workload,
) -> QuotaAudit<'a> {
    let scenario = FleetScenario {
        settings: settings.clone(),
        endpoints: endpoints(),
        gossip: GossipNetwork {
            loss_ratio: GOSSIP_LOSS,
            delay: Milliseconds(3.0)..Milliseconds(23.0),
            ..GossipNetwork::default()
        },
        ..FleetScenario::default()
    };
    let clients = ScheduledClients::new(workload.requests.clone(), CLIENT_TIMEOUT);
    let audit = QuotaAudit::new(&settings.plans, workload.plans_of_tenants.iter().copied());
    let generator = Pcg64Mcg::seed_from_u64(seed ^ 0xfee1);
    let gateway_seeds = GatewaySeeds::consecutive_from(seed.wrapping_mul(97));
    let randomness = Randomness::shared(generator.clone(), gateway_seeds)
        .with_separate(RandomStream::Gossip, generator);
    Fleet::new(&scenario, clients, audit, randomness)
        .run()
        .observer
}
